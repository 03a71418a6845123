"""Opens UDP sockets and reads their datagrams."""

from collections.abc import Callable
import logging
import socket

import anyio

from sapphire_net import event_log
from sapphire_net import pauses

_LOG = logging.getLogger(__name__)

# Datagrams read in a row before other tasks get a turn.
MAX_BURST_DATAGRAMS = 64

# What `sendto` raises, also for an address from outside that is none.
SEND_ERRORS = (OSError, OverflowError, TypeError, ValueError)

DatagramHandler = Callable[[bytes], None]
ErrorHandler = Callable[[OSError], None]


def open_socket(address: tuple[str, int]) -> socket.socket:
    """Returns a non-blocking UDP socket bound to an address.

    Args:
        address: The IPv4 address and port; port 0 for any free port.

    Raises:
        OSError: The address is not this machine's, or is in use.
    """
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.setblocking(False)
    try:
        udp_socket.bind(address)
    except OSError:
        udp_socket.close()
        raise
    return udp_socket


async def receive_all(
    udp_socket: socket.socket,
    max_bytes: int,
    handle_datagram: DatagramHandler,
    handle_error: ErrorHandler,
    interval_ms: int = 0,
) -> None:
    """Reads datagrams until cancelled.

    A datagram whose handling raises an error is logged and dropped: whoever can
    send one would otherwise end the process.

    Args:
        udp_socket: The socket; it must be non-blocking.
        max_bytes: The bytes read of a datagram; longer ones are truncated.
        handle_datagram: Called with each datagram.
        handle_error: Called with each error of the socket. The kernel also
            reports here that a datagram sent earlier had no receiver.
        interval_ms: The interval at which all datagrams are read that have
            arrived, where many arrive in it: that takes fewer wake-ups and
            calls than to wait for each. 0 to read each as it arrives.
    """
    while True:
        if interval_ms > 0:
            await pauses.sleep_ms(interval_ms)
        else:
            await anyio.wait_readable(udp_socket)
        for _ in range(MAX_BURST_DATAGRAMS):
            try:
                datagram = udp_socket.recv(max_bytes)
            except BlockingIOError:
                break
            except OSError as error:
                handle_error(error)
                continue
            try:
                handle_datagram(datagram)
            except Exception as error:
                event_log.log_unexpected(_LOG, "datagram_failed", error)
