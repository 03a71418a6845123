"""The task that owns the fabric socket and the router.

Packets come from the fabric or are relayed by other hosts. The router decides
what to do with each packet, and this task executes the decision. A packet from
the fabric that is forwarded to an upstream awaits only two socket calls.
"""

import dataclasses
import logging

import anyio
from anyio import abc
from anyio.streams import memory

from sapphire_core.flows import data as flow_data
from sapphire_core.flows import router as flow_router
from sapphire_core.flows import upstream_health
from sapphire_data import clock
from sapphire_data import records
from sapphire_net import event_log
from sapphire_node import drop_counts
from sapphire_node import failures as node_failures
from sapphire_node import flow_statistics
from sapphire_node import messages
from sapphire_node import probe_evaluation
from sapphire_node import slow_start_query
from sapphire_wire import flow_messages
from sapphire_wire import ip_packet
from sapphire_wire import message_kind
from sapphire_wire import slow_start_messages

_LOGGER = logging.getLogger(__name__)

TICK_MS = 100

_Kind = message_kind.MessageKind


@dataclasses.dataclass(slots=True)
class Counters(drop_counts.DropCounts):
    """What the forwarder counts; read when metrics are collected.

    Attributes:
        forwarded: Packets sent to an upstream.
        relayed: Packets relayed to another host.
        reset: Packets answered by a reset.
    """

    forwarded: int = 0
    relayed: int = 0
    reset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Sockets:
    """The sockets of the forwarder, each with one task that writes to it.

    Attributes:
        fabric: Receives packets from the fabric and forwards them.
        relayed: Forwards packets that other hosts relayed.
    """

    fabric: abc.UDPSocket
    relayed: abc.UDPSocket


