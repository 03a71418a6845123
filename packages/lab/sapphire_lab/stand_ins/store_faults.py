"""Faults and rate limits of the stand-in store."""

import dataclasses

import pydantic

from sapphire_data import clock


class Faults(pydantic.BaseModel):
    """The faults that a test has switched on.

    Attributes:
        is_down: Every call fails without effect and watches end.
        slow_ms: The delay before each call takes effect.
        lost_answers: The number of next writes whose answer is lost after
            they took effect.
        lost_requests: The number of next writes that are lost before they
            take effect, while the caller sees the same as a lost answer.
        has_old_reads: Reads see the state at the time of switching on.
        reads_per_second: The limit of reads and waiting watches.
        writes_per_second: The limit of writes.
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
    """Counts calls in windows of one second.

    Attributes:
        window_index: The number of the current second.
        count: The calls in it.
    """

    window_index: int = -1
    count: int = 0

    def try_acquire(self, now_ms: int, limit: int) -> bool:
        """Counts a call.

        Args:
            now_ms: The time in milliseconds.
            limit: The calls allowed in a second.

        Returns:
            Whether the call is within the limit.
        """
        window_index = now_ms // clock.MS_PER_SECOND
        if window_index != self.window_index:
            self.window_index = window_index
            self.count = 0
        self.count += 1
        return self.count <= limit
