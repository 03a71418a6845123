"""Monotonic clocks and the wall-clock time, in whole milliseconds."""

import dataclasses
import time
from typing import Protocol

MS_PER_SECOND = 1_000
NS_PER_MS = 1_000_000


class Clock(Protocol):
    """A source of monotonic time."""

    def now_ms(self) -> int:
        """Returns the time since an arbitrary origin, in milliseconds."""


class MonotonicClock:
    """The clock of the operating system, unaffected by wall-clock changes."""

    def now_ms(self) -> int:
        """Returns the monotonic time in milliseconds."""
        return time.monotonic_ns() // NS_PER_MS


@dataclasses.dataclass(slots=True)
class ManualClock:
    """A clock for tests that moves only by `advance`.

    Attributes:
        time_ms: The current time in milliseconds.
    """

    time_ms: int = 0

    def now_ms(self) -> int:
        """Returns the current time in milliseconds."""
        return self.time_ms

    def advance(self, delta_ms: int) -> None:
        """Moves the clock forward.

        Args:
            delta_ms: The step in milliseconds.
        """
        self.time_ms += delta_ms


def wall_time_ms() -> int:
    """Returns the time since the Unix epoch in milliseconds.

    For timestamps that people or other processes read; durations within this
    process are measured with a `Clock`, whose time never goes backwards.
    """
    return time.time_ns() // NS_PER_MS
