"""Whether a host can reach upstreams, so that it should be in rotation.

A data centre whose upstreams are out of rotation depends on those of others. If
it is cut off from them as well, its hosts serve nobody, while hosts elsewhere
could serve its callers: the fabric routes to the nearest data centres when no
host of one is in rotation. A host therefore leaves the rotation while three
signs hold together, of which a failure of its own path alone gives only two:

- its data centre has no eligible upstream,
- no host of another data centre has been heard for a time,
- of the upstreams that got openings lately several were silent, and none
  answered.

Out of rotation it sees no openings, so it returns when one of the first two
signs ends.

A host that starts there has not seen the last two signs. If it came into
rotation, the fabric would use all hosts of its data centre again, since fewer
than half of them are in rotation. It therefore goes by a near peer that has
seen them, until it hears a host of another data centre itself.
"""

from sapphire_core.tagged_flows import upstream_table as upstream_table_lib
from sapphire_core.tagged_flows.openings import (
    failover_budget as failover_budget_lib,
)

# Each host hears several heartbeats a second from other data centres.
MIN_REMOTE_SILENCE_MS = 1_000
# A host sees a few openings a second in a large fleet.
OUTCOME_WINDOW_MS = 1_000
# Two upstreams may crash at the same time by chance.
MIN_SILENT_UPSTREAMS = 3


class Reachability:
    """Whether this host is cut off from all upstreams.

    Args:
        data_centre: The data centre of this host.
        upstream_table: The upstreams known to this host.
        failover_budget: Knows which upstreams answered openings.
    """

    def __init__(
        self,
        data_centre: str,
        upstream_table: upstream_table_lib.UpstreamTable,
        failover_budget: failover_budget_lib.FailoverBudget,
    ) -> None:
        self._data_centre = data_centre
        self._upstream_table = upstream_table
        self._failover_budget = failover_budget
        self._is_cut_off = False

    @property
    def has_found_cut(self) -> bool:
        """Whether this host has found itself that it is cut off."""
        return self._is_cut_off

    def is_cut_off(
        self,
        remote_silence_ms: int | None,
        now_ms: int,
        *,
        starts_cut_off: bool = False,
    ) -> bool:
        """Whether this host can reach no upstream, though others may.

        Args:
            remote_silence_ms: How long no host of another data centre has been
                heard; None if none is known.
            now_ms: The current time.
            starts_cut_off: Whether a near peer is cut off and this host has
                heard no other data centre since its start.
        """
        if starts_cut_off and not self._has_near_upstream(now_ms):
            return True
        if (
            remote_silence_ms is None
            or remote_silence_ms < MIN_REMOTE_SILENCE_MS
            or self._has_near_upstream(now_ms)
        ):
            self._is_cut_off = False
            return False
        if not self._is_cut_off:
            silent, answering = self._failover_budget.count_outcomes(
                now_ms, OUTCOME_WINDOW_MS
            )
            self._is_cut_off = silent >= MIN_SILENT_UPSTREAMS and answering == 0
        return self._is_cut_off

    def _has_near_upstream(self, now_ms: int) -> bool:
        """Whether the data centre of this host has an eligible upstream."""
        services = {
            entry.upstream.service
            for entry in self._upstream_table.by_id.values()
        }
        for service in services:
            for entry in self._upstream_table.eligible_upstreams(
                service, now_ms
            ):
                if entry.upstream.data_centre == self._data_centre:
                    return True
        return False
