"""A fake fabric: sends each packet to a random entry host in its list."""

import socket

import anyio
from anyio import abc
import numpy as np

from sapphire_lab.demo import deployments


class FakeFabric:
    """Distributes packets at random over entry hosts.

    Attributes:
        host_addresses: The IP addresss of the entry hosts that get packets.
    """

    def __init__(self, udp: abc.UDPSocket, seed: int) -> None:
        """Creates the fabric.

        Args:
            udp: The socket that packets are sent from.
            seed: The seed of the random choice of hosts.
        """
        self._udp = udp
        self._random = np.random.default_rng(seed)
        self.host_addresses: list[str] = []

    async def send_to_any_host(self, packet: bytes) -> None:
        """Sends a packet to a random entry host; drops it if none is listed.

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
        """Returns the address of a random entry host, None without any."""
        if not self.host_addresses:
            return None
        return self.host_addresses[
            int(self._random.integers(len(self.host_addresses)))
        ]


async def open_socket(address: str, port: int) -> abc.UDPSocket:
    """Opens a UDP socket on a loopback address.

    Args:
        address: The IP address.
        port: The port.

    Returns:
        The socket; the caller closes it.
    """
    return await anyio.create_udp_socket(
        family=socket.AF_INET, local_host=address, local_port=port
    )
