"""A queue of timed calls on a clock of its own."""

from collections.abc import Callable
import dataclasses
import heapq

from sapphire_data import clock


@dataclasses.dataclass(slots=True)
class Simulation:
    """Calls in the order of their times.

    Attributes:
        manual_clock: The clock; it jumps from call to call.
    """

    manual_clock: clock.ManualClock = dataclasses.field(
        default_factory=clock.ManualClock
    )
    _calls: list[tuple[int, int, Callable[[], None]]] = dataclasses.field(
        default_factory=list
    )
    _number: int = 0

    @property
    def now_ms(self) -> int:
        """The time in milliseconds."""
        return self.manual_clock.time_ms

    def call_at(self, time_ms: int, call: Callable[[], None]) -> None:
        """Makes a call at a time, or now if it has passed."""
        self._number += 1
        at_ms = max(time_ms, self.now_ms)
        heapq.heappush(self._calls, (at_ms, self._number, call))

    def call_after(self, delay_ms: int, call: Callable[[], None]) -> None:
        """Makes a call after a delay."""
        self.call_at(self.now_ms + delay_ms, call)

    def run_until(self, end_ms: int) -> None:
        """Makes all calls up to a time."""
        while self._calls and self._calls[0][0] <= end_ms:
            at_ms, _, call = heapq.heappop(self._calls)
            self.manual_clock.time_ms = at_ms
            call()
        self.manual_clock.time_ms = end_ms
