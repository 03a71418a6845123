"""Recorded placements for new keepers, within a byte rate."""

from sapphire_core.flows import ambiguous_bucket_router
from sapphire_core.flows import data
from sapphire_core.flows import rendezvous
from sapphire_core.flows import route_tables
from sapphire_data import clock

PAGE_FLOWS = 100
BYTES_PER_SECOND = 2_000
BURST_BYTES = 2_400
PAGE_OVERHEAD_BYTES = 120
FLOW_BYTES = 10
BUCKET_BYTES = 2
RELEASE_MIN_MS = 6_000
RELEASE_QUIET_MS = 5_000
RELEASE_MAX_MS = 60_000


class HandoverSource:
    """Answers the requests of new keepers.

    Args:
        orders: The rendezvous orders.
        tables: The routes.
        role: Holds the records.
    """

    def __init__(
        self,
        orders: rendezvous.RendezvousOrders,
        tables: route_tables.RouteTables,
        role: ambiguous_bucket_router.AmbiguousBucketRouter,
    ) -> None:
        self._orders = orders
        self._tables = tables
        self._role = role
        self._budget_bytes = float(BURST_BYTES)
        self._budget_ms = 0
        self._leaving_since_ms: int | None = None
        self._last_asked_ms = 0

    def note_leaving(self, now_ms: int) -> None:
        """Notes that this host leaves.

        Args:
            now_ms: The current time.
        """
        if self._leaving_since_ms is None:
            self._leaving_since_ms = now_ms

    def answer(
        self, host_id: str, request: data.HandoverRequest, now_ms: int
    ) -> data.HandoverPage | None:
        """Answers a request.

        Args:
            host_id: The host that asks.
            request: The request.
            now_ms: The current time.

        Returns:
            A page; None if the rate limit is used up for now.
        """
        self._last_asked_ms = now_ms
        elapsed_ms = now_ms - self._budget_ms
        self._budget_ms = now_ms
        earned = elapsed_ms * BYTES_PER_SECOND / clock.MS_PER_SECOND
        self._budget_bytes = min(BURST_BYTES, self._budget_bytes + earned)
        page = self._page(host_id, request, now_ms)
        cost = page_bytes(page)
        if cost > self._budget_bytes:
            return None
        self._budget_bytes -= cost
        return page

    def is_handover_complete(self, now_ms: int) -> bool:
        """Returns whether a leaving host is no longer asked for records.

        Args:
            now_ms: The current time.
        """
        if self._leaving_since_ms is None:
            return False
        left_ms = now_ms - self._leaving_since_ms
        if left_ms >= RELEASE_MAX_MS:
            return True
        if left_ms < RELEASE_MIN_MS:
            return False
        return now_ms - self._last_asked_ms >= RELEASE_QUIET_MS

    def _page(
        self, host_id: str, request: data.HandoverRequest, now_ms: int
    ) -> data.HandoverPage:
        """Collects the next recorded flows of a request."""
        placements = self._role.placements(request.service, now_ms)
        routes = self._tables.by_name(request.service)
        bucket_count = routes.bucket_count if routes is not None else 1
        wanted = set(request.buckets)
        found = []
        for flow_hash, upstream in placements.exceptions.items():
            if flow_hash <= request.after_flow_hash:
                continue
            if flow_hash % bucket_count in wanted:
                found.append((flow_hash, upstream))
        found.sort()
        chosen = found[:PAGE_FLOWS]
        names = sorted({upstream for _, upstream in chosen})
        index_by_name = {name: index for index, name in enumerate(names)}
        kept = self._buckets_kept_by(host_id, request)
        complete = placements.complete_buckets
        return data.HandoverPage(
            service=request.service,
            buckets=request.buckets,
            kept_buckets=tuple(sorted(kept)),
            complete_buckets=tuple(sorted(kept & complete)),
            upstreams=tuple(names),
            flow_hashes=tuple(flow_hash for flow_hash, _ in chosen),
            upstream_indices=tuple(index_by_name[name] for _, name in chosen),
            is_last=len(found) <= PAGE_FLOWS,
        )

    def _buckets_kept_by(
        self, host_id: str, request: data.HandoverRequest
    ) -> set[int]:
        """Returns the buckets that the asking host is known to keep here.

        Placements that this host makes from now on must reach the asking
        host, hence this host has to know it as a keeper.
        """
        kept = set()
        for bucket in request.buckets:
            if host_id in self._orders.replica_hosts(request.service, bucket):
                kept.add(bucket)
        return kept


def page_bytes(page: data.HandoverPage) -> int:
    """Returns the bytes that a page takes on the wire, about.

    Args:
        page: The page.
    """
    flows = FLOW_BYTES * len(page.flow_hashes)
    buckets = BUCKET_BYTES * 3 * len(page.buckets)
    return PAGE_OVERHEAD_BYTES + flows + buckets
