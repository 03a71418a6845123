"""Sockets and ports of tests on the loopback addresses."""

import socket

LOOPBACK_ADDRESS = "127.0.0.1"


def find_free_port(
    address: str = LOOPBACK_ADDRESS,
    socket_type: socket.SocketKind = socket.SOCK_STREAM,
) -> int:
    """Returns a port that was free a moment ago.

    Args:
        address: The address at which it was free.
        socket_type: Whether it is a port of streams or of datagrams.
    """
    with socket.socket(socket.AF_INET, socket_type) as probe:
        probe.bind((address, 0))
        return int(probe.getsockname()[1])
