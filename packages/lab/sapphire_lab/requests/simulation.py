"""A discrete-event simulation: scheduled calls on a simulated clock."""

from collections.abc import Callable
import dataclasses
import heapq

from sapphire_data import clock


@dataclasses.dataclass(slots=True)
class Simulation:
    """Makes scheduled calls in the order of their times.

    Attributes:
        manual_clock: The simulated clock; it advances from call to call.
    """

    manual_clock: clock.ManualClock = dataclasses.field(
        default_factory=clock.ManualClock
    )
    _calls: list[tuple[int, int, Callable[[], None]]] = dataclasses.field(
        default_factory=list
    )
    _call_count: int = 0

    @property
    def now_ms(self) -> int:
        """The simulated time in milliseconds."""
        return self.manual_clock.time_ms

    def call_at(self, time_ms: int, call: Callable[[], None]) -> None:
        """Schedules a call at a time, or now if that time has passed."""
        self._call_count += 1
        at_ms = max(time_ms, self.now_ms)
        heapq.heappush(self._calls, (at_ms, self._call_count, call))

    def call_after(self, delay_ms: int, call: Callable[[], None]) -> None:
        """Schedules a call after a delay."""
        self.call_at(self.now_ms + delay_ms, call)

    def run_until(self, end_ms: int) -> None:
        """Makes all calls that are due up to a time."""
        while self._calls and self._calls[0][0] <= end_ms:
            at_ms, _, call = heapq.heappop(self._calls)
            self.manual_clock.time_ms = at_ms
            call()
        self.manual_clock.time_ms = end_ms
