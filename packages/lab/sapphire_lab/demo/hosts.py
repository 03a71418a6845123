"""Runs the entry hosts of a deployment as processes."""

import pathlib
import signal
import subprocess
import sys

import anyio
import httpx

from sapphire_data import clock
from sapphire_lab.demo import deployments
from sapphire_lab.demo import documents

POLL_MS = 100
READY_TIMEOUT_MS = 25_000
EXIT_TIMEOUT_MS = 20_000
_BINARY = pathlib.Path(sys.executable).parent / "sapphirearchd"


class HostProcesses:
    """Starts, queries and stops the daemons of one deployment."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        directory: pathlib.Path,
        http: httpx.AsyncClient,
    ) -> None:
        """Writes the key file; no process is started yet.

        Args:
            deployment: The deployment.
            directory: Where settings and logs are written.
            http: The client that queries the readiness and status of hosts.
        """
        self._deployment = deployment
        self._directory = directory
        self._http = http
        self._process_by_address: dict[str, subprocess.Popen[bytes]] = {}
        self._key_file = directory.resolve() / "keys.json"
        self._key_file.write_bytes(documents.encode_key_ring())

    def addresses(self) -> list[str]:
        """Returns the addresses of the running hosts."""
        return list(self._process_by_address)

    def start(self, host: deployments.HostSpec) -> None:
        """Writes the settings of a host and starts it; its log goes to a file.

        Args:
            host: The host.
        """
        path = self._directory / f"{host.address}.json"
        path.write_bytes(
            documents.encode_settings(
                self._deployment, host, str(self._key_file)
            )
        )
        log_path = self._directory / f"{host.address}.log"
        with log_path.open("wb") as log:
            self._process_by_address[host.address] = subprocess.Popen(
                [str(_BINARY), "run", str(path)],
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    async def wait_ready(self, address: str) -> bool:
        """Waits until a host reports that it is ready.

        Args:
            address: Its IP address.

        Returns:
            Whether it became ready within `READY_TIMEOUT_MS`.
        """
        with anyio.move_on_after(READY_TIMEOUT_MS / clock.MS_PER_SECOND):
            while not await self._is_ready(address):
                await anyio.sleep(POLL_MS / clock.MS_PER_SECOND)
            return True
        return False

    async def active_revision(self, address: str) -> int | None:
        """Returns the revision in force on a host; None if it does not respond.

        Args:
            address: Its IP address.
        """
        url = f"http://{address}:{deployments.API_PORT}/v1/status"
        try:
            response = await self._http.get(url)
        except httpx.HTTPError:
            return None
        return int(response.json()["active_revision"])

    async def stop(self, address: str) -> int | None:
        """Stops a host gracefully; kills it after `EXIT_TIMEOUT_MS`.

        Args:
            address: Its IP address.

        Returns:
            Its exit status, None if it did not exit in time.
        """
        process = self._process_by_address.pop(address)
        process.send_signal(signal.SIGTERM)
        with anyio.move_on_after(EXIT_TIMEOUT_MS / clock.MS_PER_SECOND):
            while process.poll() is None:
                await anyio.sleep(POLL_MS / clock.MS_PER_SECOND)
            return process.returncode
        process.kill()
        process.wait()
        return None

    def kill(self, address: str) -> None:
        """Kills a host, which simulates a failed machine.

        Args:
            address: Its IP address.
        """
        process = self._process_by_address.pop(address)
        process.kill()
        process.wait()

    def suspend(self, address: str) -> None:
        """Suspends the process of a host by SIGSTOP.

        Args:
            address: Its IP address.
        """
        self._process_by_address[address].send_signal(signal.SIGSTOP)

    def resume(self, address: str) -> None:
        """Resumes a suspended host.

        Args:
            address: Its IP address.
        """
        self._process_by_address[address].send_signal(signal.SIGCONT)

    def kill_all(self) -> None:
        """Kills all processes and waits for their end."""
        for process in self._process_by_address.values():
            process.kill()
        for process in self._process_by_address.values():
            process.wait()
        self._process_by_address.clear()

    async def _is_ready(self, address: str) -> bool:
        """Returns whether a host reports that it is ready."""
        url = f"http://{address}:{deployments.API_PORT}/readyz"
        try:
            response = await self._http.get(url)
        except httpx.HTTPError:
            return False
        return response.is_success
