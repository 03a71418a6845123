"""What clients and targets share: retransmissions, the bytes of requests."""

import asyncio
from collections.abc import Callable
import socket

from stand_ins import wire

FIRST_RETRANSMISSION_S = 0.2
LONGEST_RETRANSMISSION_S = 1.6
TARGET_RETRANSMISSIONS = 8
_READ_BYTES = 2_048
_BURST = 64


def open_socket(address: tuple[str, int]) -> socket.socket:
    """Returns a socket for datagrams."""
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.setblocking(False)
    udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    udp_socket.bind(address)
    return udp_socket


def read_from(
    udp_socket: socket.socket, handle: Callable[[bytes, tuple[str, int]], None]
) -> None:
    """Calls a function with each datagram that a socket gets."""

    def read() -> None:
        for _ in range(_BURST):
            try:
                datagram, sender = udp_socket.recvfrom(_READ_BYTES)
            except BlockingIOError:
                return
            except OSError:
                continue
            handle(datagram, sender)

    asyncio.get_running_loop().add_reader(udp_socket, read)


def pieces(first_sequence: int, data: bytes) -> list[tuple[int, bytes]]:
    """Returns data in packets, each with its sequence number."""
    size = wire.MAX_DATA_BYTES
    return [
        ((first_sequence + start) & wire.MASK, data[start : start + size])
        for start in range(0, len(data), size)
    ]


async def repeat(send: Callable[[], None], is_done: Callable[[], bool]) -> bool:
    """Sends something again until it is done, as a target does.

    Returns:
        Whether it is done.
    """
    pause_s = FIRST_RETRANSMISSION_S
    for _ in range(TARGET_RETRANSMISSIONS):
        await asyncio.sleep(pause_s)
        if is_done():
            return True
        send()
        pause_s = min(2 * pause_s, LONGEST_RETRANSMISSION_S)
    await asyncio.sleep(pause_s)
    return is_done()


class Inbound:
    """Puts the data of the other end in order.

    Attributes:
        next: The number of the next byte.
    """

    def __init__(self, first: int) -> None:
        self.next = first
        self._waiting: dict[int, bytes] = {}
        self.unacknowledged = 0

    def add(self, packet: wire.Packet) -> bytes:
        """Returns the bytes that are in order now."""
        if packet.data:
            self.unacknowledged += 1
            if not wire.is_after(self.next, packet.sequence):
                self._waiting[packet.sequence] = packet.data
        found = b""
        while self.next in self._waiting:
            data = self._waiting.pop(self.next)
            found += data
            self.next = (self.next + len(data)) & wire.MASK
        return found


def message(head: str, body: bytes) -> bytes:
    """Returns a request or an answer."""
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def split_message(data: bytes) -> tuple[str, bytes, bytes] | None:
    """Returns the head, the body and the rest; None if it is not whole."""
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return None
    head = data[:end].decode("latin-1")
    body = data[end + 4 :]
    length = int(head.rpartition("Content-Length: ")[2])
    if len(body) < length:
        return None
    return head, body[:length], body[length:]
