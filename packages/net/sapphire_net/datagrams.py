"""Datagram sockets: opening and reading them."""

from collections.abc import Callable
import socket

import anyio

from sapphire_net import pauses

# Datagrams read before other tasks get a turn.
MAX_BURST_DATAGRAMS = 64

DatagramHandler = Callable[[bytes], None]
ErrorHandler = Callable[[OSError], None]


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


async def receive_all(
    opened: socket.socket,
    max_bytes: int,
    handle_datagram: DatagramHandler,
    handle_error: ErrorHandler,
    pause_ms: int = 0,
) -> None:
    """Reads datagrams until cancelled.

    Args:
        opened: The socket; it must not block.
        max_bytes: What is longer is cut off here.
        handle_datagram: Called with each datagram.
        handle_error: Called with each error of the socket. The kernel also
            reports here that nobody received an earlier datagram.
        pause_ms: How long datagrams may wait for others, so that several are
            read at a time.
    """
    while True:
        await anyio.wait_readable(opened)
        if pause_ms > 0:
            await pauses.sleep_ms(pause_ms)
        for _ in range(MAX_BURST_DATAGRAMS):
            try:
                datagram = opened.recv(max_bytes)
            except BlockingIOError:
                break
            except OSError as error:
                handle_error(error)
                continue
            handle_datagram(datagram)
