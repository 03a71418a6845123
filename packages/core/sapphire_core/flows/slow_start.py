"""Admission of new flows to upstreams that have just started.

The rate that a cold upstream bears is cut into slots of one new flow a second
each. A slot belongs to the first keeper of one bucket of the upstream, so that
exactly one host admits by it. A host that takes over a slot waits until its
predecessor has either learned of that or stopped to admit because it is not
fresh. The sum over all hosts therefore stays within the rate.
"""

from collections.abc import Callable
import dataclasses
import math

from sapphire_core.flows import data
from sapphire_data import clock
from sapphire_data import records

TAKEOVER_WAIT_MS = 3_000
# The end of the ramp over its start; an upstream that bears more than this
# once it is warm is never given more than it bears on the way.
END_OVER_START = 2.0
# Room for unequal delays between two admissions by one slot and the upstream.
SLOT_JITTER_MS = 50


@dataclasses.dataclass(slots=True)
class _Slot:
    """One admission a second.

    Attributes:
        held_since_ms: When this host took the slot over; None if not held.
        next_ms: The earliest time of the next admission.
    """

    held_since_ms: int | None = None
    next_ms: int = 0


@dataclasses.dataclass(slots=True)
class _ColdUpstream:
    """An upstream on its ramp.

    Attributes:
        upstream: The upstream.
        since_ms: When it turned cold, as far as this host knows.
        slots: The slots in use at the end of the ramp.
    """

    upstream: records.Upstream
    since_ms: int
    slots: list[_Slot]


def rate_per_second(upstream: records.Upstream, age_ms: int) -> float:
    """Returns the new flows a second that a cold upstream may get.

    Args:
        upstream: The upstream.
        age_ms: The time since it turned cold.

    Returns:
        The rate, summed over all hosts.
    """
    progress = min(1.0, max(0, age_ms) / max(1, upstream.warm_up_ms))
    growth = 1.0 + (END_OVER_START - 1.0) * progress
    return upstream.cold_flows_per_second * growth


class SlowStartLimiter:
    """The share that one host admits to cold upstreams.

    Args:
        is_holder: Tells from the name of an upstream and the number of a
            slot whether this host holds the slot.
    """

    def __init__(self, is_holder: Callable[[str, int], bool]) -> None:
        self._is_holder = is_holder
        self._cold_by_name: dict[str, _ColdUpstream] = {}
        self._view_changed_ms = 0

    def cold_upstreams(self) -> frozenset[str]:
        """Returns the names of the upstreams on their ramp."""
        return frozenset(self._cold_by_name)

    def ramps(self, now_ms: int) -> tuple[data.SlowStart, ...]:
        """Returns the ramps for a host that has just started."""
        ramps = []
        for name, cold in self._cold_by_name.items():
            ramps.append(data.SlowStart(name, now_ms - cold.since_ms))
        return tuple(ramps)

    def note_cold(self, upstream: records.Upstream, now_ms: int) -> None:
        """Starts the ramp of an upstream, anew if it is on one already.

        Args:
            upstream: The upstream.
            now_ms: When it turned cold.
        """
        most = rate_per_second(upstream, upstream.warm_up_ms)
        slots = [_Slot() for _ in range(max(1, math.floor(most)))]
        cold = _ColdUpstream(upstream, now_ms, slots)
        self._cold_by_name[upstream.name] = cold
        self._assign(cold, self._view_changed_ms)

    def forget(self, name: str) -> None:
        """Ends the ramp of an upstream."""
        self._cold_by_name.pop(name, None)

    def note_view(self, now_ms: int) -> None:
        """Assigns the slots again after a change of membership or buckets.

        Args:
            now_ms: The current time.
        """
        self._view_changed_ms = now_ms
        for cold in self._cold_by_name.values():
            self._assign(cold, now_ms)

    def note_regained(self, now_ms: int) -> None:
        """Takes all slots over anew, after this host was not fresh.

        Others may have taken the slots meanwhile and hold them until they
        learn that this host is back.

        Args:
            now_ms: The current time.
        """
        for cold in self._cold_by_name.values():
            for slot in cold.slots:
                if slot.held_since_ms is not None:
                    slot.held_since_ms = now_ms

    def admits(self, name: str, is_fresh: bool, now_ms: int) -> bool:
        """Returns whether an upstream may get one more new flow from here.

        An admission is counted at once.

        Args:
            name: The name of the upstream.
            is_fresh: Whether peers confirmed this host recently.
            now_ms: The current time.
        """
        cold = self._cold_by_name.get(name)
        if cold is None:
            return True
        if not is_fresh or cold.upstream.cold_flows_per_second <= 0:
            return False
        rate = rate_per_second(cold.upstream, now_ms - cold.since_ms)
        in_use = min(len(cold.slots), max(1, math.floor(rate)))
        pace_ms = math.ceil(clock.MS_PER_SECOND * in_use / rate)
        for slot in cold.slots[:in_use]:
            if slot.held_since_ms is None or now_ms < slot.next_ms:
                continue
            if now_ms - slot.held_since_ms < TAKEOVER_WAIT_MS:
                continue
            slot.next_ms = now_ms + max(pace_ms, clock.MS_PER_SECOND)
            slot.next_ms += SLOT_JITTER_MS
            return True
        return False

    def tick(self, now_ms: int) -> bool:
        """Ends the ramps that have reached full load.

        Args:
            now_ms: The current time.

        Returns:
            Whether any ramp ended.
        """
        warm = []
        for name, cold in self._cold_by_name.items():
            if now_ms - cold.since_ms >= cold.upstream.warm_up_ms:
                warm.append(name)
        for name in warm:
            del self._cold_by_name[name]
        return bool(warm)

    def _assign(self, cold: _ColdUpstream, since_ms: int) -> None:
        """Takes over and hands off the slots of one upstream."""
        for number, slot in enumerate(cold.slots):
            if not self._is_holder(cold.upstream.name, number):
                slot.held_since_ms = None
                continue
            if slot.held_since_ms is None:
                slot.held_since_ms = since_ms
