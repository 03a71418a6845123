"""The task that owns the packet socket and forwards packets to upstreams."""

import collections
from collections.abc import Mapping
import logging
import random
import socket

import anyio
import anyio.streams.memory

from sapphire_core.peers import outcome_reports
from sapphire_core.replication import data as replication_data
from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import decisions
from sapphire_core.tagged_flows import link_queue
from sapphire_core.tagged_flows import steering as steering_lib
from sapphire_core.tagged_flows import upstream_table
from sapphire_data import clock as clock_lib
from sapphire_net import datagrams
from sapphire_net import event_log
from sapphire_net import pauses
from sapphire_node.entry import change_applier
from sapphire_node.entry import host_state
from sapphire_node.entry import messages
from sapphire_node.entry import platform_interface
from sapphire_node.entry import startup_exchange

_LOG = logging.getLogger(__name__)

MAX_DATAGRAM_BYTES = 2_048
TICK_INTERVAL_MS = 10
# The first tick after a time without pending flows. Most upstreams answer
# before, and nothing times out earlier.
FIRST_TICK_MS = 20
SWEEP_INTERVAL_MS = 100
LINK_REPORT_INTERVAL_MS = 1_000
# Packets that arrive before the host is ready are held for the time after which
# their callers retransmit them.
MAX_HOLD_MS = 200
MAX_HELD_PACKETS = 512
# A registry without upstreams may have lost its entries while the store was
# unavailable; running upstreams have registered again after this time.
EMPTY_REGISTRY_GRACE_MS = upstream_table.LAPSE_GRACE_MS

ChangeReceiver = anyio.streams.memory.MemoryObjectReceiveStream[
    messages.PacketTaskMessage
]
ReportSender = anyio.streams.memory.MemoryObjectSendStream[
    messages.OwnUpstreamReports
]


