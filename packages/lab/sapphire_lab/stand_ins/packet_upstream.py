"""A fake upstream for packets: a small TCP responder over GUE.

It removes the encapsulation as a kernel would, keeps a table of connections
and answers callers directly. Its counters show routing faults from outside the
hosts: a packet of a connection that another upstream has is a broken flow, and
a packet to the address of another service is misrouted.
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
class UpstreamCounters:
    """Counts of the packets and connections of one upstream.

    Attributes:
        opened: Connections that were opened.
        packets: All packets.
        unknown_flow_packets: Packets of connections that are not in its
            table; each is answered by a reset, which breaks the flow.
        misrouted_packets: Packets to the address of another service.
        resets: Resets received from callers or hosts.
        last_packet_ms: The monotonic time of the last packet.
        opened_at_ms: The monotonic time at which each connection was opened.
    """

    opened: int = 0
    packets: int = 0
    unknown_flow_packets: int = 0
    misrouted_packets: int = 0
    resets: int = 0
    last_packet_ms: int = 0
    opened_at_ms: list[int] = dataclasses.field(default_factory=list)


class FakePacketUpstream:
    """An upstream with its table of connections."""

    def __init__(
        self,
        name: str,
        service: tuple[str, int],
        send: Callable[[bytes, str, int], None],
    ) -> None:
        """Creates the upstream.

        Args:
            name: The name of the upstream.
            service: The IP address and port of its service.
            send: Sends a payload to an IP address and port over UDP.
        """
        self.name = name
        self.counters = UpstreamCounters()
        self._service = (socket.inet_aton(service[0]), service[1])
        self._send = send
        self._connections: set[tuple[bytes, int]] = set()

    def restart(self) -> None:
        """Drops all connections, which simulates a restart of the process."""
        self._connections.clear()

    def handle_packet(self, payload: bytes, now_ms: int) -> None:
        """Handles a packet and sends the answer, if any.

        Args:
            payload: The decapsulated IP packet.
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
            self._send_answer(packet, packet_builders.SYN | packet_builders.ACK)
            return
        if caller not in self._connections:
            self.counters.unknown_flow_packets += 1
            self._send_answer(packet, packet_builders.RST)
            return
        if segment.flags & packet_builders.FIN:
            self._connections.discard(caller)
        self._send_answer(packet, packet_builders.ACK)

    def _open(self, caller: tuple[bytes, int], now_ms: int) -> None:
        """Records a connection; retransmitted opening packets count once."""
        if caller in self._connections:
            return
        self._connections.add(caller)
        self.counters.opened += 1
        self.counters.opened_at_ms.append(now_ms)

    def _send_answer(self, packet: dpkt.ip.IP, flags: int) -> None:
        """Sends an answer to the caller directly, bypassing the entry hosts."""
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
        service: The IP address and port of its service.
        address: The IP address and UDP port to listen on.
        register: Called with the upstream once its socket is open, so that
            the caller can read its counters and restart it.
    """
    time = clock.MonotonicClock()
    async with await anyio.create_udp_socket(
        family=socket.AF_INET, local_host=address[0], local_port=address[1]
    ) as udp:
        pending_sends: list[tuple[bytes, str, int]] = []

        def send(payload: bytes, host: str, port: int) -> None:
            pending_sends.append((payload, host, port))

        upstream = FakePacketUpstream(upstream_name, service, send)
        register(upstream)
        async for payload, _source in udp:
            upstream.handle_packet(payload, time.now_ms())
            while pending_sends:
                answer, host, port = pending_sends.pop()
                await udp.sendto(answer, host, port)
