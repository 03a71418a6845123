"""Burn of error budgets over several windows, and the alerts it raises."""

from collections.abc import Iterable
from collections.abc import Mapping

from sapphire_core.slo import data
from sapphire_core.slo import onset
from sapphire_data import records

_LEVELS_BY_URGENCY = tuple(data.AlertLevel)


def target_of(
    objectives: records.Objectives, objective: data.Objective
) -> float:
    """Returns the share of good events that an objective asks for."""
    targets_by_objective = {
        data.Objective.FLOWS_KEPT: objectives.flows_kept,
        data.Objective.REQUESTS_ANSWERED: objectives.requests_answered,
        data.Objective.MOVE_SERVICE: objectives.move_service,
    }
    return targets_by_objective[objective]


def counts_within(
    series: data.SeriesCounts, window_ms: int, now_ms: int
) -> data.Counts:
    """Adds up the events of a window that ends now.

    The oldest interval counts only when it lies in the window as a whole.

    Args:
        series: The counts.
        window_ms: The length of the window.
        now_ms: The wall time.

    Returns:
        The events within the window.
    """
    shape = _shape_for(window_ms)
    first = (now_ms - window_ms) // shape.width_ms + 1
    last = now_ms // shape.width_ms
    counts = data.Counts()
    for index, interval in series.tiers_by_width_ms.get(
        shape.width_ms, {}
    ).items():
        if not first <= index <= last:
            continue
        counts += interval
    return counts


def _shape_for(window_ms: int) -> data.Tier:
    """Returns the finest resolution that covers a window."""
    for shape in data.TIERS:
        if window_ms <= shape.span_ms:
            return shape
    return data.TIERS[-1]


def burn_rate(counts: data.Counts, target: float) -> float | None:
    """Returns how many times faster than allowed the budget is spent.

    Args:
        counts: The events.
        target: The share of good events that the objective asks for.

    Returns:
        The rate; infinite where the target allows no bad event and there was
        one, None without events.
    """
    if counts.total == 0:
        return None
    allowed = (1.0 - target) * counts.total
    if allowed <= 0.0:
        return float("inf") if counts.bad else 0.0
    return counts.bad / allowed


def evaluate(
    series: data.SeriesCounts,
    target: float,
    marks: Iterable[data.ChangeMark],
    now_ms: int,
) -> data.ObjectiveBurn:
    """Judges one objective of one service.

    Args:
        series: The counts, merged over hosts.
        target: The share of good events that the objective asks for.
        marks: The configuration changes, oldest first.
        now_ms: The wall time.

    Returns:
        Its burn, alert level, and the change that may have started it.
    """
    windows_by_length = _windows_by_length(series, target, now_ms)
    level = _level(windows_by_length)
    found = None
    if level is not data.AlertLevel.NONE:
        found = onset.find_onset(series, marks, now_ms)
    budget_rate = windows_by_length[data.BUDGET_WINDOW_MS].burn_rate
    urgent = windows_by_length[data.BURN_RULES[0].long_ms].counts
    return data.ObjectiveBurn(
        key=series.key,
        target=target,
        level=level,
        windows=tuple(
            windows_by_length[length] for length in sorted(windows_by_length)
        ),
        budget_left=None if budget_rate is None else 1.0 - budget_rate,
        has_few_events=urgent.total * (1.0 - target) < 1.0,
        onset=found,
    )


def _windows_by_length(
    series: data.SeriesCounts, target: float, now_ms: int
) -> dict[int, data.WindowBurn]:
    """Computes the burn of each window that a rule names."""
    windows_by_length: dict[int, data.WindowBurn] = {}
    for rule in data.BURN_RULES:
        for window_ms in (rule.short_ms, rule.long_ms):
            counts = counts_within(series, window_ms, now_ms)
            windows_by_length[window_ms] = data.WindowBurn(
                window_ms, counts, burn_rate(counts, target)
            )
    return windows_by_length


def _level(
    windows_by_length: Mapping[int, data.WindowBurn],
) -> data.AlertLevel:
    """Returns the level of the most urgent rule that holds."""
    for rule in data.BURN_RULES:
        long_rate = windows_by_length[rule.long_ms].burn_rate
        short_rate = windows_by_length[rule.short_ms].burn_rate
        if long_rate is None or short_rate is None:
            continue
        if min(long_rate, short_rate) < rule.burn_rate:
            continue
        return rule.level
    return data.AlertLevel.NONE


def evaluate_all(
    series_by_key: Mapping[data.SeriesKey, data.SeriesCounts],
    objectives_by_service: Mapping[str, records.Objectives],
    marks: Iterable[data.ChangeMark],
    now_ms: int,
) -> tuple[data.ObjectiveBurn, ...]:
    """Judges all objectives, the most urgent first.

    A service that has left the document is judged by the default objectives.

    Args:
        series_by_key: The counts, merged over hosts.
        objectives_by_service: The objectives of the document in force.
        marks: The configuration changes, oldest first.
        now_ms: The wall time.

    Returns:
        One record for each series.
    """
    known_marks = tuple(marks)
    burns = []
    for key, series in series_by_key.items():
        objectives = objectives_by_service.get(
            key.service, records.Objectives()
        )
        target = target_of(objectives, key.objective)
        burns.append(evaluate(series, target, known_marks, now_ms))
    burns.sort(
        key=lambda burn: (
            _LEVELS_BY_URGENCY.index(burn.level),
            burn.key.service,
            burn.key.objective,
        )
    )
    return tuple(burns)
