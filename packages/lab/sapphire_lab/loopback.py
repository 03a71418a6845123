"""Free ports on loopback addresses for tests."""

import socket

LOOPBACK_ADDRESS = "127.0.0.1"


def find_free_port(
    address: str = LOOPBACK_ADDRESS,
    socket_type: socket.SocketKind = socket.SOCK_STREAM,
) -> int:
    """Returns a port that is free now.

    Another process may bind it before the caller does.

    Args:
        address: The IP address on which it is free.
        socket_type: SOCK_STREAM for TCP, SOCK_DGRAM for UDP.
    """
    with socket.socket(socket.AF_INET, socket_type) as test_socket:
        test_socket.bind((address, 0))
        return int(test_socket.getsockname()[1])
