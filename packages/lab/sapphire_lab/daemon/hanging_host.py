"""An entry host with a task that does not end when it is cancelled.

Run as `python -m sapphire_lab.daemon.hanging_host WAY`.
"""

import dataclasses
import enum
import sys
import time
from typing import Any

import anyio

from sapphire_lab.tagged_flows import host_builders
from sapphire_node import process_signals
from sapphire_node.entry import host

SHUTDOWN_MS = 2_500
_HANG_S = 100
_STEP_S = 0.1


class Way(enum.StrEnum):
    """How the task hangs.

    Attributes:
        SHIELDED: It waits and ignores its cancellation.
        BLOCKING: It does not let the event loop run any more.
    """

    SHIELDED = "shielded"
    BLOCKING = "blocking"


class _HangingStore:
    """A client of a store that never answers."""

    era = 0

    def __init__(self, way: Way) -> None:
        self._way = way

    async def read_snapshot(self, timeout_ms: int) -> None:
        """Waits, also after the host was asked to stop."""
        del timeout_ms
        with anyio.CancelScope(shield=True):
            if self._way is Way.BLOCKING:
                # The signal arrives before the loop stops running.
                await anyio.sleep(2 * _STEP_S)
                time.sleep(_HANG_S)
            await anyio.sleep(_HANG_S)


class _HangingPlatform:
    """A platform of which only the store is used."""

    packets = None
    items = None

    def __init__(self, way: Way) -> None:
        self._way = way

    def read_settings(self) -> Any:
        """Returns the settings of this process."""
        return _settings()

    def create_store_client(self, settings: Any) -> Any:
        """Returns the client that hangs."""
        del settings
        return _HangingStore(self._way)


def _settings() -> Any:
    """Returns settings with a short shutdown timeout."""
    settings = host_builders.settings()
    limits = dataclasses.replace(settings.limits, shutdown_ms=SHUTDOWN_MS)
    return dataclasses.replace(settings, limits=limits)


def main(way: Way) -> int:
    """Runs the host until it stops; returns its exit status."""
    platform: Any = _HangingPlatform(way)
    return host.run(
        _settings(), lambda _: platform, process_signals.ProcessSignals()
    )


if __name__ == "__main__":
    sys.exit(main(Way(sys.argv[1])))
