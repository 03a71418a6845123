"""The task that owns the packet socket and places flows."""

import collections
import logging
import random
import socket

import anyio
import anyio.streams.memory

from sapphire_core.replication import data as replication_data
from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import steering as steering_lib
from sapphire_core.tagged_flows import upstream_table
from sapphire_data import clock as clock_lib
from sapphire_net import datagrams
from sapphire_net import event_log
from sapphire_net import pauses
from sapphire_node.entry import host_state
from sapphire_node.entry import messages
from sapphire_node.entry import platform_interface

_LOG = logging.getLogger(__name__)

MAX_DATAGRAM_BYTES = 2_048
TICK_MS = 10
SWEEP_MS = 100
# Packets that arrive before the host can route are kept for as long as a
# caller takes to send them again.
MAX_HOLD_MS = 200
MAX_HELD_PACKETS = 512
# A registry without any upstream may only have lost its entries while the
# store was away; those that live are back after this time.
EMPTY_REGISTRY_GRACE_MS = upstream_table.LAPSE_GRACE_MS

ChangeReceiver = anyio.streams.memory.MemoryObjectReceiveStream[
    messages.NewChanges | messages.PeerReports
]
SeenSender = anyio.streams.memory.MemoryObjectSendStream[
    messages.LocalUpstreamReports
]


