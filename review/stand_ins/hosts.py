"""Starts the system's processes with the command of the deploy file."""

import asyncio
import json
import os
import pathlib
import re
import shlex
import signal
import socket
import time
import tomllib
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
_RESTART_S = 0.3
_POLL_S = 0.02
GRACE_S = 6
_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
_VALUE = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def _find(fields: dict[str, Any], name: str) -> Any:
    found: Any = fields
    for part in name.split("."):
        if not isinstance(found, dict):
            return None
        found = found.get(part)
    return found


def render(template: str, fields: dict[str, Any]) -> str:
    """Fills in a settings template, as far as DEPLOY.md's terms are used."""

    def section(match: re.Match[str]) -> str:
        value = _find(fields, match[1])
        if not isinstance(value, list):
            return match[2] if value else ""
        parts = []
        for number, entry in enumerate(value, 1):
            comma = "," if number < len(value) else ""
            part = match[2].replace("{{.}}", str(entry))
            parts.append(part.replace("{{,}}", comma))
        return "".join(parts)

    def single(match: re.Match[str]) -> str:
        value = _find(fields, match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    return _VALUE.sub(single, _SECTION.sub(section, template))


class Host:
    """One machine of the system with its process.

    Attributes:
        name: The name of the machine.
        zone: Its zone.
        address: Its loopback address.
        is_up: Whether its process may run.
        stops: When its process was told to stop, or killed.
        exits: The exit statuses that nobody asked for.
    """

    def __init__(
        self, name: str, zone: str, address: str, directory: pathlib.Path
    ) -> None:
        self.name = name
        self.zone = zone
        self.address = address
        self.is_up = True
        self.stops: list[float] = []
        self.exits: list[int] = []
        self._directory = directory
        self._process: asyncio.subprocess.Process | None = None
        self._settings = directory / f"{name}.settings"
        self._has_asked = False

    def write_settings(self, fields: dict[str, Any]) -> None:
        """Fills the template of the deploy file in for this machine."""
        role = _role()
        template = (ROOT / role["template"]).read_text("utf-8")
        self._settings.write_text(render(template, fields), "utf-8")

    async def run(self) -> None:
        """Runs the process, and again when it ends, until cancelled."""
        words = shlex.split(_role()["run"])
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["SAPPHIREARCH_NODE_FILE"] = str(self._settings)
        log_path = self._directory / f"{self.name}.log"
        try:
            while True:
                while not self.is_up:
                    await asyncio.sleep(_POLL_S)
                with log_path.open("ab") as log:
                    self._process = await asyncio.create_subprocess_exec(
                        *words,
                        cwd=ROOT,
                        env=environment,
                        stdin=asyncio.subprocess.DEVNULL,
                        stdout=log,
                        stderr=log,
                    )
                status = await self._process.wait()
                if not self._has_asked:
                    self.exits.append(status)
                self._has_asked = False
                self._process = None
                await asyncio.sleep(_RESTART_S)
        finally:
            self._send(signal.SIGKILL)

    @property
    def process_id(self) -> int | None:
        """The id of the process that runs, if one does."""
        return self._process.pid if self._process is not None else None

    def kill(self) -> None:
        """Kills the process."""
        self._has_asked = True
        self.stops.append(time.monotonic())
        self._send(signal.SIGKILL)

    def freeze(self) -> None:
        """Stops the process until `thaw`."""
        self._send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Lets the process go on."""
        self._send(signal.SIGCONT)

    async def stop(self) -> None:
        """Stops the process as the platform does."""
        process = self._process
        if process is None:
            return
        self._has_asked = True
        self.stops.append(time.monotonic())
        self._send(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), GRACE_S)
        except TimeoutError:
            if self._process is process:
                self._send(signal.SIGKILL)

    def _send(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)


def _role() -> dict[str, Any]:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))
    (role,) = deploy["roles"].values()
    return dict(role)


def is_free(kind: socket.SocketKind, address: str, port: int) -> bool:
    """Whether a port can be bound at an address."""
    with socket.socket(socket.AF_INET, kind) as test:
        try:
            test.bind((address, port))
        except OSError:
            return False
    return True
