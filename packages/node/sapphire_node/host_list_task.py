"""The task that reads the platform's list of hosts at intervals.

The list only gives addresses to contact; it never adds or removes a member. If
the file cannot be read, the last list stays in use.
"""

import logging
import pathlib

import anyio
from anyio.streams import memory

from sapphire_core.membership import data as membership_data
from sapphire_data import clock
from sapphire_data import failures
from sapphire_net import event_log
from sapphire_node import messages
from sapphire_wire import host_list

_LOGGER = logging.getLogger(__name__)

READ_INTERVAL_MS = 2_000


class HostListTask:
    """Reads the file in which the platform lists hosts."""

    def __init__(
        self,
        path: pathlib.Path,
        to_control: memory.MemoryObjectSendStream[messages.ToControl],
    ) -> None:
        """Creates the task.

        Args:
            path: The path of the file.
            to_control: The inbox of the control task, which uses the list.
        """
        self._path = path
        self._to_control = to_control
        self._content: bytes | None = None
        self._last_failure: failures.Failure | None = None

    async def run(self) -> None:
        """Reads the file at intervals until cancelled."""
        while True:
            await self.read_once()
            await anyio.sleep(READ_INTERVAL_MS / clock.MS_PER_SECOND)

    async def read_once(self) -> None:
        """Reads the file and sends its hosts on if the content changed."""
        try:
            content = await anyio.Path(self._path).read_bytes()
        except OSError as error:
            self._log_failure(
                failures.UnreadableInput(
                    str(self._path), error.strerror or type(error).__name__
                )
            )
            return
        if content == self._content:
            return
        self._content = content
        parsed, errors = host_list.parse(content, str(self._path))
        for failure in errors:
            self._log_failure(failure)
        if parsed is None:
            return
        self._last_failure = None
        seeds = tuple(
            membership_data.Seed(str(host.address), host.control_port)
            for host in parsed.hosts
            if not host.leaving
        )
        event_log.log(_LOGGER, logging.INFO, "host_list_read", hosts=len(seeds))
        await self._to_control.send(messages.HostListChanged(seeds))

    def _log_failure(self, failure: failures.Failure) -> None:
        """Logs a failure unless it was the last one logged."""
        if failure == self._last_failure:
            return
        self._last_failure = failure
        event_log.log_failure(_LOGGER, "host_list_not_read", failure)
