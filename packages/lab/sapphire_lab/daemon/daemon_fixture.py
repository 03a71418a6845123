"""Runs whole daemons on loopback sockets in the process of a test."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import ipaddress
import json
import pathlib
import signal
import socket
import ssl
from typing import Any

import anyio
from anyio import abc
from anyio.streams import memory
import httpx

from sapphire_lab.config import builders as config_builders
from sapphire_lab.trust import builders as trust_builders
from sapphire_lab.trust import certificates
from sapphire_net.store import changes
from sapphire_net.store import client as store_client
from sapphire_net.store import environment as environments
from sapphire_net.store import stored_configuration
from sapphire_net.trust import tls
from sapphire_node import api
from sapphire_node import daemon
from sapphire_node import settings_loader

PREFIX = "/trial/"
POLL_INTERVAL_S = 0.02
TIMEOUT_S = 20
KEY_REREAD_INTERVAL_MS = 50
DRAIN_TIMEOUT_MS = 30_000
# The address and port of the service of `publish_configuration`.
SERVICE_ADDRESS = ("127.200.0.1", 443)
_POOLS = {"rota": {"rota-1": "tacoma"}}
# An upstream at which nothing listens: hosts run by hand use 127.0.0.1.
_CLOSED_UPSTREAM = "127.251.3.7"
# Nothing listens on this port, so connections are refused at once.
UNREACHABLE_STORE_URL = "http://127.0.0.1:9"


@dataclasses.dataclass(frozen=True, slots=True)
class HostFiles:
    """The files and sockets of one daemon.

    Attributes:
        directory: The directory of the files.
        address: The IP address of the host.
        ports: Its ports by their names in the settings.
        tls_files: Its certificate; None if it serves the API without TLS.
    """

    directory: pathlib.Path
    address: str
    ports: dict[str, int]
    tls_files: tls.TlsFiles | None

    @property
    def settings_file(self) -> pathlib.Path:
        """The file of the settings of the daemon."""
        return self.directory / "host.json5"

    @property
    def key_file(self) -> pathlib.Path:
        """The file of the keys that seal control messages."""
        return self.directory / "keys.json5"

    @property
    def api_url(self) -> str:
        """The base URL of the API of the daemon."""
        scheme = "http" if self.tls_files is None else "https"
        return f"{scheme}://{self.address}:{self.ports['api']}"


def create_host_files(
    parent: pathlib.Path,
    address: str,
    store_url: str,
    *,
    data_centre: str = "tacoma",
    seeds: tuple[HostFiles, ...] = (),
    authority: certificates.CertificateAuthority | None = None,
    leave_notice_ms: int = 0,
) -> HostFiles:
    """Writes the files of a daemon.

    Args:
        parent: The directory in which its own directory is created.
        address: Its IP address, a loopback address.
        store_url: The base URL of the store.
        data_centre: The name of its data centre.
        seeds: The hosts that it contacts first.
        authority: Issues its certificate; None for an API without TLS.
        leave_notice_ms: How long it still accepts work after it has announced
            that it leaves.

    Returns:
        The files.
    """
    directory = parent / address
    directory.mkdir()
    tls_files = None
    trust: dict[str, Any] = {
        "key_ring_file": "keys.json5",
        "reread_ms": KEY_REREAD_INTERVAL_MS,
    }
    if authority is not None:
        tls_files = authority.issue(
            directory / "tls",
            address,
            "host",
            address=ipaddress.IPv4Address(address),
        )
        trust["tls"] = {
            "certificate_file": "tls/certificate.pem",
            "key_file": "tls/key.pem",
            "authority_file": "tls/authorities.pem",
        }
    files = HostFiles(directory, address, _free_ports(address), tls_files)
    trust_builders.write_key_file(
        files.key_file, {1: trust_builders.secret(1)}, 1
    )
    settings = {
        "data_centre": data_centre,
        "address": address,
        "ports": files.ports,
        "seeds": [
            {"address": seed.address, "control_port": seed.ports["control"]}
            for seed in seeds
        ],
        "store": {"endpoints": [store_url], "prefix": PREFIX},
        "trust": trust,
        "leave_notice_ms": leave_notice_ms,
        "fabric_quiet_ms": 0,
        "drain_timeout_ms": DRAIN_TIMEOUT_MS,
    }
    files.settings_file.write_text(json.dumps(settings))
    return files


def _free_ports(address: str) -> dict[str, int]:
    """Returns ports that were free when they were probed."""
    ports = {}
    with contextlib.ExitStack() as stack:
        for name, kind in (
            ("fabric", socket.SOCK_DGRAM),
            ("control", socket.SOCK_DGRAM),
            ("api", socket.SOCK_STREAM),
            ("requests", socket.SOCK_STREAM),
        ):
            probe = stack.enter_context(socket.socket(socket.AF_INET, kind))
            probe.bind((address, 0))
            ports[name] = probe.getsockname()[1]
    return ports


class RunningDaemon:
    """A daemon that runs in the process of the test.

    Attributes:
        files: Its files and sockets.
        outcome: How it ended; None while it runs.
    """

    def __init__(self, files: HostFiles) -> None:
        self.files = files
        self.outcome: daemon.Outcome | None = None
        self._has_ended = anyio.Event()
        self._send: memory.MemoryObjectSendStream[signal.Signals]
        self._send, self._signals = anyio.create_memory_object_stream[
            signal.Signals
        ](2)

    async def run(self) -> None:
        """Runs the daemon until it ends."""
        settings, errors = settings_loader.load(self.files.settings_file)
        if settings is None:
            raise ValueError(errors)
        self.outcome = await daemon.run_until(settings, self._signals)
        self._has_ended.set()

    def terminate(self) -> None:
        """Sends SIGTERM, which begins the graceful shutdown."""
        self._send.send_nowait(signal.SIGTERM)

    async def wait_ended(self) -> daemon.Outcome | None:
        """Waits for the end of the daemon and returns how it ended."""
        with anyio.fail_after(TIMEOUT_S):
            await self._has_ended.wait()
        return self.outcome


async def start_daemon(files: HostFiles, tasks: abc.TaskGroup) -> RunningDaemon:
    """Starts a daemon and waits until its API listens.

    Args:
        files: Its files.
        tasks: The task group that runs it.

    Returns:
        The daemon.
    """
    host = RunningDaemon(files)
    tasks.start_soon(host.run)
    with anyio.fail_after(TIMEOUT_S):
        while host.outcome is None:
            try:
                stream = await anyio.connect_tcp(
                    files.address, files.ports["api"]
                )
            except OSError:
                await anyio.sleep(POLL_INTERVAL_S)
                continue
            await stream.aclose()
            break
    return host


@contextlib.asynccontextmanager
async def open_client(
    files: tls.TlsFiles | None = None,
) -> AsyncIterator[httpx.AsyncClient]:
    """Opens an API client that makes a new connection for each request.

    Args:
        files: The certificate of the client; None for plain HTTP.

    Yields:
        The client.
    """
    verify: ssl.SSLContext | bool = False
    if files is not None:
        verify = ssl.create_default_context(cafile=files.authorities)
        verify.load_cert_chain(files.certificate, files.private_key)
    async with httpx.AsyncClient(
        verify=verify,
        trust_env=False,
        timeout=TIMEOUT_S,
        limits=httpx.Limits(max_keepalive_connections=0),
    ) as http:
        yield http


async def poll_until(
    http: httpx.AsyncClient,
    url: str,
    is_reached: Callable[[httpx.Response], bool],
) -> httpx.Response:
    """Repeats a GET request until its answer meets a condition.

    Args:
        http: The client.
        url: The URL.
        is_reached: Whether an answer meets the condition.

    Returns:
        That answer.

    Raises:
        TimeoutError: If no answer met it within `TIMEOUT_S`.
    """
    with anyio.fail_after(TIMEOUT_S):
        while True:
            answer = await http.get(url)
            if is_reached(answer):
                return answer
            await anyio.sleep(POLL_INTERVAL_S)


async def wait_until_certificate_accepted(
    http: httpx.AsyncClient, files: HostFiles
) -> None:
    """Waits until a host accepts the client's certificate.

    Args:
        http: The client.
        files: The host.

    Raises:
        TimeoutError: If it was not accepted within `TIMEOUT_S`.
    """
    with anyio.fail_after(TIMEOUT_S):
        while True:
            try:
                await http.get(files.api_url + api.HEALTH_PATH)
            except httpx.TransportError:
                await anyio.sleep(POLL_INTERVAL_S)
                continue
            return


async def publish_configuration(
    store_url: str, upstream: str | None = None
) -> None:
    """Publishes a configuration with one service and one upstream.

    Args:
        store_url: The base URL of the store.
        upstream: The IP address of the upstream; None for a loopback address.
    """
    bindings = json.loads(config_builders.bindings_bytes(_POOLS, network=127))
    bindings["upstreams"]["rota-1"]["address"] = upstream or _CLOSED_UPSTREAM
    async with store_client.open_http_client(store_url) as http:
        environment = environments.Environment(
            store_client.EtcdStore(http), PREFIX
        )
        snapshot = (await stored_configuration.read_snapshot(environment)).ok
        result = await changes.apply(
            environment,
            snapshot,
            changes.Intent(
                document=config_builders.document_bytes(_POOLS),
                bindings=json.dumps(bindings).encode(),
                author="ann",
                acknowledged=("tacoma",),
            ),
        )
        if result.is_error():
            raise ValueError(result.error)
