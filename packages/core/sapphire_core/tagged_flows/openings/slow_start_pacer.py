"""Slow start: paces the new flows from this host to each cold upstream.

The cold rate of an upstream bounds the sum over all hosts, which do not
coordinate. Each host therefore uses an equal part of the rate, as a minimum
interval between two flows: a host whose part is below one flow a second waits
several seconds between two.
"""

import dataclasses
import math

import xxhash

from sapphire_core.tagged_flows import data
from sapphire_data import clock

# The share of its part that a host uses. Packets may queue in links, so flows
# that were sent in two seconds may arrive in one.
USED_SHARE = 0.6
_DIGEST_COUNT = 2**32


@dataclasses.dataclass(slots=True)
class _Schedule:
    """When one cold upstream may get its next flow from this host.

    Attributes:
        next_flow_ms: The earliest time of the next flow.
    """

    next_flow_ms: int


class SlowStartPacer:
    """Limits the rate of new flows from this host to each cold upstream.

    Args:
        seed: A random number, which differs between hosts and so spreads their
            first flows over time.
    """

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._schedules_by_id: dict[str, _Schedule] = {}

    def allows_flow(
        self,
        upstream_id: str,
        service: data.Service,
        host_count: int,
        now_ms: int,
    ) -> bool:
        """Whether a cold upstream may get a flow from this host now.

        Args:
            upstream_id: The identity of the upstream.
            service: The service of the upstream.
            host_count: How many hosts there may be, this one included.
            now_ms: The current time.
        """
        interval_ms = self._interval_ms(service, host_count)
        if math.isinf(interval_ms):
            return False
        schedule = self._schedules_by_id.get(upstream_id)
        if schedule is None:
            # Hosts learn of the upstream at the same moment; their first
            # flows are spread over one interval.
            digest = xxhash.xxh32_intdigest(
                upstream_id.encode(), seed=self._seed
            )
            spread = digest / _DIGEST_COUNT
            schedule = _Schedule(now_ms + int(interval_ms * spread))
            self._schedules_by_id[upstream_id] = schedule
        return now_ms >= schedule.next_flow_ms

    def record_flow(
        self,
        upstream_id: str,
        service: data.Service,
        host_count: int,
        now_ms: int,
    ) -> None:
        """Records that a cold upstream gets a flow from this host.

        Args:
            upstream_id: The identity of the upstream.
            service: The service of the upstream.
            host_count: How many hosts there may be, this one included.
            now_ms: The current time.
        """
        interval_ms = self._interval_ms(service, host_count)
        self._schedules_by_id[upstream_id] = _Schedule(
            now_ms + math.ceil(interval_ms)
        )

    def discard(self, upstream_id: str) -> None:
        """Discards the schedule of an upstream that has gone."""
        self._schedules_by_id.pop(upstream_id, None)

    def _interval_ms(self, service: data.Service, host_count: int) -> float:
        """Returns the minimum interval between two flows from this host."""
        rate = service.cold_flows_per_s * USED_SHARE / host_count
        if rate <= 0:
            return math.inf
        return clock.MS_PER_SECOND / rate
