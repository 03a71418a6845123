"""A stand-in fabric: hands each packet to any entry host that it lists."""

import socket

import anyio
from anyio import abc
import numpy as np

from sapphire_lab.demo import deployments


class FakeFabric:
    """Sprays packets over entry hosts from a socket of its own."""

    def __init__(self, udp: abc.UDPSocket, seed: int) -> None:
        """Creates the fabric.

        Args:
            udp: The socket that hosts see packets come from.
            seed: Seeds the choice of hosts.
        """
        self._udp = udp
        self._random = np.random.default_rng(seed)
        self.host_addresses: list[str] = []

    async def send_to_any_host(self, packet: bytes) -> None:
        """Sends a packet to any entry host.

        Args:
            packet: The IP packet of a caller.
        """
        if not self.host_addresses:
            return
        index = int(self._random.integers(len(self.host_addresses)))
        await self._udp.sendto(
            packet, self.host_addresses[index], deployments.FABRIC_PORT
        )

    def pick_host(self) -> str | None:
        """Returns any listed entry host, for a connection of its own."""
        if not self.host_addresses:
            return None
        return self.host_addresses[
            int(self._random.integers(len(self.host_addresses)))
        ]


async def open_socket(address: str, port: int) -> abc.UDPSocket:
    """Opens a UDP socket on a loopback address.

    Args:
        address: The IP number.
        port: The port.

    Returns:
        The socket; the caller closes it.
    """
    return await anyio.create_udp_socket(
        family=socket.AF_INET, local_host=address, local_port=port
    )
