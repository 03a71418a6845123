"""How many new flows this host may give to an upstream that is cold.

The bound holds for the sum over all hosts, which do not ask each other. Each
host therefore takes an equal part of what the upstream bears in a second,
and gives whole flows only: a host whose part is below one flow a second
waits several seconds between two.
"""

import dataclasses
import math

import xxhash

from sapphire_core.tagged_flows import data
from sapphire_data import clock

# Flows that arrive in one second may have been sent in two (packets that wait
# in links), so a host stays this far below its part.
HEADROOM = 0.6
_DIGESTS = 2**32


@dataclasses.dataclass(slots=True)
class _Account:
    """What one cold upstream got from this host.

    Attributes:
        next_ms: The earliest time of the next flow.
    """

    next_ms: int


class SlowStartPacer:
    """The pace of new flows from this host to each cold upstream.

    Args:
        seed: Spreads the first flows of several hosts over time.
    """

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._accounts_by_id: dict[str, _Account] = {}

    def has_room(
        self,
        upstream_id: str,
        service: data.Service,
        host_count: int,
        now_ms: int,
    ) -> bool:
        """Whether a cold upstream may get a flow from this host now.

        Args:
            upstream_id: The upstream.
            service: Its service.
            host_count: How many hosts there may be, this one included.
            now_ms: The current time.
        """
        gap_ms = self._gap_ms(service, host_count)
        if math.isinf(gap_ms):
            return False
        account = self._accounts_by_id.get(upstream_id)
        if account is None:
            # Hosts learn of the upstream at the same moment; their first
            # flows are spread over one gap.
            digest = xxhash.xxh32_intdigest(
                upstream_id.encode(), seed=self._seed
            )
            spread = digest / _DIGESTS
            account = _Account(now_ms + int(gap_ms * spread))
            self._accounts_by_id[upstream_id] = account
        return now_ms >= account.next_ms

    def take(
        self,
        upstream_id: str,
        service: data.Service,
        host_count: int,
        now_ms: int,
    ) -> None:
        """Notes that a cold upstream gets a flow.

        Args:
            upstream_id: The upstream.
            service: Its service.
            host_count: How many hosts there may be, this one included.
            now_ms: The current time.
        """
        gap_ms = self._gap_ms(service, host_count)
        self._accounts_by_id[upstream_id] = _Account(now_ms + math.ceil(gap_ms))

    def forget(self, upstream_id: str) -> None:
        """Drops the account of an upstream that is warm or gone."""
        self._accounts_by_id.pop(upstream_id, None)

    def _gap_ms(self, service: data.Service, host_count: int) -> float:
        """Returns the least time between two flows from this host."""
        rate = service.cold_flows_per_s * HEADROOM / host_count
        if rate <= 0:
            return math.inf
        return clock.MS_PER_SECOND / rate
