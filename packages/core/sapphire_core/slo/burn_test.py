import testtools

from sapphire_core.slo import burn
from sapphire_core.slo import counters
from sapphire_core.slo import data
from sapphire_core.slo import merge
from sapphire_data import records
from sapphire_lab.slo import builders

_NOW_MS = builders.NOW_MS
_TARGET = 0.999


def _evaluate(
    bad_minutes: int,
    bad_per_thousand: int,
    good_minutes: int = 0,
    marks: tuple[data.ChangeMark, ...] = (),
) -> data.ObjectiveBurn:
    """Evaluates three days of requests that end in bad, then good minutes."""
    end_ms = _NOW_MS - good_minutes * data.MS_PER_MINUTE
    bad_from_ms = end_ms - bad_minutes * data.MS_PER_MINUTE
    built = builders.counters_with_failures(
        _NOW_MS - 3 * data.MS_PER_DAY, end_ms, bad_from_ms, bad_per_thousand
    )
    for minute in range(good_minutes):
        wall_ms = end_ms + minute * data.MS_PER_MINUTE
        built.record_requests(builders.SERVICE, 1_000, 1_000, wall_ms)
    return burn.evaluate(
        builders.request_series(built, _NOW_MS), _TARGET, marks, _NOW_MS
    )


class BurnTest(testtools.TestCase):
    def test_level_follows_the_burn_rates_of_its_two_windows(self) -> None:
        level = data.AlertLevel
        # Minutes with bad requests, bad requests of each thousand, minutes
        # without bad requests since.
        cases = (
            (0, 0, 0, level.NONE),
            (70, 20, 0, level.PAGE_FAST),
            # Three minutes of total failure page already.
            (3, 1_000, 0, level.PAGE_FAST),
            # The short windows of both page rules hold no bad event any more.
            (5, 1_000, 40, level.TICKET),
            # Nor is the budget of three days spent.
            (3, 1_000, 40, level.NONE),
            (420, 8, 0, level.PAGE_SLOW),
            (4_320, 2, 0, level.TICKET),
            # No bad event in all three days.
            (4_320, 0, 0, level.NONE),
            # Burn rate 3 in the last 30 minutes: below both page rules, and
            # below 1 over the six hours of the ticket rule's short window.
            (30, 3, 0, level.NONE),
        )
        for bad_minutes, bad, good_minutes, expected in cases:
            evaluated = _evaluate(bad_minutes, bad, good_minutes)
            case = f"{bad_minutes} min, {bad} bad, then {good_minutes} min good"
            self.assertEqual(expected, evaluated.level, case)

    def test_burn_rate_is_relative_to_the_budget(self) -> None:
        rate = burn.burn_rate(data.Counts(990, 1_000), _TARGET) or 0.0
        self.assertAlmostEqual(10.0, rate)
        self.assertIsNone(burn.burn_rate(data.Counts(), _TARGET))
        self.assertEqual(0.0, burn.burn_rate(data.Counts(5, 5), 1.0))
        self.assertEqual(float("inf"), burn.burn_rate(data.Counts(4, 5), 1.0))

    def test_overspent_budget_is_negative(self) -> None:
        budget_left = _evaluate(4_320, 2).budget_left
        self.assertIsNotNone(budget_left)
        self.assertAlmostEqual(-1.0, budget_left or 0.0, places=2)

    def test_window_with_few_events_is_flagged(self) -> None:
        counted = counters.SloCounters(_NOW_MS)
        counted.record_requests(builders.SERVICE, 9, 10, _NOW_MS)
        evaluated = burn.evaluate(
            builders.request_series(counted), _TARGET, (), _NOW_MS
        )
        self.assertTrue(evaluated.has_few_events)
        self.assertEqual(data.AlertLevel.PAGE_FAST, evaluated.level)

    def test_change_shortly_before_the_onset_is_a_suspect(self) -> None:
        bad_from_ms = _NOW_MS - 25 * data.MS_PER_MINUTE
        marks = (
            data.ChangeMark(1, bad_from_ms - data.MS_PER_HOUR),
            data.ChangeMark(2, bad_from_ms - 2 * data.MS_PER_MINUTE),
            data.ChangeMark(3, bad_from_ms + 3 * data.MS_PER_MINUTE),
        )
        onset = _evaluate(25, 50, marks=marks).onset
        self.assertIsNotNone(onset)
        if onset is None:
            return
        self.assertEqual(bad_from_ms, onset.from_ms)
        self.assertEqual((marks[1],), onset.suspects)

    def test_onset_older_than_the_finest_tier_is_found(self) -> None:
        onset = _evaluate(240, 50).onset
        self.assertIsNotNone(onset)
        if onset is None:
            return
        self.assertEqual(_NOW_MS - 4 * data.MS_PER_HOUR, onset.from_ms)
        self.assertEqual((), onset.suspects)

    def test_merged_counts_equal_those_of_one_host_with_all_events(
        self,
    ) -> None:
        halves = [counters.SloCounters(_NOW_MS) for _ in range(2)]
        whole = counters.SloCounters(_NOW_MS)
        for second in range(600):
            wall_ms = _NOW_MS + second * 1_000
            good = 9 if second % 7 else 2
            halves[second % 2].record_flows("rota", good, 10, wall_ms)
            whole.record_flows("rota", good, 10, wall_ms)
        end_ms = _NOW_MS + 600_000
        merged = merge.merge_series(
            series for half in halves for series in half.snapshot(end_ms)
        )
        self.assertEqual(merge.merge_series(whole.snapshot(end_ms)), merged)

    def test_objectives_with_an_alert_come_first(self) -> None:
        counted = counters.SloCounters(_NOW_MS)
        counted.record_flows("a", 10, 10, _NOW_MS)
        counted.record_requests("b", 1, 10, _NOW_MS)
        burns = burn.evaluate_all(
            merge.merge_series(counted.snapshot(_NOW_MS)),
            {"b": records.Objectives(requests_answered=0.0)},
            (),
            _NOW_MS,
        )
        self.assertEqual(
            ["a", "b"], [evaluated.key.service for evaluated in burns]
        )
        burns = burn.evaluate_all(
            merge.merge_series(counted.snapshot(_NOW_MS)), {}, (), _NOW_MS
        )
        self.assertEqual(
            ["b", "a"], [evaluated.key.service for evaluated in burns]
        )

    def test_marks_of_hosts_and_history_are_merged_by_revision(self) -> None:
        merged = merge.merge_marks(
            (
                data.ChangeMark(2, 50),
                data.ChangeMark(1, 40),
                data.ChangeMark(2, 45, "ann", "drain rota-1"),
            )
        )
        self.assertEqual(
            (
                data.ChangeMark(1, 40),
                data.ChangeMark(2, 45, "ann", "drain rota-1"),
            ),
            merged,
        )
