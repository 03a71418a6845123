"""The platform's routers: a steady hash over the machines that are ready."""

import asyncio
import contextlib
import hashlib
from typing import Any

_INTERVAL_S = 0.5
_TIMEOUT_S = 0.45
_MISSES = 2
_HALF = 2


class Fabric:
    """Selects the machine for each packet of a client.

    Attributes:
        moves: How often the machines in rotation changed.
    """

    def __init__(self, hosts: list[Any], readiness_port: int) -> None:
        self._hosts = hosts
        self._port = readiness_port
        self._misses = {host.name: _MISSES for host in hosts}
        self.moves = 0

    def in_rotation(self, zone: str) -> list[Any]:
        """Returns the machines that get the packets of a zone's clients."""
        zone_hosts = [host for host in self._hosts if host.zone == zone]
        ready = [h for h in zone_hosts if self._misses[h.name] < _MISSES]
        if len(ready) * _HALF < len(zone_hosts) and ready:
            return zone_hosts
        if ready:
            return ready
        others = [h for h in self._hosts if self._misses[h.name] < _MISSES]
        return others or zone_hosts

    def is_ready(self, name: str) -> bool:
        """Whether a machine is in rotation."""
        return self._misses[name] < _MISSES

    def select(self, zone: str, flow: tuple[Any, ...]) -> Any:
        """Returns the machine for a packet of a flow."""

        def weight(host: Any) -> bytes:
            return hashlib.blake2b(
                f"{host.name}{flow}".encode(), digest_size=8
            ).digest()

        return max(self.in_rotation(zone), key=weight)

    async def probe(self, host: Any) -> None:
        """Asks a machine twice a second whether it is ready."""
        while True:
            was_ready = self.is_ready(host.name)
            if await self._is_ready(host.address):
                self._misses[host.name] = 0
            else:
                self._misses[host.name] += 1
            self.moves += was_ready != self.is_ready(host.name)
            await asyncio.sleep(_INTERVAL_S)

    async def _is_ready(self, address: str) -> bool:
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    address, self._port
                )
                with contextlib.closing(writer):
                    writer.write(
                        b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n"
                        b"Connection: close\r\n\r\n"
                    )
                    line = await reader.readline()
        except (OSError, TimeoutError):
            return False
        return line.startswith(b"HTTP/1.1 200")
