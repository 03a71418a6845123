import testtools
from testtools import matchers

from sapphire_data import clock


class ManualClockTest(testtools.TestCase):
    def test_advance_adds_the_step_to_the_time(self) -> None:
        manual = clock.ManualClock(time_ms=5)
        manual.advance(20)
        self.assertThat(manual.now_ms(), matchers.Equals(25))


class MonotonicClockTest(testtools.TestCase):
    def test_time_does_not_go_backwards(self) -> None:
        monotonic = clock.MonotonicClock()
        first_ms = monotonic.now_ms()
        self.assertThat(monotonic.now_ms(), matchers.GreaterThan(first_ms - 1))
