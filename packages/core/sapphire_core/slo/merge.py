"""Merges the counts and the change marks of several hosts."""

from collections.abc import Iterable

from sapphire_core.slo import data


def merge_series(
    series: Iterable[data.SeriesCounts],
) -> dict[data.SeriesKey, data.SeriesCounts]:
    """Adds up the counts of several hosts.

    Args:
        series: The series of all hosts; each host's series occur once.

    Returns:
        The sums, by key.
    """
    sums_by_key: dict[data.SeriesKey, dict[int, dict[int, data.Counts]]] = {}
    for record in series:
        tiers = sums_by_key.setdefault(record.key, {})
        for width_ms, counts_by_index in record.tiers_by_width_ms.items():
            sums = tiers.setdefault(width_ms, {})
            for index, counts in counts_by_index.items():
                sums[index] = sums.get(index, data.Counts()) + counts
    return {
        key: data.SeriesCounts(key, tiers) for key, tiers in sums_by_key.items()
    }


def merge_marks(
    marks: Iterable[data.ChangeMark],
) -> tuple[data.ChangeMark, ...]:
    """Merges the marks of each revision into one with the earliest time.

    Marks of hosts have no author and no summary; these are taken from the mark
    of the configuration history, if there is one.

    Args:
        marks: The marks of all hosts and of the configuration history.

    Returns:
        One mark for each revision, the earliest first.
    """
    merged_by_revision: dict[int, data.ChangeMark] = {}
    for mark in marks:
        known = merged_by_revision.get(mark.revision)
        if known is None:
            merged_by_revision[mark.revision] = mark
            continue
        merged_by_revision[mark.revision] = data.ChangeMark(
            revision=mark.revision,
            at_ms=min(known.at_ms, mark.at_ms),
            author=known.author or mark.author,
            summary=known.summary or mark.summary,
        )
    return tuple(
        sorted(
            merged_by_revision.values(),
            key=lambda mark: (mark.at_ms, mark.revision),
        )
    )