class Forwarder:
    """Gives packets to a router and executes its decisions.

    Attributes:
        counters: What this task counts.
        host_id: The identity of this host.
        router: The router; only this task changes it.
        last_packet_ms: The monotonic time of the last valid packet from the
            fabric.
        statistics: What the status and the service levels report of flows.
    """

    def __init__(
        self,
        host_id: str,
        router: flow_router.Router,
        sockets: Sockets,
        to_control: memory.MemoryObjectSendStream[messages.ToControl],
        *,
        time: clock.Clock,
    ) -> None:
        """Creates the forwarder.

        Args:
            host_id: The identity of this host.
            router: The router; only this task changes it.
            sockets: Its sockets.
            to_control: The inbox of the control task.
            time: The clock.
        """
        self.counters = Counters()
        self.host_id = host_id
        self.router = router
        self._fabric = sockets.fabric
        self._relayed = sockets.relayed
        self._to_control = to_control
        self._time = time
        self.last_packet_ms = 0
        self.statistics = flow_statistics.FlowStatistics()
        self._slow_start_query = slow_start_query.SlowStartQuery()
        self._health = upstream_health.UpstreamHealth()
        self._hosts_by_id: dict[str, records.HostAddress] = {}

    async def serve_fabric(self) -> None:
        """Routes packets from the fabric until cancelled."""
        now_ms = self._time.now_ms
        route = self.router.route
        decode = ip_packet.decode
        sendto = self._fabric.sendto
        counters = self.counters
        async for packet, source in self._fabric:
            fields = decode(packet)
            if not isinstance(fields, ip_packet.PacketFields):
                counters.count_drop(fields)
                continue
            key, flow_hash, is_opening, is_closing = fields
            self.last_packet_ms = time_ms = now_ms()
            try:
                decision = route(
                    key, flow_hash, is_opening, is_closing, time_ms
                )
            except Exception as error:
                self._count_unforeseen("fabric", error)
                continue
            if type(decision) is flow_data.Forward:
                counters.forwarded += 1
                upstream = decision.upstream
                if is_opening or is_closing:
                    self.statistics.record_open_or_close(
                        upstream.name, is_opening
                    )
                try:
                    await sendto(packet, upstream.address, upstream.packet_port)
                except (OSError, ValueError):
                    counters.count_drop(
                        node_failures.AddressRefused(upstream.address)
                    )
                continue
            await self._execute_decision(decision, packet, source, self._fabric)

    def _count_unforeseen(self, sender: str, error: Exception) -> None:
        """Counts and logs an error over one message, which is dropped."""
        self.counters.count_drop(node_failures.MessageFailed(sender))
        event_log.log_unexpected(
            _LOGGER, "message_failed", error, sender=sender
        )

    async def serve_inbox(
        self, inbox: memory.MemoryObjectReceiveStream[messages.ToForwarder]
    ) -> None:
        """Handles messages of other tasks until the stream ends.

        Args:
            inbox: The messages.
        """
        async for message in inbox:
            await self.handle(message)

    async def tick(self) -> None:
        """Runs the router's timers at intervals until cancelled."""
        while True:
            now_ms = self._time.now_ms()
            await self._execute_actions(self.router.tick(now_ms))
            await self._query_slow_starts(now_ms)
            await anyio.sleep(TICK_MS / clock.MS_PER_SECOND)

    async def handle(self, message: messages.ToForwarder) -> None:
        """Handles one message of another task.

        Args:
            message: The message.
        """
        now_ms = self._time.now_ms()
        if isinstance(message, messages.ControlMessageReceived):
            try:
                await self._handle_control_message(message, now_ms)
            except Exception as error:
                self._count_unforeseen(message.sender, error)
            return
        if isinstance(message, messages.ViewChanged):
            self._hosts_by_id = {
                host_id: member.host
                for host_id, member in message.view.members_by_id.items()
            }
            self.router.set_view(message.view, now_ms)
            return
        if isinstance(message, messages.ConfigurationAccepted):
            configuration = message.configuration
            self.statistics.revisions.record_prepared(configuration, now_ms)
            self.router.prepare(configuration, now_ms)
            self._slow_start_query.start(now_ms)
            await self._to_control.send(
                messages.PublishPrepared(configuration.revision)
            )
            return
        if isinstance(message, messages.NewerRevisionKnown):
            self.statistics.revisions.record_newer_revision(
                message.revision, now_ms
            )
            self.router.record_newer_revision(message.revision, now_ms)
            return
        if isinstance(message, messages.UpstreamObservationReceived):
            self._health.set_agreed_state(message.observation)
            self.router.apply_observation(message.observation, now_ms)
            return
        await self._apply_probe(message, now_ms)

    async def _apply_probe(
        self, probed: messages.UpstreamProbed, now_ms: int
    ) -> None:
        """Publishes the new state of an upstream if a probe changes it."""
        observation = probe_evaluation.evaluate_probe(
            self._health, probed, self.router.observations(), now_ms
        )
        if observation is None or not self.router.apply_observation(
            observation, now_ms
        ):
            return
        event_log.log(
            _LOGGER,
            logging.WARNING,
            "upstream_state_changed",
            upstream=observation.upstream,
            state=observation.state.value,
            version=observation.version,
        )
        await self._to_control.send(
            messages.PublishFact(
                flow_messages.OBSERVATION_KEY_PREFIX + observation.upstream,
                observation.version,
                flow_messages.encode_observation(observation),
            )
        )

    async def _handle_control_message(
        self, message: messages.ControlMessageReceived, now_ms: int
    ) -> None:
        """Handles a control message from another host."""
        if message.kind is _Kind.RELAYED_PACKET:
            await self._route_relayed(message.body, now_ms)
            return
        if message.kind is _Kind.HANDOVER_REQUEST:
            request = flow_messages.decode_handover_request(message.body)
            if request.is_error():
                self.counters.count_drop(request.error)
                return
            page = self.router.answer_handover_request(
                message.sender, request.ok, now_ms
            )
            if page is None:
                return
            await self._send_to(
                message.sender,
                _Kind.HANDOVER_PAGE,
                flow_messages.encode_handover_page(page),
            )
            return
        if message.kind is _Kind.HANDOVER_PAGE:
            decoded = flow_messages.decode_handover_page(message.body)
            if decoded.is_error():
                self.counters.count_drop(decoded.error)
                return
            self.router.apply_handover_page(message.sender, decoded.ok, now_ms)
            return
        if message.kind is _Kind.SLOW_START_REQUEST:
            slow_starts = self.router.slow_starts(now_ms)
            await self._send_to(
                message.sender,
                _Kind.SLOW_START_ANSWER,
                slow_start_messages.encode_answer(slow_starts),
            )
            return
        if message.kind is _Kind.SLOW_START_ANSWER:
            answer = slow_start_messages.decode_answer(message.body)
            if answer.is_error():
                self.counters.count_drop(answer.error)
                return
            self._slow_start_query.record_answer(message.sender)
            self.router.adopt_slow_starts(answer.ok, now_ms)

    async def _query_slow_starts(self, now_ms: int) -> None:
        """Asks peers for their slow starts after this host has started."""
        peers = self._hosts_by_id.keys() - {self.host_id}
        for host_id in self._slow_start_query.hosts_to_query(peers, now_ms):
            await self._send_to(
                host_id,
                _Kind.SLOW_START_REQUEST,
                slow_start_messages.encode_request(),
            )

    async def _route_relayed(self, body: bytes, now_ms: int) -> None:
        """Routes a packet that another host relayed."""
        decoded = flow_messages.decode_relay(body)
        if decoded.is_error():
            self.counters.count_drop(decoded.error)
            return
        relayed = decoded.ok
        fields = ip_packet.decode(relayed.packet)
        if not isinstance(fields, ip_packet.PacketFields):
            self.counters.count_drop(fields)
            return
        decision = self.router.route_relayed(relayed.header, *fields, now_ms)
        if isinstance(decision, flow_data.Forward) and (
            fields.is_opening or fields.is_closing
        ):
            self.statistics.record_open_or_close(
                decision.upstream.name, fields.is_opening
            )
        await self._execute_decision(
            decision, relayed.packet, relayed.fabric, self._relayed
        )

    async def _execute_decision(
        self,
        decision: flow_data.Decision,
        packet: bytes,
        fabric: tuple[str, int],
        udp: abc.UDPSocket,
    ) -> None:
        """Executes the router's decision about a packet.

        Args:
            decision: The decision.
            packet: The caller's packet.
            fabric: The address and port from which the fabric sent the
                packet; a reset is sent back there.
            udp: The socket of the calling task.
        """
        if isinstance(decision, flow_data.Forward):
            self.counters.forwarded += 1
            upstream = decision.upstream
            target = (upstream.address, upstream.packet_port)
            await self._send_datagram(udp, packet, target)
            return
        if isinstance(decision, flow_data.Relay):
            self.counters.relayed += 1
            await self._send_to(
                decision.host_id,
                _Kind.RELAYED_PACKET,
                flow_messages.encode_relay(decision, packet, fabric),
            )
            return
        if isinstance(decision, flow_data.Reset):
            self.counters.reset += 1
            self.statistics.record_reset(decision.reason)
            reset = ip_packet.build_reset(packet)
            if reset is not None:
                await self._send_datagram(udp, reset, fabric)
            return
        self.counters.count_drop(decision.reason)

    async def _send_datagram(
        self, udp: abc.UDPSocket, datagram: bytes, target: tuple[str, int]
    ) -> None:
        """Sends a datagram; counts it as dropped if the socket refuses it."""
        try:
            await udp.sendto(datagram, *target)
        except (OSError, ValueError):
            self.counters.count_drop(node_failures.AddressRefused(target[0]))

    async def _execute_actions(self, actions: list[flow_data.Action]) -> None:
        """Executes the actions of the router."""
        for action in actions:
            if isinstance(action, flow_data.SendHandoverRequest):
                await self._send_to(
                    action.host_id,
                    _Kind.HANDOVER_REQUEST,
                    flow_messages.encode_handover_request(action.request),
                )
                continue
            if isinstance(action, flow_data.SendHandoverPage):
                await self._send_to(
                    action.host_id,
                    _Kind.HANDOVER_PAGE,
                    flow_messages.encode_handover_page(action.page),
                )
                continue
            if isinstance(action, flow_data.RevisionActivated):
                self.statistics.record_activated(action.revision)

    async def _send_to(self, host_id: str, kind: _Kind, body: bytes) -> None:
        """Queues a control message to a host for the control task to send."""
        host = self._hosts_by_id.get(host_id)
        if host is None:
            self.counters.count_drop(node_failures.UnknownHost(host_id))
            return
        await self._to_control.send(
            messages.SendControlMessage(
                host.address, host.control_port, kind, body
            )
        )
