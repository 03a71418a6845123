"""The load of upstreams as averages over time, for peers that hear of it late.

A request lasts tens of milliseconds, and a report of a peer is hundreds of
milliseconds old. How many requests a peer had in flight when it sent the report
therefore says nothing about now; the average over the last second does: it
follows the rate that new and open flows bring, and how long the upstream takes.
"""

import dataclasses
import math
import random

# The time constant of the averages. It is longer than the interval between two
# heartbeats of a peer in a fleet of hundreds (500 ms), so that hosts that hear
# a peer at different times know about the same, and short against the seconds
# for which demand lasts.
TIME_CONSTANT_MS = 1_000
# The unit of reported averages. Smaller values are rounded to one unit or to
# none at random, which keeps the sum over many hosts right and the reports few.
REPORT_UNIT = 0.1
# An average below this is taken for none.
_FADED = 0.001


@dataclasses.dataclass(slots=True)
class _Load:
    """The requests in flight at one upstream.

    Attributes:
        current: How many there are now.
        average: Their average at `updated_ms`.
        updated_ms: When `current` last changed.
    """

    current: int
    average: float
    updated_ms: int

    def average_at(self, now_ms: int) -> float:
        """Returns the average; `current` has not changed since the update."""
        elapsed_ms = now_ms - self.updated_ms
        if elapsed_ms <= 0:
            return self.average
        share = math.exp(-elapsed_ms / TIME_CONSTANT_MS)
        return self.current + (self.average - self.current) * share


class SmoothedLoad:
    """Requests of this host in flight at each upstream, now and on average.

    The average is over all past time, weighted by a decaying exponential.
    """

    def __init__(self) -> None:
        self._by_id: dict[str, _Load] = {}

    def current(self, upstream_id: str) -> int:
        """Returns how many requests are in flight at an upstream."""
        load = self._by_id.get(upstream_id)
        return load.current if load is not None else 0

    def average(self, upstream_id: str, now_ms: int) -> float:
        """Returns the average number of requests in flight at an upstream.

        Args:
            upstream_id: The upstream.
            now_ms: The current time.
        """
        load = self._by_id.get(upstream_id)
        return load.average_at(now_ms) if load is not None else 0.0

    def at_least(self, upstream_id: str, further: int, now_ms: int) -> float:
        """Returns the larger of the present number and the average.

        Args:
            upstream_id: The upstream.
            further: What counts as in flight besides, at present.
            now_ms: The current time.
        """
        load = self._by_id.get(upstream_id)
        if load is None:
            return further
        return max(load.current + further, load.average_at(now_ms))

    def begin(self, upstream_id: str, now_ms: int) -> None:
        """Records that a request has begun.

        Args:
            upstream_id: The upstream.
            now_ms: The current time.
        """
        load = self._by_id.get(upstream_id)
        if load is None:
            self._by_id[upstream_id] = _Load(1, 0.0, now_ms)
            return
        _update(load, load.current + 1, now_ms)

    def end(self, upstream_id: str, now_ms: int) -> None:
        """Records that a request has ended.

        Args:
            upstream_id: The upstream.
            now_ms: The current time.
        """
        load = self._by_id.get(upstream_id)
        if load is not None:
            _update(load, max(0, load.current - 1), now_ms)

    def evict_faded(self, now_ms: int) -> None:
        """Evicts upstreams without requests whose average has faded.

        Args:
            now_ms: The current time.
        """
        for upstream_id, load in list(self._by_id.items()):
            if load.current == 0 and load.average_at(now_ms) < _FADED:
                del self._by_id[upstream_id]


def _update(load: _Load, current: int, now_ms: int) -> None:
    """Sets how many requests are in flight from now on."""
    load.average = load.average_at(now_ms)
    load.current = current
    load.updated_ms = max(load.updated_ms, now_ms)


def reported(average: float, rng: random.Random) -> float:
    """Returns an average as it is reported, a multiple of `REPORT_UNIT`.

    Args:
        average: The average number of requests in flight.
        rng: Rounds up or down; the expected value is the average.
    """
    units = average / REPORT_UNIT
    whole = int(units)
    return (whole + (rng.random() < units - whole)) * REPORT_UNIT


def draw_in_flight(average: float, rng: random.Random) -> float:
    """Draws how many requests of peers an upstream may have in flight now.

    Hosts that know the same averages and each take the least of them collide at
    the same few upstreams until the averages have changed, a second later. The
    number of requests in flight varies around its average by about the root of
    it, as arrivals of many callers are independent; a host that draws from that
    range spreads its flows as far as the averages leave open which upstream has
    the least load, and no further. Where peers report no load it draws none.

    Args:
        average: What all peers together have reported of the upstream.
        rng: The source of the draw.
    """
    if average <= 0.0:
        return 0.0
    drawn = rng.gauss(average, math.sqrt(average))
    return drawn if drawn > 0.0 else 0.0
