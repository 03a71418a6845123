"""Slow start: the rate limit of new flows to upstreams that have just started.

The rate that a cold upstream can handle is divided into slots of one new flow a
second each. A slot is held by the primary replica host of one bucket of the
upstream, so that exactly one host admits flows by it. A host that takes over a
slot waits until the former holder has either learned of that or stopped
admitting flows because it is not fresh. The sum over all hosts therefore stays
within the rate.
"""

from collections.abc import Callable
import dataclasses
import math

from sapphire_core.flows import data
from sapphire_data import clock
from sapphire_data import records

TAKEOVER_WAIT_MS = 3_000
# The rate at the end of slow start as a multiple of the rate at its start. An
# upstream that can handle more than this multiple once it is warm never gets
# more than it can handle on the way there.
END_OVER_START = 2.0
# Two flows admitted by one slot may be delayed unequally on their way to the
# upstream; this is added to the time between them.
SLOT_JITTER_MS = 50


@dataclasses.dataclass(slots=True)
class _Slot:
    """The right to admit one new flow a second.

    Attributes:
        held_since_ms: When this host took the slot over; None if another host
            holds it.
        next_ms: The earliest time of the next admission.
    """

    held_since_ms: int | None = None
    next_ms: int = 0


@dataclasses.dataclass(slots=True)
class _ColdUpstream:
    """An upstream in slow start.

    Attributes:
        upstream: The upstream.
        since_ms: When it turned cold, as far as this host knows.
        slots: All slots, as used at the end of slow start; at first only some
            of them are in use.
    """

    upstream: records.Upstream
    since_ms: int
    slots: list[_Slot]


def rate_per_second(upstream: records.Upstream, age_ms: int) -> float:
    """Returns the rate of new flows that a cold upstream may get.

    Args:
        upstream: The upstream.
        age_ms: The time since it turned cold.

    Returns:
        The flows a second, summed over all hosts.
    """
    progress = min(1.0, max(0, age_ms) / max(1, upstream.warm_up_ms))
    growth = 1.0 + (END_OVER_START - 1.0) * progress
    return upstream.cold_flows_per_second * growth


class SlowStartLimiter:
    """Limits the new flows that one host sends to cold upstreams.

    Args:
        is_holder: Returns from the name of an upstream and the number of a
            slot whether this host holds the slot.
    """

    def __init__(self, is_holder: Callable[[str, int], bool]) -> None:
        self._is_holder = is_holder
        self._cold_by_name: dict[str, _ColdUpstream] = {}
        self._assigned_ms = 0

    def cold_upstreams(self) -> frozenset[str]:
        """Returns the names of the upstreams in slow start."""
        return frozenset(self._cold_by_name)

    def slow_starts(self, now_ms: int) -> tuple[data.SlowStart, ...]:
        """Returns the slow starts, for a host that has just started."""
        slow_starts = []
        for name, cold in self._cold_by_name.items():
            slow_starts.append(data.SlowStart(name, now_ms - cold.since_ms))
        return tuple(slow_starts)

    def start(self, upstream: records.Upstream, now_ms: int) -> None:
        """Starts the slow start of an upstream, or restarts it.

        Args:
            upstream: The upstream.
            now_ms: When it turned cold.
        """
        end_rate = rate_per_second(upstream, upstream.warm_up_ms)
        slots = [_Slot() for _ in range(max(1, math.floor(end_rate)))]
        cold = _ColdUpstream(upstream, now_ms, slots)
        self._cold_by_name[upstream.name] = cold
        self._assign(cold, self._assigned_ms)

    def end(self, name: str) -> None:
        """Ends the slow start of an upstream."""
        self._cold_by_name.pop(name, None)

    def reassign_slots(self, now_ms: int) -> None:
        """Assigns the slots again after a change of membership or buckets.

        Args:
            now_ms: The current time.
        """
        self._assigned_ms = now_ms
        for cold in self._cold_by_name.values():
            self._assign(cold, now_ms)

    def restart_takeovers(self, now_ms: int) -> None:
        """Takes over all held slots again, after this host was not fresh.

        Other hosts may have taken over the slots meanwhile, and hold them until
        they learn that this host is back.

        Args:
            now_ms: The current time.
        """
        for cold in self._cold_by_name.values():
            for slot in cold.slots:
                if slot.held_since_ms is not None:
                    slot.held_since_ms = now_ms

    def try_admit(self, name: str, is_fresh: bool, now_ms: int) -> bool:
        """Admits one more new flow to an upstream, if the rate allows it.

        An admission counts at once against the slot that it used.

        Args:
            name: The name of the upstream.
            is_fresh: Whether peers confirmed this host recently.
            now_ms: The current time.

        Returns:
            Whether the flow is admitted; always for an upstream that is not
            cold.
        """
        cold = self._cold_by_name.get(name)
        if cold is None:
            return True
        if not is_fresh or cold.upstream.cold_flows_per_second <= 0:
            return False
        rate = rate_per_second(cold.upstream, now_ms - cold.since_ms)
        in_use = min(len(cold.slots), max(1, math.floor(rate)))
        interval_ms = math.ceil(clock.MS_PER_SECOND * in_use / rate)
        for slot in cold.slots[:in_use]:
            if slot.held_since_ms is None or now_ms < slot.next_ms:
                continue
            if now_ms - slot.held_since_ms < TAKEOVER_WAIT_MS:
                continue
            slot.next_ms = now_ms + max(interval_ms, clock.MS_PER_SECOND)
            slot.next_ms += SLOT_JITTER_MS
            return True
        return False

    def tick(self, now_ms: int) -> bool:
        """Ends the slow starts whose warm-up time is over.

        Args:
            now_ms: The current time.

        Returns:
            Whether any slow start ended.
        """
        warm = []
        for name, cold in self._cold_by_name.items():
            if now_ms - cold.since_ms >= cold.upstream.warm_up_ms:
                warm.append(name)
        for name in warm:
            del self._cold_by_name[name]
        return bool(warm)

    def _assign(self, cold: _ColdUpstream, since_ms: int) -> None:
        """Takes over and releases slots of one upstream, as they are held now.

        Args:
            cold: The upstream.
            since_ms: When this host took over the slots that are new to it.
        """
        for number, slot in enumerate(cold.slots):
            if not self._is_holder(cold.upstream.name, number):
                slot.held_since_ms = None
                continue
            if slot.held_since_ms is None:
                slot.held_since_ms = since_ms
