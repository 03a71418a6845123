"""A small deployment on loopback addresses."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import pathlib
import random
import socket
import tempfile
import time
from typing import Any

from stand_ins import client as client_lib
from stand_ins import fabric as fabric_lib
from stand_ins import hosts as hosts_lib
from stand_ins import store as store_lib
from stand_ins import target as target_lib
from stand_ins import wire

_NETWORKS = range(130, 250)
_FIRST_PORT = 20_000
_LAST_PORT = 30_000
_TRIES = 200
_INTERNAL_PORTS = 15
_METRICS_PORT = 9_464
_START_S = 15.0
_STARTS = 2
CANNOT_RUN = 2
_POLL_S = 0.05
_CANCEL_S = 0.3
BEAT_S = 1.2
FLOW_MAX_S = 60
CONTACT_MS = 4_000


class CannotRunError(Exception):
    """The case cannot run on this machine."""


class Losses:
    """Loses some of the datagrams to clients."""

    def __init__(self, share: float, seed: int) -> None:
        self._share = share
        self._rng = random.Random(seed)
        self.count = 0

    def loses(self, packet: wire.Packet) -> bool:
        """Whether a datagram is lost."""
        del packet
        is_lost = self._rng.random() < self._share
        self.count += is_lost
        return is_lost


async def run(
    record: pathlib.Path,
    seed: int,
    prepare: Callable[["World"], Awaitable[None]],
    play: Callable[["World"], Awaitable[int]],
) -> int:
    """Runs a case, again with other ports if one of its own is taken.

    Args:
        record: The file that gets the record.
        seed: The seed of all that is drawn.
        prepare: Starts machines and targets.
        play: Plays the case in the world; returns the exit status.

    Returns:
        The exit status; 2 if the case cannot run.
    """
    for _ in range(_STARTS):
        async with World(record, seed) as world:
            try:
                await prepare(world)
                await world.wait_until_ready()
            except (OSError, CannotRunError) as error:
                world.log(f"cannot run: {error!r}")
                continue
            world.log("all machines are in rotation")
            return await play(world)
    return CANNOT_RUN


class World:
    """Machines, store, targets, clients and the operator.

    Attributes:
        hosts: The machines of the system.
        targets: The targets, also those that have ended.
        clients: The clients.
        service_address: The address of all routes.
    """

    def __init__(self, record: pathlib.Path, seed: int) -> None:
        self._record = record.open("w", encoding="utf-8")
        self._started_s = time.monotonic()
        self._stack = contextlib.AsyncExitStack()
        self.rng = random.Random(seed)
        self.store = store_lib.Store()
        self.hosts: list[hosts_lib.Host] = []
        self.targets: list[target_lib.Target] = []
        self.clients: list[client_lib.Client] = []
        self.losses: Losses | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._version = 0
        self._next_target = 1
        self._next_client = 1
        self.routes: dict[int, str] = {}
        self.cold_rates: dict[str, float] = {}
        self.objective_ms = 200
        self.network = self._choose_network()
        self.service_address = f"127.{self.network}.9.1"
        self.packet_port = 0
        self.fabric: fabric_lib.Fabric

    def log(self, text: str) -> None:
        """Writes a line to the record."""
        at_s = time.monotonic() - self._started_s
        self._record.write(f"{at_s:9.3f} s  {text}\n")
        self._record.flush()

    def since_start(self, at_s: float) -> str:
        """Returns a time as the record shows it."""
        return f"{at_s - self._started_s:.3f} s"

    async def __aenter__(self) -> "World":
        """Returns the world itself."""
        directory = self._stack.enter_context(tempfile.TemporaryDirectory())
        self._directory = pathlib.Path(directory)
        return self

    async def __aexit__(self, *error: object) -> None:
        """Ends all processes and tasks."""
        running = self._tasks
        while running:
            # `wait_for` loses a cancellation that comes with its result.
            for task in running:
                task.cancel()
            _, running = await asyncio.wait(running, timeout=_CANCEL_S)
        for each in (*self.targets, *self.clients):
            each.close()
        self.store.close()
        await asyncio.sleep(_POLL_S)
        await self._stack.aclose()
        self._record.close()

    def start(self, coroutine: Any) -> asyncio.Task[Any]:
        """Runs something until the end."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        return task

    async def start_hosts(self, zones: dict[str, int]) -> None:
        """Starts the store and the machines, so many in each zone."""
        self.start(self.store.expire_leases())
        self.configure()
        addresses: list[tuple[str, str, str]] = []
        for zone, count in zones.items():
            for number in range(1, count + 1):
                address = f"127.{self.network}.1.{len(addresses) + 1}"
                addresses.append((f"edge-{zone}-{number}", zone, address))
        first = self._choose_ports([each[2] for each in addresses])
        self.packet_port = first
        readiness_port, control_port, store_port = (
            first + 1,
            first + 2,
            first + 3,
        )
        internal = [first + 4, first + 4 + _INTERNAL_PORTS]
        seeds = [f"{each[2]}:{control_port}" for each in addresses[:3]]
        for name, zone, address in addresses:
            host = hosts_lib.Host(name, zone, address, self._directory)
            store_address = f"127.{self.network}.4.{len(self.hosts) + 1}"
            await self.store.listen(name, (store_address, store_port))
            host.write_settings(
                {
                    "nodeName": name,
                    "zone": zone,
                    "ip": address,
                    "listenAddrs": {
                        "datagramAddr": f"{address}:{first}",
                        "readiness": f"{address}:{readiness_port}",
                        "control": f"{address}:{control_port}",
                    },
                    "internalPortRange": internal,
                    "platform": {"address": f"{store_address}:{store_port}"},
                    "seeds": seeds,
                    "bounds": {
                        "graceS": hosts_lib.GRACE_S,
                        "flowMaxS": FLOW_MAX_S,
                        "contactMs": CONTACT_MS,
                    },
                    "limits": {"linkMbps": 1000.0},
                }
            )
            self.hosts.append(host)
        self.fabric = fabric_lib.Fabric(self.hosts, readiness_port)
        for host in self.hosts:
            self.start(host.run())
            self.start(self.fabric.probe(host))

    async def wait_until_ready(self) -> None:
        """Waits until all machines are in rotation."""
        end_s = time.monotonic() + _START_S
        while not all(self.fabric.is_ready(host.name) for host in self.hosts):
            if time.monotonic() > end_s:
                raise CannotRunError("the machines are not ready in time")
            await asyncio.sleep(_POLL_S)

    def add_target(
        self, service: str, zone: str, work_s: float
    ) -> target_lib.Target:
        """Starts a target, which registers itself."""
        number = self._next_target
        self._next_target += 1
        target = target_lib.Target(
            f"i-{self.rng.getrandbits(32):08x}",
            service,
            zone,
            (f"127.{self.network}.3.{number}", 8_367),
            client_port=self.packet_port,
            store=self.store,
            seed=self.rng.getrandbits(32),
            work_s=work_s,
            losses=self.losses,
            note=self.log,
        )
        self.targets.append(target)
        self.start(target.beat(BEAT_S))
        return target

    def add_client(self, zone: str) -> client_lib.Client:
        """Returns a new client of a zone."""
        number = self._next_client
        self._next_client += 1
        client = client_lib.Client(
            f"127.{self.network}.2.{number}",
            zone,
            packet_port=self.packet_port,
            fabric=self.fabric,
            seed=self.rng.getrandbits(32),
        )
        self.clients.append(client)
        return client

    def configure(self) -> int:
        """Writes the routes as they are now; returns the version."""
        self._version += self.rng.randint(1, 4)
        self.store.put_json(
            "op/config",
            {
                "version": self._version,
                "routes": [
                    {
                        "name": f"r-{port}",
                        "hostname": self.service_address,
                        "prefix": f"/{port}/",
                        "type": "idempotent",
                        "timeoutMs": 3_000,
                        "targetLatencyMs": self.objective_ms,
                        "priority": 2,
                        "service": service,
                        "maxAttempts": 2,
                    }
                    for port, service in self.routes.items()
                ],
                "services": [
                    {
                        "name": service,
                        "healthCheckPath": "/health",
                        "maxConnections": 2_000,
                        "protocol": "h1",
                        "tls": False,
                        "warmupS": 2.0,
                        "warmupPerS": self.cold_rates.get(service, 0.0),
                    }
                    for service in sorted(set(self.routes.values()))
                ],
                "limits": {"idleTimeoutMs": 15_000},
            },
        )
        return self._version

    def _choose_network(self) -> int:
        for _ in range(_TRIES):
            network = random.choice(_NETWORKS)
            if hosts_lib.is_free(
                socket.SOCK_STREAM, f"127.{network}.1.1", _METRICS_PORT
            ):
                return network
        raise CannotRunError("no loopback network is free")

    def _choose_ports(self, addresses: list[str]) -> int:
        needed = 4 + _INTERNAL_PORTS
        for _ in range(_TRIES):
            first = random.randrange(_FIRST_PORT, _LAST_PORT)
            if all(
                hosts_lib.is_free(kind, address, port)
                for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM)
                for address in (*addresses, f"127.{self.network}.4.1")
                for port in range(first, first + needed + 1)
            ):
                return first
        raise CannotRunError("no ports are free")
