"""Burn rates of error budgets over several windows, and their alert levels."""

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

    Intervals that start at or before the beginning of the window are left out,
    so that no event from before the window is counted.

    Args:
        series: The counts.
        window_ms: The length of the window.
        now_ms: The wall time at which the window ends.

    Returns:
        The events within the window.
    """
    tier = _tier_for(window_ms)
    first = (now_ms - window_ms) // tier.width_ms + 1
    last = now_ms // tier.width_ms
    counts = data.Counts()
    for index, interval in series.tiers_by_width_ms.get(
        tier.width_ms, {}
    ).items():
        if not first <= index <= last:
            continue
        counts += interval
    return counts


def _tier_for(window_ms: int) -> data.Tier:
    """Returns the finest tier that covers a window, or else the coarsest."""
    for tier in data.TIERS:
        if window_ms <= tier.span_ms:
            return tier
    return data.TIERS[-1]


def burn_rate(counts: data.Counts, target: float) -> float | None:
    """Returns how many times faster than allowed the error budget is spent.

    Args:
        counts: The events of the window.
        target: The share of good events that the objective asks for.

    Returns:
        The rate; infinite if the target allows no bad event and there was
        one, None if there was no event.
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
    """Evaluates one objective of one service.

    Args:
        series: The counts, merged over hosts.
        target: The share of good events that the objective asks for.
        marks: The configuration changes, oldest first.
        now_ms: The wall time.

    Returns:
        The burn rates, the alert level and, if an alert is raised, when the
        series became worse and the configuration changes near that moment.
    """
    windows_by_length = _windows_by_length(series, target, now_ms)
    level = _alert_level(windows_by_length)
    detected_onset = None
    if level is not data.AlertLevel.NONE:
        detected_onset = onset.find_onset(series, marks, now_ms)
    budget_rate = windows_by_length[data.BUDGET_WINDOW_MS].burn_rate
    most_urgent = windows_by_length[data.BURN_RULES[0].long_ms].counts
    return data.ObjectiveBurn(
        key=series.key,
        target=target,
        level=level,
        windows=tuple(
            windows_by_length[length] for length in sorted(windows_by_length)
        ),
        budget_left=None if budget_rate is None else 1.0 - budget_rate,
        has_few_events=most_urgent.total * (1.0 - target) < 1.0,
        onset=detected_onset,
    )


def _windows_by_length(
    series: data.SeriesCounts, target: float, now_ms: int
) -> dict[int, data.WindowBurn]:
    """Computes the burn rate over each window of the alert rules."""
    windows_by_length: dict[int, data.WindowBurn] = {}
    for rule in data.BURN_RULES:
        for window_ms in (rule.short_ms, rule.long_ms):
            counts = counts_within(series, window_ms, now_ms)
            windows_by_length[window_ms] = data.WindowBurn(
                window_ms, counts, burn_rate(counts, target)
            )
    return windows_by_length


def _alert_level(
    windows_by_length: Mapping[int, data.WindowBurn],
) -> data.AlertLevel:
    """Returns the level of the most urgent rule that both windows reach."""
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
    """Evaluates all objectives.

    Services that are no longer in the document are evaluated against the
    default objectives.

    Args:
        series_by_key: The counts, merged over hosts.
        objectives_by_service: The objectives in the document in force.
        marks: The configuration changes, oldest first.
        now_ms: The wall time.

    Returns:
        One record for each series, the most urgent alert level first.
    """
    all_marks = tuple(marks)
    burns = []
    for key, series in series_by_key.items():
        objectives = objectives_by_service.get(
            key.service, records.Objectives()
        )
        target = target_of(objectives, key.objective)
        burns.append(evaluate(series, target, all_marks, now_ms))
    burns.sort(
        key=lambda burn: (
            _LEVELS_BY_URGENCY.index(burn.level),
            burn.key.service,
            burn.key.objective,
        )
    )
    return tuple(burns)
