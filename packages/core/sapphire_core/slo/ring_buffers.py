"""Ring buffers of the newest intervals of a series, one for each tier.

A host may count tens of thousands of series. To save memory, all ring buffers
of a series share one array of 32-bit cells instead of being objects.
"""

import array

from sapphire_core.slo import data

MAX_COUNT = 2**32 - 1
_BYTES_PER_CELL = 4


def _offsets() -> tuple[tuple[int, ...], int]:
    """Returns the first cell of each tier, and the number of all cells."""
    offsets = []
    # The first cells hold the index of each tier's newest interval.
    cell = len(data.TIERS)
    for tier in data.TIERS:
        offsets.append(cell)
        cell += 2 * tier.interval_count
    return tuple(offsets), cell


_OFFSETS, _CELL_COUNT = _offsets()


class SeriesRingBuffers:
    """The counts of one series at all tiers.

    Each interval has two cells, for good events and for all events. A count
    saturates at `MAX_COUNT`; in an interval of six hours that takes 198,000
    events a second.
    """

    __slots__ = ("_cells",)

    def __init__(self, wall_ms: int) -> None:
        """Creates empty ring buffers.

        Args:
            wall_ms: The wall time of the first event.
        """
        self._cells = array.array("I", bytes(_BYTES_PER_CELL * _CELL_COUNT))
        for tier_index, tier in enumerate(data.TIERS):
            self._cells[tier_index] = wall_ms // tier.width_ms

    def add(self, wall_ms: int, good: int, total: int) -> None:
        """Adds events to the interval of each tier that holds a wall time.

        Args:
            wall_ms: The wall time.
            good: The number of good events.
            total: The number of events.
        """
        cells = self._cells
        for tier_index, tier in enumerate(data.TIERS):
            index = wall_ms // tier.width_ms
            newest = cells[tier_index]
            if index > newest:
                self._clear(tier_index, newest + 1, index)
            elif index <= newest - tier.interval_count:
                # The wall clock was set back further than the tier reaches, so
                # that all its intervals are in the future: discard them.
                self._clear(tier_index, index - tier.interval_count + 1, index)
            cell = _OFFSETS[tier_index] + 2 * (index % tier.interval_count)
            cells[cell] = min(cells[cell] + good, MAX_COUNT)
            cells[cell + 1] = min(cells[cell + 1] + total, MAX_COUNT)

    def _clear(self, tier_index: int, first: int, last: int) -> None:
        """Empties the intervals first to last; last becomes the newest."""
        interval_count = data.TIERS[tier_index].interval_count
        for index in range(max(first, last - interval_count + 1), last + 1):
            cell = _OFFSETS[tier_index] + 2 * (index % interval_count)
            self._cells[cell] = 0
            self._cells[cell + 1] = 0
        self._cells[tier_index] = last

    def counts_by_index(
        self, tier_index: int, wall_ms: int
    ) -> dict[int, data.Counts]:
        """Returns the counts of a tier.

        Args:
            tier_index: The index of the tier in `data.TIERS`.
            wall_ms: The wall time; older intervals than the tier keeps are
                left out.

        Returns:
            The counts of each interval that holds events, by interval index.
        """
        tier = data.TIERS[tier_index]
        newest = self._cells[tier_index]
        oldest = max(newest, wall_ms // tier.width_ms) - tier.interval_count + 1
        counts_by_index = {}
        for index in range(oldest, newest + 1):
            cell = _OFFSETS[tier_index] + 2 * (index % tier.interval_count)
            total = self._cells[cell + 1]
            if total == 0:
                continue
            counts_by_index[index] = data.Counts(self._cells[cell], total)
        return counts_by_index
