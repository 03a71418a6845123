"""Bounded counts of good and total events on one host.

Intervals are aligned to wall time, so that the counts of several hosts can be
added without any coordination between the hosts.
"""

import collections

from sapphire_core.slo import data
from sapphire_core.slo import ring_buffers

MAX_SERIES = 65_536
MAX_MARKS = 512
# Events count for `move_service` for this long after a data centre is moved in
# or out of rotation: the time that a cold pool takes to warm up, with a margin.
MOVE_DURATION_MS = 10 * data.MS_PER_MINUTE


class SloCounters:
    """The counts of one host process.

    Attributes:
        since_ms: The wall time at which counting started.
        dropped_events: The number of events that were not counted because the
            number of series is bounded.
    """

    def __init__(self, wall_ms: int, max_series: int = MAX_SERIES) -> None:
        """Creates empty counters.

        Args:
            wall_ms: The wall time.
            max_series: The largest number of series; events of further series
                are dropped.
        """
        self.since_ms = wall_ms
        self.dropped_events = 0
        self._max_series = max_series
        self._series_by_key: dict[
            data.SeriesKey, ring_buffers.SeriesRingBuffers
        ] = {}
        self._marks: collections.deque[data.ChangeMark] = collections.deque(
            maxlen=MAX_MARKS
        )
        self._move_until_ms = 0

    def record_change(
        self, revision: int, wall_ms: int, *, moves_data_centre: bool
    ) -> None:
        """Records that a configuration revision came into force.

        Args:
            revision: The revision.
            wall_ms: The wall time.
            moves_data_centre: Whether the revision moves a data centre in or
                out of rotation.
        """
        self._marks.append(data.ChangeMark(revision, wall_ms))
        if moves_data_centre:
            self._move_until_ms = wall_ms + MOVE_DURATION_MS

    def record_flows(
        self, service: str, kept: int, total: int, wall_ms: int
    ) -> None:
        """Counts flows that have ended.

        Args:
            service: The name of the service.
            kept: How many of them the load balancer did not break.
            total: How many ended in all.
            wall_ms: The wall time.
        """
        self._record(service, data.Objective.FLOWS_KEPT, kept, total, wall_ms)

    def record_requests(
        self, service: str, answered: int, total: int, wall_ms: int
    ) -> None:
        """Counts requests that have ended.

        Args:
            service: The name of the service.
            answered: How many of them were answered within their deadline.
            total: How many ended in all.
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
        """Counts events for their objective.

        During a move of a data centre they count for `move_service` as well.
        """
        self._add(data.SeriesKey(service, objective), good, total, wall_ms)
        if wall_ms < self._move_until_ms:
            key = data.SeriesKey(service, data.Objective.MOVE_SERVICE)
            self._add(key, good, total, wall_ms)

    def _add(
        self, key: data.SeriesKey, good: int, total: int, wall_ms: int
    ) -> None:
        """Adds events to a series, which is created with its first events."""
        series = self._series_by_key.get(key)
        if series is None:
            if len(self._series_by_key) >= self._max_series:
                self.dropped_events += total
                return
            series = ring_buffers.SeriesRingBuffers(wall_ms)
            self._series_by_key[key] = series
        series.add(wall_ms, good, total)

    def snapshot(
        self, wall_ms: int, service: str | None = None
    ) -> tuple[data.SeriesCounts, ...]:
        """Returns the counts.

        Args:
            wall_ms: The wall time; older intervals than a tier keeps are left
                out.
            service: The service whose counts are returned; None for all.

        Returns:
            One record for each series.
        """
        records = []
        for key, series in self._series_by_key.items():
            if service is not None and key.service != service:
                continue
            tiers_by_width_ms = {
                tier.width_ms: series.counts_by_index(tier_index, wall_ms)
                for tier_index, tier in enumerate(data.TIERS)
            }
            records.append(data.SeriesCounts(key, tiers_by_width_ms))
        return tuple(records)

    def marks(self) -> tuple[data.ChangeMark, ...]:
        """Returns the recorded configuration changes, oldest first."""
        return tuple(self._marks)
