"""The task that owns the control socket and the membership.

Each datagram is sealed for one recipient. One that cannot be opened is dropped
and counted by the type of the failure.
"""

from collections.abc import Iterable
import dataclasses
import logging

import anyio
from anyio import abc
from anyio.streams import memory

from sapphire_core.membership import data as membership_data
from sapphire_core.membership import membership
from sapphire_data import clock
from sapphire_data import records
from sapphire_net import event_log
from sapphire_net.trust import keys
from sapphire_net.trust import message_ages
from sapphire_net.trust import sealing
from sapphire_node import control_dispatcher
from sapphire_node import drop_counts
from sapphire_node import failures as node_failures
from sapphire_node import messages
from sapphire_wire import flow_messages
from sapphire_wire import message_kind
from sapphire_wire.gossip import message_codec

_LOGGER = logging.getLogger(__name__)

TICK_MS = 50
VIEW_INTERVAL_MS = 250
MAX_QUEUED_DATAGRAMS = 4_096

_Kind = message_kind.MessageKind


@dataclasses.dataclass(frozen=True, slots=True)
class _Outgoing:
    """A sealed datagram in the queue of the socket."""

    datagram: bytes
    address: str
    port: int


@dataclasses.dataclass(slots=True)
class Counters(drop_counts.DropCounts):
    """What the control task counts; read when metrics are collected.

    Attributes:
        sent: Datagrams sent.
        control_bytes: Bytes sent, without relayed packets of callers.
        received: Datagrams received that could be opened.
    """

    sent: int = 0
    control_bytes: int = 0
    received: int = 0


