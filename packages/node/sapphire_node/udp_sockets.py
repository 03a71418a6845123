"""The UDP sockets of a host."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import socket

import anyio
from anyio import abc

from sapphire_wire import settings as settings_lib

ANY_PORT = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Sockets:
    """The UDP sockets of a host.

    Attributes:
        fabric: Receives packets from the fabric and forwards them.
        relayed: Forwards packets that other hosts relayed.
        control: Sends and receives control messages.
    """

    fabric: abc.UDPSocket
    relayed: abc.UDPSocket
    control: abc.UDPSocket


@contextlib.asynccontextmanager
async def open_sockets(
    settings: settings_lib.Settings,
) -> AsyncIterator[Sockets]:
    """Opens the sockets and closes them when the context ends.

    Args:
        settings: The settings with the address and the ports.

    Yields:
        The sockets.

    Raises:
        OSError: When a port cannot be bound.
    """
    address = str(settings.address)
    async with (
        await _open_udp(address, settings.ports.fabric) as fabric,
        await _open_udp(address, ANY_PORT) as relayed,
        await _open_udp(address, settings.ports.control) as control,
    ):
        yield Sockets(fabric, relayed, control)


async def _open_udp(address: str, port: int) -> abc.UDPSocket:
    """Opens a UDP socket on an address of the host."""
    if ":" in address:
        return await anyio.create_udp_socket(
            family=socket.AF_INET6, local_host=address, local_port=port
        )
    return await anyio.create_udp_socket(
        family=socket.AF_INET, local_host=address, local_port=port
    )
