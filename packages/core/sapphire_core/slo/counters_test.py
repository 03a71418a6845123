import hypothesis
from hypothesis import strategies
import testtools

from sapphire_core.slo import counters
from sapphire_core.slo import data
from sapphire_lab.slo import builders

_NOW_MS = builders.NOW_MS
_STEPS = strategies.lists(
    strategies.tuples(
        strategies.integers(min_value=0, max_value=5 * data.MS_PER_HOUR),
        strategies.integers(min_value=0, max_value=5),
        strategies.integers(min_value=0, max_value=5),
    ),
    min_size=1,
    max_size=60,
)


class SloCountersTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(_STEPS)
    def test_counts_of_kept_intervals_equal_those_of_unbounded_counting(
        self, steps: list[tuple[int, int, int]]
    ) -> None:
        counted = counters.SloCounters(_NOW_MS)
        expected: dict[tuple[int, int], data.Counts] = {}
        wall_ms = _NOW_MS
        for step_ms, good, bad in steps:
            wall_ms += step_ms
            total = good + bad
            counted.record_requests(builders.SERVICE, good, total, wall_ms)
            for tier in data.TIERS:
                interval = (tier.width_ms, wall_ms // tier.width_ms)
                expected[interval] = expected.get(
                    interval, data.Counts()
                ) + data.Counts(good, total)
        series = builders.request_series(counted, wall_ms)
        for tier in data.TIERS:
            oldest = wall_ms // tier.width_ms - tier.interval_count + 1
            kept = {
                index: counts
                for (width_ms, index), counts in expected.items()
                if width_ms == tier.width_ms
                and index >= oldest
                and counts.total
            }
            self.assertEqual(kept, series.tiers_by_width_ms[tier.width_ms])

    def test_counting_goes_on_after_the_clock_is_set_back_by_days(self) -> None:
        counted = counters.SloCounters(_NOW_MS)
        counted.record_requests("rota", 1, 1, _NOW_MS + 30 * data.MS_PER_DAY)
        counted.record_requests("rota", 2, 3, _NOW_MS)
        series = builders.request_series(counted)
        self.assertEqual(
            {_NOW_MS // data.MS_PER_MINUTE: data.Counts(2, 3)},
            series.tiers_by_width_ms[data.MS_PER_MINUTE],
        )

    def test_number_of_series_is_bounded(self) -> None:
        counted = counters.SloCounters(_NOW_MS, max_series=2)
        for service in ("a", "b", "c"):
            counted.record_flows(service, 1, 4, _NOW_MS)
        self.assertEqual(2, len(counted.snapshot(_NOW_MS)))
        self.assertEqual(4, counted.dropped_events)

    def test_events_also_count_for_a_move_until_its_duration_ends(self) -> None:
        counted = counters.SloCounters(_NOW_MS)
        counted.record_change(6, _NOW_MS, moves_data_centre=False)
        counted.record_flows("rota", 1, 1, _NOW_MS)
        counted.record_change(7, _NOW_MS, moves_data_centre=True)
        counted.record_flows("rota", 1, 2, _NOW_MS + 1)
        end_ms = _NOW_MS + counters.MOVE_DURATION_MS
        counted.record_requests("rota", 1, 1, end_ms)
        counts_by_objective = {
            series.key.objective: sum(
                counts.total
                for counts in series.tiers_by_width_ms[
                    data.MS_PER_MINUTE
                ].values()
            )
            for series in counted.snapshot(end_ms)
        }
        self.assertEqual(
            {
                data.Objective.FLOWS_KEPT: 3,
                data.Objective.MOVE_SERVICE: 2,
                data.Objective.REQUESTS_ANSWERED: 1,
            },
            counts_by_objective,
        )

    def test_snapshot_of_one_service_has_no_other_series(self) -> None:
        counted = counters.SloCounters(_NOW_MS)
        for service in ("rota", "intake"):
            counted.record_flows(service, 1, 1, _NOW_MS)
        keys = [series.key.service for series in counted.snapshot(0, "rota")]
        self.assertEqual(["rota"], keys)
