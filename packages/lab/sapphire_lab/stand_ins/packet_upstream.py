"""A stand-in upstream for packets: a small TCP responder over GUE.

It removes the encapsulation as a kernel would, keeps a table of connections
and answers callers directly. What it counts is the outside view of the
promises: a packet of a connection that another upstream holds is a broken
flow, a packet to a service address that is not its own is misrouted.
"""

from collections.abc import Callable
import dataclasses
import socket

import anyio
import dpkt

from sapphire_data import clock
from sapphire_wire import packet_builders

CALLER_PORT = 6081


@dataclasses.dataclass(slots=True)
class Counters:
    """What one upstream saw.

    Attributes:
        opened: Connections that were opened.
        packets: All packets.
        unknown_flow_packets: Packets of connections that it does not hold;
            each is answered by a reset, which breaks the flow.
        misrouted_packets: Packets to a service address not its own.
        resets: Resets that callers or hosts sent.
        last_packet_ms: The monotonic time of the last packet.
        opened_at_ms: The monotonic time of each opening.
    """

    opened: int = 0
    packets: int = 0
    unknown_flow_packets: int = 0
    misrouted_packets: int = 0
    resets: int = 0
    last_packet_ms: int = 0
    opened_at_ms: list[int] = dataclasses.field(default_factory=list)


class FakePacketUpstream:
    """One upstream; its task owns the socket and the connections."""

    def __init__(
        self,
        name: str,
        service: tuple[str, int],
        send: Callable[[bytes, str, int], None],
    ) -> None:
        """Creates the upstream.

        Args:
            name: The name of the upstream.
            service: The IP number and port of its service.
            send: Sends a payload to an address and port over UDP.
        """
        self.name = name
        self.counters = Counters()
        self._service = (socket.inet_aton(service[0]), service[1])
        self._send = send
        self._connections: set[tuple[bytes, int]] = set()

    def restart(self) -> None:
        """Forgets all connections, as a restarted process does."""
        self._connections.clear()

    def handle_packet(self, payload: bytes, now_ms: int) -> None:
        """Handles an encapsulated packet.

        Args:
            payload: The IP packet.
            now_ms: The monotonic time.
        """
        packet = dpkt.ip.IP(payload)
        segment = packet.data
        self.counters.packets += 1
        self.counters.last_packet_ms = now_ms
        if (packet.dst, segment.dport) != self._service:
            self.counters.misrouted_packets += 1
            return
        caller = (packet.src, segment.sport)
        if segment.flags & packet_builders.RST:
            self.counters.resets += 1
            self._connections.discard(caller)
            return
        if segment.flags & packet_builders.SYN:
            self._open(caller, now_ms)
            self._answer(packet, packet_builders.SYN | packet_builders.ACK)
            return
        if caller not in self._connections:
            self.counters.unknown_flow_packets += 1
            self._answer(packet, packet_builders.RST)
            return
        if segment.flags & packet_builders.FIN:
            self._connections.discard(caller)
        self._answer(packet, packet_builders.ACK)

    def _open(self, caller: tuple[bytes, int], now_ms: int) -> None:
        """Records a connection; a repeated opening packet counts once."""
        if caller in self._connections:
            return
        self._connections.add(caller)
        self.counters.opened += 1
        self.counters.opened_at_ms.append(now_ms)

    def _answer(self, packet: dpkt.ip.IP, flags: int) -> None:
        """Answers a caller directly, without passing an entry host."""
        segment = packet.data
        answer = packet_builders.tcp_packet(
            (socket.inet_ntoa(packet.dst), segment.dport),
            (socket.inet_ntoa(packet.src), segment.sport),
            flags,
            payload=self.name.encode(),
            seq=segment.ack,
            ack=(segment.seq + len(segment.data)) & 0xFFFFFFFF,
        )
        self._send(answer, socket.inet_ntoa(packet.src), CALLER_PORT)


async def serve(
    upstream_name: str,
    service: tuple[str, int],
    address: tuple[str, int],
    register: Callable[[FakePacketUpstream], None],
) -> None:
    """Serves one upstream on a socket until cancelled.

    Args:
        upstream_name: The name of the upstream.
        service: The IP number and port of its service.
        address: The IP number and UDP port to listen on.
        register: Receives the upstream, for its counters and faults.
    """
    time = clock.MonotonicClock()
    async with await anyio.create_udp_socket(
        family=socket.AF_INET, local_host=address[0], local_port=address[1]
    ) as udp:
        pending: list[tuple[bytes, str, int]] = []

        def send(payload: bytes, host: str, port: int) -> None:
            pending.append((payload, host, port))

        upstream = FakePacketUpstream(upstream_name, service, send)
        register(upstream)
        async for payload, _source in udp:
            upstream.handle_packet(payload, time.now_ms())
            while pending:
                answer, host, port = pending.pop()
                await udp.sendto(answer, host, port)
