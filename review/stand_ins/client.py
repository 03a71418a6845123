"""Clients: they open flows, send requests on them and record what they get."""

import asyncio
import dataclasses
import random
import time
from typing import Any

from stand_ins import ends
from stand_ins import wire

_OPENING_TIMES_S = (0.0, 0.2, 0.6)
_OPENING_END_S = 1.4
_POLL_S = 0.005
_EVERY_SECOND = 2


@dataclasses.dataclass(slots=True)
class Reset:
    """A reset that a client got.

    Attributes:
        at_s: When.
        source: The end of the flow at the client.
        service: The other end.
        sender: The address that sent the datagram.
        was_open: Whether the client had an answer to its opening packet.
    """

    at_s: float
    source: wire.End
    service: wire.End
    sender: str
    was_open: bool


class Flow:
    """One flow of a client, from its opening to its end."""

    def __init__(self, client: "Client", service: wire.End, port: int) -> None:
        self.client = client
        self.source = (client.address, port)
        self.service = service
        self.opened_by: str | None = None
        self.sent_s = 0.0
        self.is_reset = False
        self.echo = 0
        self._own = client.rng.getrandbits(32)
        self._peer: int | None = None
        self._inbound: ends.Inbound | None = None
        self._next = (self._own + 1) & wire.MASK
        self._data = b""
        self._answers: list[tuple[str, bytes]] = []
        self._changed = asyncio.Event()

    def receive(self, packet: wire.Packet, sender: str) -> None:
        """Handles a packet of the other end."""
        self.echo = packet.echo
        if packet.flags & wire.RST:
            self.is_reset = True
            self.client.resets.append(
                Reset(
                    time.monotonic(),
                    self.source,
                    self.service,
                    sender,
                    self._peer is not None,
                )
            )
        elif packet.flags & wire.SYN:
            if self._peer is None:
                self._peer = packet.sequence
                self._inbound = ends.Inbound(packet.end)
                self.opened_by = sender
                self._send(wire.ACK, self._next)
        elif self._inbound is not None:
            self._receive_data(packet)
        self._changed.set()

    def _receive_data(self, packet: wire.Packet) -> None:
        inbound = self._inbound
        if inbound is None:
            return
        self._data += inbound.add(packet)
        found = ends.split_message(self._data)
        if found is not None:
            head, body, self._data = found
            self._answers.append((head, body))
            inbound.unacknowledged = _EVERY_SECOND
        if inbound.unacknowledged >= _EVERY_SECOND:
            inbound.unacknowledged = 0
            self._send(wire.ACK, self._next)

    async def open(self) -> str:
        """Opens the flow; returns `open`, `reset` or `unanswered`."""
        self.sent_s = time.monotonic()
        times = (*_OPENING_TIMES_S, _OPENING_END_S)
        for copy in range(len(_OPENING_TIMES_S)):
            self._send(wire.SYN, self._own, copy)
            end_s = self.sent_s + times[copy + 1]
            while time.monotonic() < end_s:
                await self._wait(end_s)
                if self.is_reset:
                    return "reset"
                if self._peer is not None:
                    return "open"
        return "unanswered"

    async def ask(
        self, head: str, body: bytes, deadline_s: float
    ) -> tuple[str, bytes] | str:
        """Sends a request; returns its answer, or how it ended."""
        request = ends.message(head, body)
        parts = ends.pieces(self._next, request)
        self._next = (self._next + len(request)) & wire.MASK
        end_s = time.monotonic() + deadline_s
        pause_s = ends.FIRST_RETRANSMISSION_S
        while time.monotonic() < end_s:
            for sequence, data in parts:
                self._send(wire.ACK, sequence, data=data)
            again_s = min(end_s, time.monotonic() + pause_s)
            pause_s = min(2 * pause_s, ends.LONGEST_RETRANSMISSION_S)
            while time.monotonic() < again_s:
                await self._wait(again_s)
                if self.is_reset:
                    return "reset"
                if self._answers:
                    return self._answers.pop(0)
        return "deadline"

    def close(self) -> None:
        """Ends the flow."""
        self._send(wire.ACK | wire.FIN, self._next)

    def abort(self) -> None:
        """Gives the flow up."""
        self._send(wire.ACK | wire.RST, self._next)

    async def _wait(self, until_s: float) -> None:
        self._changed.clear()
        left_s = max(0.0, until_s - time.monotonic())
        try:
            await asyncio.wait_for(self._changed.wait(), left_s)
        except TimeoutError:
            return

    def _send(
        self, flags: int, sequence: int, copy: int = 0, data: bytes = b""
    ) -> None:
        acknowledged = copy
        if self._inbound is not None:
            acknowledged = self._inbound.next
        self.client.send(
            wire.Packet(
                self.source,
                self.service,
                sequence,
                acknowledged,
                flags,
                self.echo,
                data,
            )
        )


class Client:
    """A client at an address of its own.

    Attributes:
        address: Its loopback address.
        resets: The resets that it got.
        only_host: The machine that gets its packets; None for the fabric's
            choice.
    """

    def __init__(
        self,
        address: str,
        zone: str,
        *,
        packet_port: int,
        fabric: Any,
        seed: int,
    ) -> None:
        self.address = address
        self.rng = random.Random(seed)
        self.resets: list[Reset] = []
        self.only_host: Any = None
        self._zone = zone
        self._packet_port = packet_port
        self._fabric = fabric
        self._flows: dict[int, Flow] = {}
        self._port = 1_024
        self._socket = ends.open_socket((address, packet_port))
        ends.read_from(self._socket, self._handle)

    def new_flow(self, service: wire.End) -> Flow:
        """Returns a flow from a new port, not yet opened."""
        self._port += 1
        flow = Flow(self, service, self._port)
        self._flows[self._port] = flow
        return flow

    def forget(self, flow: Flow) -> None:
        """Takes no more packets of a flow that has ended."""
        self._flows.pop(flow.source[1], None)

    def send(self, packet: wire.Packet) -> None:
        """Sends a packet through the fabric."""
        host = self.only_host
        if host is None:
            flow = (packet.source, packet.destination)
            host = self._fabric.select(self._zone, flow)
        try:
            self._socket.sendto(
                wire.encode(packet), (host.address, self._packet_port)
            )
        except OSError:
            return

    def close(self) -> None:
        """Ends."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def _handle(self, datagram: bytes, sender: tuple[str, int]) -> None:
        packet = wire.decode(datagram)
        flow = self._flows.get(packet.destination[1])
        if flow is not None and packet.source == flow.service:
            flow.receive(packet, sender[0])
