import testtools
from testtools import matchers

from sapphire_data import clock


class ManualClockTest(testtools.TestCase):
    def test_advance_moves_time_by_the_step(self) -> None:
        manual = clock.ManualClock(time_ms=5)
        manual.advance(20)
        self.assertThat(manual.now_ms(), matchers.Equals(25))


class MonotonicClockTest(testtools.TestCase):
    def test_time_does_not_go_backwards(self) -> None:
        system = clock.MonotonicClock()
        first = system.now_ms()
        self.assertThat(system.now_ms(), matchers.GreaterThan(first - 1))
