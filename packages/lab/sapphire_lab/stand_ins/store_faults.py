"""Faults and rate limits of the fake store."""

import dataclasses

import pydantic

from sapphire_data import clock


class Faults(pydantic.BaseModel):
    """The faults that a test has set.

    Attributes:
        is_down: Every call fails without effect, and watches end.
        slow_ms: The delay in milliseconds before each call takes effect.
        lost_answers: The number of next writes that take effect, but whose
            response is lost.
        lost_requests: The number of next writes that take no effect and whose
            client sees the same as if the response were lost.
        has_old_reads: Reads return the state at the time at which this fault
            was set.
        reads_per_second: The limit of reads a second, minus one for each open
            watch.
        writes_per_second: The limit of writes a second.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    is_down: bool = False
    slow_ms: int = 0
    lost_answers: int = 0
    lost_requests: int = 0
    has_old_reads: bool = False
    reads_per_second: int = 2_000
    writes_per_second: int = 400


@dataclasses.dataclass(slots=True)
class RateLimiter:
    """Limits calls in fixed windows of one second.

    Attributes:
        window_index: The index of the current second since time zero.
        count: The number of calls in it, allowed or not.
    """

    window_index: int = -1
    count: int = 0

    def try_acquire(self, now_ms: int, limit: int) -> bool:
        """Counts a call.

        Args:
            now_ms: The time in milliseconds.
            limit: The number of calls allowed in a second.

        Returns:
            Whether the call is within the limit.
        """
        window_index = now_ms // clock.MS_PER_SECOND
        if window_index != self.window_index:
            self.window_index = window_index
            self.count = 0
        self.count += 1
        return self.count <= limit