class ControlPlane:
    """Runs the membership, and sends and receives control messages.

    Attributes:
        counters: What this task counts.
        membership: The membership; only this task changes it.
    """

    def __init__(
        self,
        own_address: records.HostAddress,
        hosts: membership.Membership,
        udp: abc.UDPSocket,
        *,
        ring: keys.KeyRing,
        dispatcher: control_dispatcher.ControlDispatcher,
        time: clock.Clock,
    ) -> None:
        """Creates the control plane.

        Args:
            own_address: The identity and addresses of this host.
            hosts: The membership; only this task changes it.
            udp: The socket of control messages.
            ring: The keys that seal them.
            dispatcher: Hands views, observations and control messages to the
                other tasks.
            time: The clock.
        """
        self.counters = Counters()
        self.membership = hosts
        self._own = own_address
        self._udp = udp
        self._dispatcher = dispatcher
        self._time = time
        self._outgoing_send, self._outgoing_receive = (
            anyio.create_memory_object_stream[_Outgoing](MAX_QUEUED_DATAGRAMS)
        )
        self._ages = message_ages.MessageAges()
        self._sealer = sealing.Sealer(own_address.host_id, ring)
        self._opener = sealing.Opener(
            sealing.recipient_name(
                own_address.address, own_address.control_port
            ),
            ring,
        )

    def replace_ring(self, ring: keys.KeyRing) -> None:
        """Replaces the keys that datagrams are sealed and opened with.

        Args:
            ring: The keys.
        """
        self._sealer.replace_ring(ring)
        self._opener.replace_ring(ring)

    async def serve_datagrams(self) -> None:
        """Receives and handles control messages until cancelled."""
        async for datagram, _source in self._udp:
            opened = self._opener.open(datagram, clock.wall_time_ms())
            if not isinstance(opened, sealing.OpenedDatagram):
                self.counters.count_drop(opened)
                continue
            self.counters.received += 1
            try:
                await self._handle_opened(opened)
            except Exception as error:
                # A message of one host must not end all others.
                self._count_unforeseen(opened, error)

    async def _handle_opened(self, opened: sealing.OpenedDatagram) -> None:
        """Handles the content of one control message."""
        age_ms = self._ages.age_ms(
            opened.sender, opened.sent_ms, clock.wall_time_ms()
        )
        if opened.kind is _Kind.GOSSIP:
            await self._receive_gossip(opened)
            return
        await self._dispatcher.dispatch_message(
            messages.ControlMessageReceived(
                opened.sender, opened.kind, opened.body, age_ms
            )
        )

    def _count_unforeseen(
        self, opened: sealing.OpenedDatagram, error: Exception
    ) -> None:
        """Counts and logs an error that handling a message raised."""
        self.counters.count_drop(node_failures.MessageFailed(opened.sender))
        event_log.log_unexpected(
            _LOGGER,
            "message_failed",
            error,
            sender=opened.sender,
            kind=opened.kind.name,
        )

    async def serve_outgoing(self) -> None:
        """Sends the queued datagrams until cancelled.

        The queue exists because several tasks cause messages, but a socket
        permits only one writer at a time.
        """
        async for outgoing in self._outgoing_receive:
            try:
                await self._udp.sendto(
                    outgoing.datagram, outgoing.address, outgoing.port
                )
            except (OSError, ValueError):
                self.counters.count_drop(
                    node_failures.AddressRefused(outgoing.address)
                )

    async def serve_inbox(
        self, inbox: memory.MemoryObjectReceiveStream[messages.ToControl]
    ) -> None:
        """Handles messages of other tasks until the stream ends.

        Args:
            inbox: The messages.
        """
        async for message in inbox:
            await self._handle(message)

    async def tick(self) -> None:
        """Runs the membership's timers at intervals until cancelled.

        The view is dispatched at intervals even if it has not changed, because
        the router does not rely on a view that is too old.
        """
        dispatched_ms = 0
        while True:
            now_ms = self._time.now_ms()
            await self._execute_actions(self.membership.tick(now_ms))
            if now_ms - dispatched_ms >= VIEW_INTERVAL_MS:
                dispatched_ms = now_ms
                await self._dispatcher.dispatch_view(self.membership.view())
            await anyio.sleep(TICK_MS / clock.MS_PER_SECOND)

    async def _receive_gossip(self, opened: sealing.OpenedDatagram) -> None:
        """Applies a gossip message of another host to the membership."""
        decoded = message_codec.decode(opened.body)
        if decoded.is_error():
            self.counters.count_drop(decoded.error)
            return
        await self._execute_actions(
            self.membership.receive(
                decoded.ok, opened.sender, self._time.now_ms()
            )
        )

    async def _handle(self, message: messages.ToControl) -> None:
        """Handles one message of another task."""
        now_ms = self._time.now_ms()
        if isinstance(message, messages.SendControlMessage):
            await self._send(
                message.address, message.port, message.kind, message.body
            )
            return
        if isinstance(message, messages.PublishPrepared):
            await self._execute_actions(
                self.membership.set_prepared_revision(message.revision, now_ms)
            )
            return
        if isinstance(message, messages.PublishFact):
            outcome = self.membership.set_fact(
                message.key,
                message.version,
                message.value,
                now_ms,
                message.ttl_ms,
            )
            if outcome.is_error():
                event_log.log_failure(
                    _LOGGER, "fact_not_published", outcome.error
                )
                return
            await self._execute_actions(outcome.ok)
            return
        if isinstance(message, messages.HostListChanged):
            await self._execute_actions(
                self.membership.set_host_list(message.hosts, now_ms)
            )
            return
        await self._execute_actions(self.membership.leave(now_ms))

    async def _execute_actions(
        self, actions: Iterable[membership_data.Action]
    ) -> None:
        """Executes the actions of the membership."""
        for action in actions:
            if isinstance(action, membership_data.SendGossip):
                await self._send(
                    action.address,
                    action.port,
                    _Kind.GOSSIP,
                    message_codec.encode(action.message),
                )
                continue
            if isinstance(action, membership_data.ViewChanged):
                await self._dispatcher.dispatch_view(action.view)
                continue
            if isinstance(action, membership_data.FactChanged):
                await self._dispatch_fact(action)
                continue
            self.counters.count_drop(action.failure)

    async def _dispatch_fact(self, fact: membership_data.FactChanged) -> None:
        """Dispatches a fact if it is the observation of an upstream.

        Other facts are only kept in the membership.
        """
        if not fact.key.startswith(flow_messages.OBSERVATION_KEY_PREFIX):
            return
        decoded = flow_messages.decode_observation(fact.value)
        if decoded.is_error():
            self.counters.count_drop(decoded.error)
            return
        await self._dispatcher.dispatch_observation(
            messages.UpstreamObservationReceived(decoded.ok)
        )

    async def _send(
        self, address: str, port: int, kind: _Kind, body: bytes
    ) -> None:
        """Seals a control message and queues it to be sent."""
        datagram = self._sealer.seal(
            sealing.recipient_name(address, port),
            kind,
            body,
            clock.wall_time_ms(),
        )
        self.counters.sent += 1
        if kind is not _Kind.RELAYED_PACKET:
            self.counters.control_bytes += len(datagram)
        try:
            self._outgoing_send.send_nowait(_Outgoing(datagram, address, port))
        except anyio.WouldBlock:
            self.counters.count_drop(node_failures.OutgoingFull())
