"""Datagram sockets: opening and reading them."""

from collections.abc import Callable
import socket

import anyio

# Datagrams read before other tasks get a turn.
BURST_DATAGRAMS = 64

Take = Callable[[bytes], None]
NoteError = Callable[[OSError], None]


def open_socket(address: tuple[str, int]) -> socket.socket:
    """Returns a socket that takes datagrams and never blocks.

    Args:
        address: Its IPv4 address and port; port 0 for any that is free.

    Raises:
        OSError: The address is not this machine's, or is in use.
    """
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    try:
        opened.bind(address)
    except OSError:
        opened.close()
        raise
    return opened


async def read_all(
    opened: socket.socket, max_bytes: int, take: Take, note_error: NoteError
) -> None:
    """Reads datagrams until cancelled.

    Args:
        opened: The socket; it must not block.
        max_bytes: What is longer is cut off here.
        take: Is given each datagram.
        note_error: Is given each error of the socket. The kernel reports here
            that a former datagram found nobody.
    """
    while True:
        await anyio.wait_readable(opened)
        for _ in range(BURST_DATAGRAMS):
            try:
                datagram = opened.recv(max_bytes)
            except BlockingIOError:
                break
            except OSError as error:
                note_error(error)
                continue
            take(datagram)
