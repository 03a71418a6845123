"""Finds the moment at which a series became worse, and the changes near it.

The moment is the change point of the series at which two shares of bad events,
one before and one after, explain the counts best: the maximum of the binomial
log-likelihood ratio.
"""

from collections.abc import Iterable
import dataclasses
import math

from sapphire_core.slo import data

# A change may cause bad events only some minutes after it came into force, for
# instance when the flows of a drained upstream end.
SUSPECT_LEAD_MS = 10 * data.MS_PER_MINUTE
MAX_SUSPECTS = 5
# If the share of bad events is constant, the best of sixty change points
# reaches this ratio by chance in about one of a thousand series.
MIN_LOG_LIKELIHOOD_RATIO = 10.0

_IndexedCounts = list[tuple[int, data.Counts]]


def find_onset(
    series: data.SeriesCounts,
    marks: Iterable[data.ChangeMark],
    now_ms: int,
) -> data.Onset | None:
    """Finds when a series became worse.

    Uses the finest tier whose change point is significant. If no tier has one,
    because there were few events, uses the finest tier with any change point.

    Args:
        series: The counts, merged over hosts.
        marks: The configuration changes.
        now_ms: The wall time.

    Returns:
        The onset, or None if the share of bad events never rose.
    """
    insignificant = []
    for tier in data.TIERS:
        counts_by_index = series.tiers_by_width_ms.get(tier.width_ms, {})
        oldest = now_ms // tier.width_ms - tier.interval_count + 1
        intervals = sorted(
            (index, counts)
            for index, counts in counts_by_index.items()
            if index >= oldest
        )
        change_point = _best_change_point(intervals, tier.width_ms)
        if change_point is None:
            continue
        if change_point.log_likelihood_ratio >= MIN_LOG_LIKELIHOOD_RATIO:
            return _onset(change_point, marks)
        insignificant.append(change_point)
    if not insignificant:
        return None
    return _onset(insignificant[0], marks)


@dataclasses.dataclass(frozen=True, slots=True)
class _ChangePoint:
    """An interval from which on the share of bad events is higher.

    Attributes:
        from_ms: The start of the interval.
        width_ms: The length of the interval.
        before: The events before the interval.
        after: The events from the interval on.
        log_likelihood_ratio: The log-likelihood of the counts with one share
            of bad events before and one after, less that with a single share.
    """

    from_ms: int
    width_ms: int
    before: data.Counts
    after: data.Counts
    log_likelihood_ratio: float


def _onset(
    change_point: _ChangePoint, marks: Iterable[data.ChangeMark]
) -> data.Onset:
    """Returns the onset at a change point, with the changes near it."""
    until_ms = change_point.from_ms + change_point.width_ms
    return data.Onset(
        from_ms=change_point.from_ms,
        until_ms=until_ms,
        bad_share_before=change_point.before.bad / change_point.before.total,
        bad_share_after=change_point.after.bad / change_point.after.total,
        suspects=_suspects(marks, change_point.from_ms, until_ms),
    )


def _best_change_point(
    intervals: _IndexedCounts, width_ms: int
) -> _ChangePoint | None:
    """Finds the rise of the share of bad events with the largest ratio.

    Returns:
        The change point, or None if the share is nowhere higher after an
        interval's start than before it.
    """
    total = data.Counts()
    for _, counts in intervals:
        total += counts
    best: _ChangePoint | None = None
    before = data.Counts()
    for index, counts in intervals:
        after = data.Counts(
            total.good - before.good, total.total - before.total
        )
        is_worse = after.bad * before.total > before.bad * after.total
        if is_worse:
            ratio = _log_likelihood(before) + _log_likelihood(after)
            ratio -= _log_likelihood(total)
            if best is None or ratio > best.log_likelihood_ratio:
                best = _ChangePoint(
                    index * width_ms, width_ms, before, after, ratio
                )
        before += counts
    return best


def _log_likelihood(counts: data.Counts) -> float:
    """Returns the log-likelihood of counts given their share of bad events."""
    log_likelihood = 0.0
    for events in (counts.good, counts.bad):
        if events == 0:
            continue
        log_likelihood += events * math.log(events / counts.total)
    return log_likelihood


def _suspects(
    marks: Iterable[data.ChangeMark], from_ms: int, until_ms: int
) -> tuple[data.ChangeMark, ...]:
    """Returns the changes near an onset, the latest first."""
    suspects = []
    for mark in marks:
        if not from_ms - SUSPECT_LEAD_MS <= mark.at_ms < until_ms:
            continue
        suspects.append(mark)
    suspects.sort(key=lambda mark: (mark.at_ms, mark.revision), reverse=True)
    return tuple(suspects[:MAX_SUSPECTS])
