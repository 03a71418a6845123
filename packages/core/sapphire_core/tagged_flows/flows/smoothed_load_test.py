import math
import random

import testtools

from sapphire_core.tagged_flows.flows import smoothed_load

UPSTREAM = "i-1"
TAG = 5
SEED = 7
DRAWS = 4_000


class SmoothedLoadTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.load = smoothed_load.SmoothedLoad()

    def serve(self, work_ms: int, gap_ms: int, until_ms: int) -> None:
        for begin_ms in range(0, until_ms, gap_ms):
            self.load.begin(UPSTREAM, begin_ms)
            self.load.end(UPSTREAM, begin_ms + work_ms)

    def test_the_average_is_the_share_of_time_in_use(self) -> None:
        """Rate times duration, whenever the report is made."""
        self.serve(work_ms=40, gap_ms=200, until_ms=10_000)
        for now_ms in (9_800, 9_900, 10_000):
            self.assertAlmostEqual(
                0.2, self.load.average(UPSTREAM, now_ms), delta=0.03
            )
        self.assertEqual(0, self.load.current(UPSTREAM))

    def test_a_request_that_hangs_counts_in_full_after_seconds(self) -> None:
        self.load.begin(UPSTREAM, 0)
        self.assertAlmostEqual(
            1 - math.exp(-1),
            self.load.average(UPSTREAM, smoothed_load.TIME_CONSTANT_MS),
        )
        self.assertAlmostEqual(
            1.0, self.load.average(UPSTREAM, 10_000), delta=0.01
        )

    def test_an_end_recorded_late_does_not_go_back_in_time(self) -> None:
        self.load.begin(UPSTREAM, 0)
        self.load.begin(UPSTREAM, 500)
        self.load.end(UPSTREAM, 400)
        self.load.end(UPSTREAM, 400)
        self.load.end(UPSTREAM, 400)
        self.assertEqual(0, self.load.current(UPSTREAM))
        self.assertGreaterEqual(self.load.average(UPSTREAM, 100), 0.0)

    def test_upstreams_without_requests_are_evicted(self) -> None:
        self.serve(work_ms=40, gap_ms=200, until_ms=1_000)
        self.load.begin("i-2", 0)
        self.load.evict_faded(20_000)
        self.assertEqual(0.0, self.load.average(UPSTREAM, 20_000))
        self.assertEqual(1, self.load.current("i-2"))


class ReportedTest(testtools.TestCase):
    def test_small_averages_are_right_in_the_sum(self) -> None:
        rng = random.Random(SEED)
        for average in (0.004, 0.07, 0.25, 3.0):
            reports = [
                smoothed_load.reported(average, rng) for _ in range(DRAWS)
            ]
            self.assertAlmostEqual(
                average, sum(reports) / DRAWS, delta=0.1 * average + 0.002
            )

    def test_most_small_averages_are_not_reported(self) -> None:
        rng = random.Random(SEED)
        reports = [smoothed_load.reported(0.01, rng) for _ in range(DRAWS)]
        self.assertLess(sum(1 for each in reports if each), 0.15 * DRAWS)


class DrawInFlightTest(testtools.TestCase):
    def draw(self, average: float) -> list[float]:
        rng = random.Random(SEED)
        return [
            smoothed_load.draw_in_flight(average, rng) for _ in range(DRAWS)
        ]

    def test_nothing_is_drawn_where_peers_report_no_load(self) -> None:
        rng = random.Random(SEED)
        state = rng.getstate()
        self.assertEqual(0.0, smoothed_load.draw_in_flight(0.0, rng))
        self.assertEqual(state, rng.getstate())

    def test_draws_spread_by_the_root_of_the_average(self) -> None:
        draws = self.draw(9.0)
        self.assertAlmostEqual(9.0, sum(draws) / DRAWS, delta=0.2)
        within = sum(1 for each in draws if abs(each - 9.0) <= 3.0)
        self.assertAlmostEqual(0.68, within / DRAWS, delta=0.03)
        self.assertGreaterEqual(min(draws), 0.0)

    def test_a_busier_upstream_is_drawn_lower_seldom(self) -> None:
        """Pattern: an upstream that is four times as slow."""
        pairs = zip(self.draw(2.0), reversed(self.draw(8.0)), strict=True)
        lower = sum(1 for usual, slow in pairs if slow < usual)
        self.assertLess(lower / DRAWS, 0.06)
