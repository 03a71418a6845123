"""The task that owns the control socket and the membership.

Datagrams are sealed for one recipient; whatever does not open is dropped and
counted by the type of its failure.
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
    """A sealed datagram that waits to be sent."""

    datagram: bytes
    address: str
    port: int


@dataclasses.dataclass(slots=True)
class Counters(drop_counts.DropCounts):
    """What the control task counts; read when metrics are collected.

    Attributes:
        sent: Datagrams sent.
        control_bytes: Bytes sent, without relayed packets of callers.
        received: Authentic datagrams received.
    """

    sent: int = 0
    control_bytes: int = 0
    received: int = 0


class ControlPlane:
    """Carries out the membership and seals what other tasks send."""

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
            dispatcher: The tasks that take its messages.
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
        self._sealer = sealing.Sealer(own_address.host_id, ring)
        self._opener = sealing.Opener(
            sealing.recipient_name(
                own_address.address, own_address.control_port
            ),
            ring,
        )

    def replace_ring(self, ring: keys.KeyRing) -> None:
        """Seals and opens with other keys from now on.

        Args:
            ring: The keys.
        """
        self._sealer.replace_ring(ring)
        self._opener.replace_ring(ring)

    async def serve_datagrams(self) -> None:
        """Handles control datagrams until cancelled."""
        async for datagram, _source in self._udp:
            opened = self._opener.open(datagram, clock.wall_time_ms())
            if not isinstance(opened, sealing.OpenedDatagram):
                self.counters.count_drop(opened)
                continue
            self.counters.received += 1
            if opened.kind is not _Kind.GOSSIP:
                await self._dispatcher.dispatch_message(
                    messages.ControlMessageReceived(
                        opened.sender, opened.kind, opened.body
                    )
                )
                continue
            await self._receive_gossip(opened)

    async def serve_outgoing(self) -> None:
        """Sends what is queued until cancelled.

        A socket takes one writer at a time, and several tasks cause messages.
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
        """Gives the membership the time until cancelled.

        The view is sent again at intervals, because the router does not rely
        on one that has grown old.
        """
        sent_ms = 0
        while True:
            now_ms = self._time.now_ms()
            await self._carry_out(self.membership.tick(now_ms))
            if now_ms - sent_ms >= VIEW_INTERVAL_MS:
                sent_ms = now_ms
                await self._dispatcher.dispatch_view(self.membership.view())
            await anyio.sleep(TICK_MS / clock.MS_PER_SECOND)

    async def _receive_gossip(self, opened: sealing.OpenedDatagram) -> None:
        """Gives the membership a message of another host."""
        decoded = message_codec.decode(opened.body)
        if decoded.is_error():
            self.counters.count_drop(decoded.error)
            return
        await self._carry_out(
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
            await self._carry_out(
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
            await self._carry_out(outcome.ok)
            return
        if isinstance(message, messages.HostListChanged):
            await self._carry_out(
                self.membership.set_host_list(message.hosts, now_ms)
            )
            return
        await self._carry_out(self.membership.leave(now_ms))

    async def _carry_out(
        self, actions: Iterable[membership_data.Action]
    ) -> None:
        """Carries out the actions of the membership."""
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
                await self._receive_fact(action)
                continue
            self.counters.count_drop(action.failure)

    async def _receive_fact(self, fact: membership_data.FactChanged) -> None:
        """Hands a fact about an upstream to the router; others stay here."""
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
        """Seals a body and sends it."""
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
