"""Sockets and ports of tests on the loopback addresses."""

import socket

LOOPBACK = "127.0.0.1"


def free_port(
    address: str = LOOPBACK,
    kind: socket.SocketKind = socket.SOCK_STREAM,
) -> int:
    """Returns a port that was free a moment ago.

    Args:
        address: The address at which it was free.
        kind: Whether it is a port of streams or of datagrams.
    """
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((address, 0))
        return int(probe.getsockname()[1])
