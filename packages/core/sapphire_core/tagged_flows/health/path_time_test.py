import testtools

from sapphire_core.tagged_flows.health import path_time


class PathTimeTest(testtools.TestCase):
    def recorded(self, *answers_ms: int) -> path_time.PathTime:
        times = path_time.PathTime()
        for answer_ms in answers_ms:
            times.record(answer_ms, 1_000)
        return times

    def test_the_median_of_the_last_answers_above_the_shortest(self) -> None:
        cases = {
            (): 0,
            (4, 300): 0,
            (4, 5, 4): 0,
            # One caller that answers late, and one more.
            (4, 5, 4, 900, 900): 1,
            (4, 5, 4, 300, 310, 320): 296,
        }
        for answers_ms, expected_ms in cases.items():
            times = self.recorded(*answers_ms)
            self.assertEqual(expected_ms, times.excess_ms(1_000))

    def test_old_answers_are_forgotten_but_for_the_shortest(self) -> None:
        times = self.recorded(4, 300, 300, 300)
        self.assertEqual(296, times.excess_ms(3_000))
        self.assertEqual(0, times.excess_ms(3_001))