class PacketTask:
    """Takes packets of the fabric and sends them on.

    Args:
        platform: Reads and writes packets.
        state: The state of the process.
        clock: The clock.
        changes: What this host learns.
        seen: Takes what it sees of upstreams.
    """

    def __init__(
        self,
        platform: platform_interface.Platform,
        state: host_state.HostState,
        clock: clock_lib.Clock,
        changes: ChangeReceiver,
        seen: SeenSender,
    ) -> None:
        self._format = platform.packets
        self._state = state
        self._clock = clock
        self._changes = changes
        self._seen = seen
        self._steering = steering_lib.Steering(
            state.settings.data_centre, random.Random(), self._report
        )
        self._pending = anyio.Event()
        self._complete_ms: int | None = None
        self._known_scopes: set[replication_data.Scope] = set()
        self._held: collections.deque[tuple[int, data.Packet]] = (
            collections.deque(maxlen=MAX_HELD_PACKETS)
        )
        self._socket = datagrams.open_socket(state.settings.packet_address)

    async def run(self) -> None:
        """Works until cancelled."""
        with self._socket:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._learn)
                tasks.start_soon(self._tick)
                await datagrams.read_all(
                    self._socket,
                    MAX_DATAGRAM_BYTES,
                    self._take,
                    self._note_socket_error,
                )

    def _note_socket_error(self, error: OSError) -> None:
        """Notes an error of the socket.

        The kernel reports here that a former datagram found nobody; the
        packet's flow shows it by its silence.
        """
        self._state.counts["packet_socket_errors"] += 1
        event_log.log(
            _LOG, logging.INFO, "packet_socket_error", problem=repr(error)
        )

    def _take(self, datagram: bytes) -> None:
        """Decides about one datagram."""
        packet = self._format.decode(datagram)
        self._state.counts["packets"] += 1
        if isinstance(packet, data.UnreadablePacket):
            self._state.counts["unreadable_packets"] += 1
            event_log.log_failure(_LOG, "packet_ignored", packet)
            return
        now_ms = self._clock.now_ms()
        self._state.last_packet_ms = now_ms
        if not self._state.is_ready:
            self._held.append((now_ms, packet))
            return
        self._handle(packet, now_ms)

    def _handle(self, packet: data.Packet, now_ms: int) -> None:
        """Decides about a packet and sees to what it leaves pending."""
        self._act(self._steering.handle(packet, now_ms))
        if self._steering.has_pending:
            self._pending.set()

    def _act(self, action: data.Action) -> None:
        """Sends what was decided."""
        if isinstance(action, data.Forward):
            datagram = self._format.encode_forward(action)
            self._send(datagram, action.upstream.address)
            return
        if isinstance(action, data.Reset):
            datagram = self._format.encode_reset(action.packet)
            self._send(datagram, self._format.caller_address(action.packet))

    def _send(self, datagram: bytes, address: data.Address) -> None:
        """Sends one datagram; one that does not fit the link is lost."""
        try:
            self._socket.sendto(datagram, address)
        except OSError as error:
            self._state.counts["packets_not_sent"] += 1
            event_log.log(
                _LOG,
                logging.WARNING,
                "packet_not_sent",
                address=f"{address[0]}:{address[1]}",
                problem=repr(error),
            )

    async def _tick(self) -> None:
        """Acts on the passing of time."""
        swept_ms = 0
        while True:
            await self._wait_for_tick()
            now_ms = self._clock.now_ms()
            for action in self._steering.tick(now_ms):
                self._act(action)
            if self._steering.selector.has_urgent_report:
                self._steering.selector.has_urgent_report = False
                reports = self._steering.selector.upstream_reports(now_ms)
                await self._seen.send(
                    messages.LocalUpstreamReports(reports, is_urgent=True)
                )
            if now_ms - swept_ms >= SWEEP_MS:
                swept_ms = now_ms
                self._steering.sweep(now_ms)
                self._check_readiness(now_ms)

    async def _wait_for_tick(self) -> None:
        """Returns after a tick, or a sweep later while nothing is pending."""
        if not self._steering.has_pending:
            self._pending = anyio.Event()
            with anyio.move_on_after(SWEEP_MS / clock_lib.MS_PER_SECOND):
                await self._pending.wait()
        await pauses.sleep_ms(TICK_MS)

    async def _learn(self) -> None:
        """Takes what this host learns."""
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
                reports = self._steering.selector.upstream_reports(now_ms)
                await self._seen.send(
                    messages.LocalUpstreamReports(reports, is_urgent=False)
                )
                continue
            for known in message.changes:
                self._apply(known, message, now_ms)
            self._known_scopes.add(message.scope)
            self._check_readiness(now_ms)

    def _apply(
        self,
        known: messages.ChangeAtRevision,
        message: messages.NewChanges,
        now_ms: int,
    ) -> None:
        """Takes one change."""
        change = known.change
        if isinstance(change, data.ConfigurationChange):
            configuration = change.configuration
            if self._steering.configure(configuration):
                event_log.log(
                    _LOG,
                    logging.INFO,
                    "configuration_in_force",
                    version=configuration.version,
                    revision=known.revision,
                    routes=len(configuration.routes_by_endpoint),
                    source=message.source,
                )
            return
        table = self._steering.upstream_table
        if isinstance(change, data.DataCentreChange):
            table.set_out_of_rotation(change.data_centre, is_out=change.is_out)
            event_log.log(
                _LOG,
                logging.INFO,
                "data_centre_out" if change.is_out else "data_centre_in",
                data_centre=change.data_centre,
                revision=known.revision,
                source=message.source,
            )
            return
        if isinstance(change, data.UpstreamRemoval):
            entry = table.remove(
                change.upstream_id, now_ms, message.removal_cause
            )
            if entry is not None:
                event_log.log(
                    _LOG,
                    logging.INFO,
                    "upstream_removed",
                    upstream=change.upstream_id,
                    state=entry.upstream.state.value,
                    cause=message.removal_cause.value,
                    revision=known.revision,
                    source=message.source,
                )
            return
        if isinstance(change, data.FormerUpstream):
            table.put_former(change.upstream, known.revision, now_ms)
            event_log.log(
                _LOG,
                logging.INFO,
                "former_upstream_known",
                upstream=change.upstream.upstream_id,
                revision=known.revision,
                source=message.source,
            )
            return
        self._apply_upstream(change.upstream, known.revision, message, now_ms)

    def _apply_upstream(
        self,
        upstream: data.Upstream,
        revision: int,
        message: messages.NewChanges,
        now_ms: int,
    ) -> None:
        """Takes the report of an upstream; logs what is more than a beat."""
        table = self._steering.upstream_table
        known = table.by_id.get(upstream.upstream_id)
        former = known.upstream if known is not None else None
        was_removed = known is not None and known.removed_ms is not None
        table.put(upstream, revision, now_ms)
        if (
            former is not None
            and not was_removed
            and former.state is upstream.state
            and former.started_ms == upstream.started_ms
            and former.address == upstream.address
        ):
            return
        event_log.log(
            _LOG,
            logging.INFO,
            "upstream_known",
            upstream=upstream.upstream_id,
            service=upstream.service,
            data_centre=upstream.data_centre,
            address=f"{upstream.address[0]}:{upstream.address[1]}",
            state=upstream.state.value,
            cold_ms=upstream.cold_ms,
            was_known=former is not None,
            was_removed=was_removed,
            revision=revision,
            source=message.source,
        )

    def _check_readiness(self, now_ms: int) -> None:
        """Starts to route once configuration and registry are known."""
        if self._state.is_ready or self._steering.configuration is None:
            return
        if replication_data.Scope.REGISTRY not in self._known_scopes:
            return
        if self._complete_ms is None:
            self._complete_ms = now_ms
        is_settled = now_ms - self._complete_ms >= EMPTY_REGISTRY_GRACE_MS
        if not self._steering.has_upstreams(now_ms) and not is_settled:
            return
        self._state.is_ready = True
        self._steering.record_membership_change(now_ms)
        event_log.log(
            _LOG,
            logging.INFO,
            "ready",
            upstreams=len(self._steering.upstream_table.by_id),
            held_packets=len(self._held),
        )
        while self._held:
            held_ms, packet = self._held.popleft()
            if now_ms - held_ms <= MAX_HOLD_MS:
                self._handle(packet, now_ms)

    def _report(self, decision: steering_lib.Decision) -> None:
        """Counts and logs a decision that touches the life of a flow."""
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
            flow=flow_text(flow),
            upstream=decision.upstream_id,
            service=decision.service,
            **decision.detail,
        )


def flow_text(flow: data.FlowId) -> str:
    """Returns a flow as logs show it: caller, then service."""
    caller = socket.inet_ntoa(flow.caller_address.to_bytes(4, "big"))
    service = socket.inet_ntoa(flow.service_address.to_bytes(4, "big"))
    return f"{caller}:{flow.caller_port}-{service}:{flow.service_port}"
