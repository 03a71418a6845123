"""Free ports and networks of loopback addresses for tests."""

from collections.abc import Iterator
import contextlib
import random
import socket

LOOPBACK_ADDRESS = "127.0.0.1"
# Networks that the tests of this project do not use with fixed addresses.
_FIRST_NETWORK = 80
_LAST_NETWORK = 119
_CLAIM_PORT = 27_700


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


@contextlib.contextmanager
def claim_network() -> Iterator[int]:
    """Claims a network of loopback addresses for this process.

    Processes with fixed ports can then run side by side on one machine.

    Yields:
        The second number of the addresses: `127.N.0.0` to `127.N.255.255`.

    Raises:
        OSError: All networks are claimed.
    """
    networks = list(range(_FIRST_NETWORK, _LAST_NETWORK + 1))
    random.shuffle(networks)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as claim:
        for network in networks:
            try:
                claim.bind((f"127.{network}.0.1", _CLAIM_PORT))
            except OSError:
                continue
            yield network
            return
        raise OSError("all loopback networks for tests are in use")