class PacketTask:
    """Forwards the packets of the fabric to upstreams.

    Packets that arrive before the host is ready are held for a short time.

    Args:
        platform: Encodes and decodes packets.
        state: The state of the process.
        clock: The clock.
        changes: The stream of new changes and of reports of peers.
        reports: The stream to which this host's own upstream reports are sent.
    """

    def __init__(
        self,
        platform: platform_interface.Platform,
        state: host_state.HostState,
        clock: clock_lib.Clock,
        changes: ChangeReceiver,
        reports: ReportSender,
    ) -> None:
        self._codec = platform.packets
        self._state = state
        self._clock = clock
        self._changes = changes
        self._reports = reports
        self._steering = steering_lib.Steering(
            state.settings.data_centre,
            random.Random(),
            self._record_decision,
            state.flow_pins,
        )
        self._change_applier = change_applier.ChangeApplier(
            self._steering, state
        )
        self._settings = state.settings
        self._link_queue = link_queue.LinkQueue(
            state.settings.limits.link_bytes_per_ms
        )
        self._peer_bytes_recorded = 0
        self._link_reported_ms = 0
        self._work_pending = anyio.Event()
        self._scopes_known_ms: int | None = None
        self._known_scopes: set[replication_data.Scope] = set()
        # How many peers have told what they carry; None until they were asked.
        self._peer_answers: int | None = None
        self._held_packets: collections.deque[tuple[int, data.Packet]] = (
            collections.deque(maxlen=MAX_HELD_PACKETS)
        )
        self._socket = datagrams.open_socket(state.settings.packet_address)

    async def run(self) -> None:
        """Forwards packets until cancelled."""
        with self._socket:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._apply_messages)
                tasks.start_soon(self._run_ticks)
                await datagrams.receive_all(
                    self._socket,
                    MAX_DATAGRAM_BYTES,
                    self._handle_datagram,
                    self._record_socket_error,
                )

    def _record_socket_error(self, error: OSError) -> None:
        """Counts and logs an error of the socket.

        The kernel reports here that an earlier datagram was not delivered. No
        other action is needed: an upstream that does not answer is detected by
        its flows.
        """
        self._state.counts["packet_socket_errors"] += 1
        event_log.log(
            _LOG, logging.INFO, "packet_socket_error", problem=repr(error)
        )

    def _handle_datagram(self, datagram: bytes) -> None:
        """Decodes one datagram and handles or holds its packet."""
        packet = self._codec.decode(datagram)
        self._state.counts["packets"] += 1
        if isinstance(packet, data.UnreadablePacket):
            self._state.counts["unreadable_packets"] += 1
            event_log.log_failure(_LOG, "packet_ignored", packet)
            return
        now_ms = self._clock.now_ms()
        self._state.last_packet_ms = now_ms
        if not self._state.is_ready:
            self._held_packets.append((now_ms, packet))
            return
        self._handle_packet(packet, now_ms)

    def _handle_packet(self, packet: data.Packet, now_ms: int) -> None:
        """Decides over a packet, sends the result and starts ticks if due."""
        self._send_action(self._steering.handle(packet, now_ms), now_ms)
        if self._has_pending or self._state.flow_pins.has_news:
            self._work_pending.set()

    @property
    def _has_pending(self) -> bool:
        """Whether there is anything that needs ticks."""
        return self._steering.has_pending or len(self._link_queue) > 0

    def _send_action(self, action: data.Action, now_ms: int) -> None:
        """Sends the datagram of an action, if it has one, or queues it."""
        if isinstance(action, data.Forward):
            admission = self._link_queue.admit(action, now_ms)
            if admission is link_queue.Admission.SENT:
                self._send_forward(action)
            else:
                self._state.counts[f"packets_{admission.value}"] += 1
            return
        if isinstance(action, data.Reset):
            datagram = self._codec.encode_reset(action.packet)
            self._send(datagram, self._codec.caller_address(action.packet))

    def _release_queued(self, now_ms: int) -> None:
        """Sends the queued packets that the link can carry by now."""
        peer_bytes = self._state.peer_bytes_sent
        self._link_queue.record_sent(peer_bytes - self._peer_bytes_recorded)
        self._peer_bytes_recorded = peer_bytes
        for forward in self._link_queue.release(now_ms):
            self._send_forward(forward)

    def _send_forward(self, forward: data.Forward) -> None:
        """Sends a packet to its upstream."""
        datagram = self._codec.encode_forward(forward)
        self._send(datagram, forward.upstream.address)

    def _send(self, datagram: bytes, address: data.Address) -> None:
        """Sends one datagram.

        A datagram that cannot be sent, such as one that exceeds the MTU of the
        link, is logged and dropped.
        """
        try:
            self._socket.sendto(datagram, address)
        except datagrams.SEND_ERRORS as error:
            self._state.counts["packets_not_sent"] += 1
            event_log.log(
                _LOG,
                logging.WARNING,
                "packet_not_sent",
                address=f"{address[0]}:{address[1]}",
                problem=repr(error),
            )

    async def _run_ticks(self) -> None:
        """Calls `Steering` at each tick and each sweep, until cancelled."""
        last_sweep_ms = 0
        while True:
            await self._wait_for_tick()
            now_ms = self._clock.now_ms()
            self._release_queued(now_ms)
            for action in self._steering.tick(now_ms):
                self._send_action(action, now_ms)
            selector = self._steering.selector
            if selector.has_urgent_report or self._state.flow_pins.has_news:
                is_urgent = selector.has_urgent_report
                selector.has_urgent_report = False
                await self._send_own_reports(now_ms, is_urgent=is_urgent)
            if now_ms - last_sweep_ms >= SWEEP_INTERVAL_MS:
                last_sweep_ms = now_ms
                if self._state.is_leaving:
                    # The caller's next packet may go to another host, so a
                    # missing one is no sign of a silent upstream.
                    self._steering.record_membership_change(now_ms)
                for action in self._steering.sweep(now_ms):
                    self._send_action(action, now_ms)
                self._follow_settings()
                self._report_link(now_ms)
                self._update_readiness(now_ms)

    async def _wait_for_tick(self) -> None:
        """Waits for the next tick, or a sweep while nothing is pending."""
        if self._has_pending:
            await pauses.sleep_ms(TICK_INTERVAL_MS)
            return
        self._work_pending = anyio.Event()
        with anyio.move_on_after(SWEEP_INTERVAL_MS / clock_lib.MS_PER_SECOND):
            await self._work_pending.wait()
            await pauses.sleep_ms(FIRST_TICK_MS)

    def _follow_settings(self) -> None:
        """Applies the rate of the link if the settings have changed."""
        if self._state.settings is not self._settings:
            self._settings = self._state.settings
            self._link_queue.set_rate(self._settings.limits.link_bytes_per_ms)

    def _report_link(self, now_ms: int) -> None:
        """Logs that packets wait for the link, at most once a second."""
        if now_ms - self._link_reported_ms < LINK_REPORT_INTERVAL_MS:
            return
        if len(self._link_queue) == 0:
            return
        self._link_reported_ms = now_ms
        counts = self._state.counts
        event_log.log(
            _LOG,
            logging.INFO,
            "link_full",
            waiting=len(self._link_queue),
            queued=counts["packets_queued"],
            repeated=counts["packets_repeated"],
            dropped=counts["packets_dropped"],
        )

    async def _apply_messages(self) -> None:
        """Applies new changes and the reports of peers, until cancelled."""
        async for message in self._changes:
            now_ms = self._clock.now_ms()
            if isinstance(message, messages.PeerReports):
                self._steering.apply_peer_reports(
                    message.in_flight_by_tag,
                    message.avoid_ms_by_tag,
                    message.host_count,
                    now_ms,
                )
                if message.has_membership_changed:
                    self._steering.record_membership_change(now_ms)
                if message.evidence_by_tag is None:
                    self._steering.ejection_control.update_own_reports()
                else:
                    self._judge_upstreams(message.evidence_by_tag, now_ms)
                self._update_reachability(message, now_ms)
                await self._send_own_reports(now_ms, is_urgent=False)
                continue
            if isinstance(message, messages.PeersAsked):
                self._peer_answers = message.answers
                self._update_readiness(now_ms)
                continue
            for versioned_change in message.changes:
                self._change_applier.apply(versioned_change, message, now_ms)
            self._known_scopes.add(message.scope)
            self._update_readiness(now_ms)

    def _update_reachability(
        self, reports: messages.PeerReports, now_ms: int
    ) -> None:
        """Leaves the rotation while this host can reach no upstream."""
        reachability = self._steering.reachability
        is_cut_off = reachability.is_cut_off(
            reports.remote_silence_ms,
            now_ms,
            starts_cut_off=reports.starts_cut_off,
        )
        self._state.has_found_cut = reachability.has_found_cut
        if is_cut_off == self._state.is_cut_off:
            return
        self._state.is_cut_off = is_cut_off
        event = "cut_off" if is_cut_off else "not_cut_off"
        self._state.counts[event] += 1
        event_log.log(
            _LOG,
            logging.INFO,
            event,
            remote_silence_ms=reports.remote_silence_ms,
            starts_cut_off=reports.starts_cut_off,
        )

    async def _send_own_reports(self, now_ms: int, *, is_urgent: bool) -> None:
        """Sends what this host has observed of upstreams to its peer task."""
        has_new_pins = self._state.flow_pins.has_news
        self._state.flow_pins.has_news = False
        await self._reports.send(
            messages.OwnUpstreamReports(
                self._steering.selector.upstream_reports(now_ms),
                self._steering.ejection_control.own_reports,
                is_urgent,
                has_new_pins,
            )
        )

    def _judge_upstreams(
        self,
        evidence_by_tag: Mapping[int, outcome_reports.Evidence],
        now_ms: int,
    ) -> None:
        """Ejects upstreams that do badly, and logs and counts what changed."""
        for change in self._steering.ejection_control.update(
            evidence_by_tag, now_ms
        ):
            event = "upstream_ejected" if change.is_ejected else "upstream_back"
            self._state.counts[event] += 1
            assessment = change.assessment
            event_log.log(
                _LOG,
                logging.INFO,
                event,
                upstream=change.upstream_id,
                service=change.service,
                well=assessment.well,
                badly=assessment.badly,
                hosts=assessment.hosts,
                failing_share=round(assessment.failing_share, 2),
                slowness=round(assessment.slowness, 1),
                penalty=round(assessment.penalty, 1),
                oldest_ms=assessment.oldest_ms,
                ejected_ms=change.ejected_ms,
                repeats=change.repeats,
            )

    def _update_readiness(self, now_ms: int) -> None:
        """Makes the host ready once configuration and registry are known."""
        if self._state.is_ready or self._steering.configuration is None:
            return
        if replication_data.Scope.REGISTRY not in self._known_scopes:
            return
        if self._scopes_known_ms is None:
            self._scopes_known_ms = now_ms
        is_grace_period_over = (
            now_ms - self._scopes_known_ms >= EMPTY_REGISTRY_GRACE_MS
        )
        if (
            not self._steering.has_upstreams(now_ms)
            and not is_grace_period_over
        ):
            return
        waited_ms = now_ms - self._scopes_known_ms
        if self._must_wait_for_peers(waited_ms):
            return
        self._state.is_ready = True
        self._steering.record_membership_change(now_ms)
        event_log.log(
            _LOG,
            logging.INFO,
            "ready",
            upstreams=len(self._steering.upstream_table.by_id),
            held_packets=len(self._held_packets),
            peer_answers=self._peer_answers,
            waited_ms=waited_ms,
        )
        while self._held_packets:
            held_ms, packet = self._held_packets.popleft()
            if now_ms - held_ms <= MAX_HOLD_MS:
                self._handle_packet(packet, now_ms)

    def _must_wait_for_peers(self, waited_ms: int) -> bool:
        """Whether peers may still tell that the store is an older copy."""
        if self._peer_answers is not None or not self._state.has_eras:
            return False
        return waited_ms < startup_exchange.MAX_LONG_WAIT_MS

    def _record_decision(self, decision: decisions.Decision) -> None:
        """Counts and logs a decision that `Steering` reports."""
        self._state.counts[f"verdict_{decision.verdict.value}"] += 1
        if decision.verdict is data.Verdict.ANSWERED:
            waited_ms = int(decision.detail["waited_ms"])
            self._state.durations_ms_by_name[
                host_state.OPENING_ANSWERED
            ].append(waited_ms)
        flow = decision.flow_id
        event_log.log(
            _LOG,
            logging.INFO,
            decision.verdict.value,
            flow=format_flow(flow),
            upstream=decision.upstream_id,
            service=decision.service,
            **decision.detail,
        )


def format_flow(flow: data.FlowId) -> str:
    """Returns a flow in the form of the logs: `caller-service`."""
    caller = socket.inet_ntoa(flow.caller_address.to_bytes(4, "big"))
    service = socket.inet_ntoa(flow.service_address.to_bytes(4, "big"))
    return f"{caller}:{flow.caller_port}-{service}:{flow.service_port}"
