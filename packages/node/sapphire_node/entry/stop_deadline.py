"""Ends the process if its planned stop takes too long.

A stop ends the tasks of the host by cancellation, which a task that waits for
something outside could delay without a bound. The platform kills a process at
the end of its shutdown timeout, so a host ends before that in any case.
"""

from collections.abc import Callable
import logging
import os
import threading

from sapphire_data import clock as clock_lib
from sapphire_net import event_log

_LOG = logging.getLogger(__name__)

# The exit status of a process whose tasks did not end in time.
EXIT_OVERDUE = 3
# How long before the shutdown timeout the process ends at the latest.
RESERVE_MS = 1_000
STEP_MS = 100


def longest_stop_ms(shutdown_ms: int) -> int:
    """Returns how long after a stop was requested the process ends at most.

    Args:
        shutdown_ms: The shutdown timeout of the platform.
    """
    return max(shutdown_ms - RESERVE_MS, shutdown_ms // 2)


class StopDeadline:
    """A deadline that holds even if the event loop does not run any more.

    Time in which the whole process was paused does not count.

    Args:
        write_logs: Writes the log lines that are still buffered.
        exit_process: Ends the process at once with an exit status.
    """

    def __init__(
        self,
        write_logs: Callable[[], None],
        exit_process: Callable[[int], object] = os._exit,
    ) -> None:
        self._write_logs = write_logs
        self._exit_process = exit_process
        self._has_ended = threading.Event()

    def start(self, longest_ms: int) -> None:
        """Ends the process after a time, unless `cancel` is called before.

        Args:
            longest_ms: The time.
        """
        threading.Thread(
            target=self._watch, args=(longest_ms,), daemon=True
        ).start()

    def cancel(self) -> None:
        """Lets the process end by itself."""
        self._has_ended.set()

    def _watch(self, longest_ms: int) -> None:
        """Waits for the end of the tasks, in steps."""
        clock = clock_lib.MonotonicClock()
        left_ms = longest_ms
        while left_ms > 0:
            step_started_ms = clock.now_ms()
            if self._has_ended.wait(STEP_MS / clock_lib.MS_PER_SECOND):
                return
            step_ms = clock.now_ms() - step_started_ms
            left_ms -= min(max(step_ms, 1), 2 * STEP_MS)
        try:
            event_log.log(
                _LOG, logging.ERROR, "stop_overdue", waited_ms=longest_ms
            )
            self._write_logs()
        finally:
            self._exit_process(EXIT_OVERDUE)
