"""Bounded counts of good and total events on one host.

Intervals are aligned to wall time, so that the counts of several hosts can be
added without any host knowing another's.
"""

import array
import collections
import dataclasses

from sapphire_core.slo import data

MAX_SERIES = 65_536
MAX_MARKS = 512
# Service while a data centre moves is judged for as long as a cold pool takes
# to warm up again, with a margin.
MOVE_MS = 10 * data.MS_PER_MINUTE


class _Ring:
    """The newest intervals of one tier, in two arrays of fixed length."""

    __slots__ = ("_good", "_newest", "_shape", "_total")

    def __init__(self, shape: data.TierShape, index: int) -> None:
        self._shape = shape
        self._good = array.array("Q", bytes(8 * shape.length))
        self._total = array.array("Q", bytes(8 * shape.length))
        self._newest = index

    def add(self, wall_ms: int, good: int, total: int) -> None:
        """Adds events to the interval of a wall time."""
        index = wall_ms // self._shape.width_ms
        length = self._shape.length
        if index > self._newest:
            self._clear(self._newest + 1, index)
        elif index <= self._newest - length:
            # The wall clock was set back: what lies ahead of it is void.
            self._clear(index - length + 1, index)
        slot = index % length
        self._good[slot] += good
        self._total[slot] += total

    def _clear(self, first: int, last: int) -> None:
        """Empties the intervals from first to last, which is the newest."""
        length = self._shape.length
        for index in range(max(first, last - length + 1), last + 1):
            self._good[index % length] = 0
            self._total[index % length] = 0
        self._newest = last

    def counts_by_index(self, wall_ms: int) -> dict[int, data.Counts]:
        """Returns the intervals that hold events and are not too old."""
        length = self._shape.length
        now_index = wall_ms // self._shape.width_ms
        oldest = max(self._newest, now_index) - length + 1
        counts_by_index = {}
        for index in range(oldest, self._newest + 1):
            total = self._total[index % length]
            if total == 0:
                continue
            good = self._good[index % length]
            counts_by_index[index] = data.Counts(good, total)
        return counts_by_index


@dataclasses.dataclass(slots=True)
class _Series:
    """The tiers of one series."""

    rings: tuple[_Ring, ...]


class SloCounters:
    """The counts of one host process.

    Attributes:
        since_ms: The wall time since which it counts.
        dropped_events: Events that were not counted because the number of
            series is bounded.
    """

    def __init__(self, wall_ms: int, max_series: int = MAX_SERIES) -> None:
        """Creates empty counters.

        Args:
            wall_ms: The wall time.
            max_series: The number of series that are kept at most.
        """
        self.since_ms = wall_ms
        self.dropped_events = 0
        self._max_series = max_series
        self._series_by_key: dict[data.SeriesKey, _Series] = {}
        self._marks: collections.deque[data.ChangeMark] = collections.deque(
            maxlen=MAX_MARKS
        )
        self._move_until_ms = 0

    def note_change(
        self, revision: int, wall_ms: int, *, moves_data_centre: bool
    ) -> None:
        """Marks that a revision is in force from now on.

        Args:
            revision: The revision.
            wall_ms: The wall time.
            moves_data_centre: Whether it takes a data centre out or in.
        """
        self._marks.append(data.ChangeMark(revision, wall_ms))
        if moves_data_centre:
            self._move_until_ms = wall_ms + MOVE_MS

    def record_flows(
        self, service: str, kept: int, total: int, wall_ms: int
    ) -> None:
        """Counts flows that have ended.

        Args:
            service: The name of the service.
            kept: How many ended without being broken by the system.
            total: How many ended.
            wall_ms: The wall time.
        """
        self._record(service, data.Objective.FLOWS_KEPT, kept, total, wall_ms)

    def record_requests(
        self, service: str, answered: int, total: int, wall_ms: int
    ) -> None:
        """Counts requests that have ended.

        Args:
            service: The name of the service.
            answered: How many were answered within their deadline.
            total: How many ended.
            wall_ms: The wall time.
        """
        self._record(
            service,
            data.Objective.REQUESTS_ANSWERED,
            answered,
            total,
            wall_ms,
        )

    def _record(
        self,
        service: str,
        objective: data.Objective,
        good: int,
        total: int,
        wall_ms: int,
    ) -> None:
        """Counts events for their objective, and for a move under way."""
        self._add(data.SeriesKey(service, objective), good, total, wall_ms)
        if wall_ms < self._move_until_ms:
            key = data.SeriesKey(service, data.Objective.MOVE_SERVICE)
            self._add(key, good, total, wall_ms)

    def _add(
        self, key: data.SeriesKey, good: int, total: int, wall_ms: int
    ) -> None:
        """Adds events to a series, which is created on its first."""
        series = self._series_by_key.get(key)
        if series is None:
            if len(self._series_by_key) >= self._max_series:
                self.dropped_events += total
                return
            series = _Series(
                tuple(
                    _Ring(shape, wall_ms // shape.width_ms)
                    for shape in data.TIER_SHAPES
                )
            )
            self._series_by_key[key] = series
        for ring in series.rings:
            ring.add(wall_ms, good, total)

    def snapshot(
        self, wall_ms: int, service: str | None = None
    ) -> tuple[data.SeriesCounts, ...]:
        """Returns the counts.

        Args:
            wall_ms: The wall time.
            service: The only service that is asked for; None for all.

        Returns:
            One record for each series.
        """
        records = []
        for key, series in self._series_by_key.items():
            if service is not None and key.service != service:
                continue
            tiers_by_width_ms = {
                shape.width_ms: ring.counts_by_index(wall_ms)
                for shape, ring in zip(
                    data.TIER_SHAPES, series.rings, strict=True
                )
            }
            records.append(data.SeriesCounts(key, tiers_by_width_ms))
        return tuple(records)

    def marks(self) -> tuple[data.ChangeMark, ...]:
        """Returns the remembered activations, oldest first."""
        return tuple(self._marks)
