"""The newest intervals of one series at all resolutions, in one array.

A host may count tens of thousands of series, so that a series is one array of
32-bit cells rather than a tree of objects.
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
    for shape in data.TIERS:
        offsets.append(cell)
        cell += 2 * shape.interval_count
    return tuple(offsets), cell


_OFFSETS, _CELL_COUNT = _offsets()


class SeriesRingBuffers:
    """The counts of one series.

    Each interval has two cells, for good events and for all. A count that
    reaches `MAX_COUNT` stays there; at six hours to an interval that takes
    198,000 events a second.
    """

    __slots__ = ("_cells",)

    def __init__(self, wall_ms: int) -> None:
        """Creates empty ring buffers.

        Args:
            wall_ms: The wall time of the first event.
        """
        self._cells = array.array("I", bytes(_BYTES_PER_CELL * _CELL_COUNT))
        for tier, shape in enumerate(data.TIERS):
            self._cells[tier] = wall_ms // shape.width_ms

    def add(self, wall_ms: int, good: int, total: int) -> None:
        """Adds events to the intervals of a wall time.

        Args:
            wall_ms: The wall time.
            good: The number of good events.
            total: The number of events.
        """
        cells = self._cells
        for tier, shape in enumerate(data.TIERS):
            index = wall_ms // shape.width_ms
            newest = cells[tier]
            if index > newest:
                self._clear(tier, newest + 1, index)
            elif index <= newest - shape.interval_count:
                # The wall clock was set back: what lies ahead of it is void.
                self._clear(tier, index - shape.interval_count + 1, index)
            cell = _OFFSETS[tier] + 2 * (index % shape.interval_count)
            cells[cell] = min(cells[cell] + good, MAX_COUNT)
            cells[cell + 1] = min(cells[cell + 1] + total, MAX_COUNT)

    def _clear(self, tier: int, first: int, last: int) -> None:
        """Empties the intervals from first to last, which is the newest."""
        length = data.TIERS[tier].interval_count
        for index in range(max(first, last - length + 1), last + 1):
            cell = _OFFSETS[tier] + 2 * (index % length)
            self._cells[cell] = 0
            self._cells[cell + 1] = 0
        self._cells[tier] = last

    def counts_by_index(
        self, tier: int, wall_ms: int
    ) -> dict[int, data.Counts]:
        """Returns the intervals that hold events and are not too old.

        Args:
            tier: The place of the resolution in `data.TIERS`.
            wall_ms: The wall time.

        Returns:
            The counts by the start of their interval divided by its width.
        """
        shape = data.TIERS[tier]
        newest = self._cells[tier]
        oldest = (
            max(newest, wall_ms // shape.width_ms) - shape.interval_count + 1
        )
        counts_by_index = {}
        for index in range(oldest, newest + 1):
            cell = _OFFSETS[tier] + 2 * (index % shape.interval_count)
            total = self._cells[cell + 1]
            if total == 0:
                continue
            counts_by_index[index] = data.Counts(self._cells[cell], total)
        return counts_by_index
