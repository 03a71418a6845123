"""The moment at which a series became worse, and the changes near it.

The moment is the split of the series at which two shares of bad events, one
before and one after, explain the counts best: the maximum of the binomial
log-likelihood ratio.
"""

from collections.abc import Iterable
import dataclasses
import math

from sapphire_core.slo import data

# A change can hurt some minutes after it took effect, for instance when a
# drained upstream's flows reach their end.
SUSPECT_LEAD_MS = 10 * data.MS_PER_MINUTE
MAX_SUSPECTS = 5
# A split of even counts reaches this ratio by chance in about one of a
# thousand series, given that the best of sixty splits is taken.
MIN_GAIN = 10.0

_IndexedCounts = list[tuple[int, data.Counts]]


def find_onset(
    series: data.SeriesCounts,
    marks: Iterable[data.ChangeMark],
    now_ms: int,
) -> data.Onset | None:
    """Finds when a series became worse.

    The finest resolution that shows it clearly decides; where none does, for
    there were few events, the finest that shows it at all.

    Args:
        series: The counts, merged over hosts.
        marks: The configuration changes.
        now_ms: The wall time.

    Returns:
        The onset, or None where the series was never better.
    """
    splits = []
    for shape in data.TIERS:
        counts_by_index = series.tiers_by_width_ms.get(shape.width_ms, {})
        oldest = now_ms // shape.width_ms - shape.interval_count + 1
        intervals = sorted(
            (index, counts)
            for index, counts in counts_by_index.items()
            if index >= oldest
        )
        split = _worst_split(intervals, shape.width_ms)
        if split is None:
            continue
        if split.gain >= MIN_GAIN:
            return _onset(split, marks)
        splits.append(split)
    if not splits:
        return None
    return _onset(splits[0], marks)


@dataclasses.dataclass(frozen=True, slots=True)
class _Split:
    """A moment that parts better from worse events.

    Attributes:
        from_ms: The start of the first worse interval.
        width_ms: The width of the interval.
        before: The events before it.
        after: The events from it on.
        gain: The log-likelihood ratio against one share for all events.
    """

    from_ms: int
    width_ms: int
    before: data.Counts
    after: data.Counts
    gain: float


def _onset(split: _Split, marks: Iterable[data.ChangeMark]) -> data.Onset:
    """Adds the changes near a split."""
    until_ms = split.from_ms + split.width_ms
    return data.Onset(
        from_ms=split.from_ms,
        until_ms=until_ms,
        bad_share_before=split.before.bad / split.before.total,
        bad_share_after=split.after.bad / split.after.total,
        suspects=_suspects(marks, split.from_ms, until_ms),
    )


def _worst_split(intervals: _IndexedCounts, width_ms: int) -> _Split | None:
    """Finds the split after which events are worse than before it.

    Returns:
        The split, or None where none is worse after than before.
    """
    total = data.Counts()
    for _, counts in intervals:
        total += counts
    best: _Split | None = None
    before = data.Counts()
    for index, counts in intervals:
        after = data.Counts(
            total.good - before.good, total.total - before.total
        )
        is_worse = after.bad * before.total > before.bad * after.total
        if is_worse:
            gain = _likelihood(before) + _likelihood(after)
            gain -= _likelihood(total)
            if best is None or gain > best.gain:
                best = _Split(index * width_ms, width_ms, before, after, gain)
        before += counts
    return best


def _likelihood(counts: data.Counts) -> float:
    """Returns the log-likelihood of counts under their own share."""
    likelihood = 0.0
    for events in (counts.good, counts.bad):
        if events == 0:
            continue
        likelihood += events * math.log(events / counts.total)
    return likelihood


def _suspects(
    marks: Iterable[data.ChangeMark], from_ms: int, until_ms: int
) -> tuple[data.ChangeMark, ...]:
    """Returns the changes near an onset, the latest first."""
    near = []
    for mark in marks:
        if not from_ms - SUSPECT_LEAD_MS <= mark.at_ms < until_ms:
            continue
        near.append(mark)
    near.sort(key=lambda mark: (mark.at_ms, mark.revision), reverse=True)
    return tuple(near[:MAX_SUSPECTS])
