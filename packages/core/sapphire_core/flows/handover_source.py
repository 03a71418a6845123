"""Answers to the requests of new replica hosts for flow records."""

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
# A leaving host may stop once it got no request for `LEAVE_QUIET_MS`, after
# `LEAVE_MIN_MS` at the earliest and after `LEAVE_MAX_MS` in any case.
LEAVE_MIN_MS = 6_000
LEAVE_QUIET_MS = 5_000
LEAVE_MAX_MS = 60_000


class HandoverSource:
    """Answers the requests of new replica hosts within a byte rate.

    Args:
        orders: The rendezvous orders.
        tables: The routes.
        router: Holds the flow records.
    """

    def __init__(
        self,
        orders: rendezvous.RendezvousOrders,
        tables: route_tables.RouteTables,
        router: ambiguous_bucket_router.AmbiguousBucketRouter,
    ) -> None:
        self._orders = orders
        self._tables = tables
        self._router = router
        self._tokens_bytes = float(BURST_BYTES)
        self._refilled_ms = 0
        self._leaving_since_ms: int | None = None
        self._last_request_ms = 0

    def start_leaving(self, now_ms: int) -> None:
        """Starts the time in which this leaving host hands over its records.

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
            host_id: The host that sent the request.
            request: The request.
            now_ms: The current time.

        Returns:
            A page; None if the byte rate does not allow it now.
        """
        self._last_request_ms = now_ms
        page = self._page(host_id, request, now_ms)
        if not self.take_bytes(page_bytes(page), now_ms):
            return None
        return page

    def take_bytes(self, size: int, now_ms: int) -> bool:
        """Takes bytes from the rate of all pages of this host.

        Args:
            size: The bytes of a page.
            now_ms: The current time.

        Returns:
            Whether the page may be sent now.
        """
        elapsed_ms = now_ms - self._refilled_ms
        self._refilled_ms = now_ms
        refill = elapsed_ms * BYTES_PER_SECOND / clock.MS_PER_SECOND
        self._tokens_bytes = min(BURST_BYTES, self._tokens_bytes + refill)
        if size > self._tokens_bytes:
            return False
        self._tokens_bytes -= size
        return True

    def is_handover_complete(self, now_ms: int) -> bool:
        """Returns whether this host is leaving and its handover is complete.

        It is taken as complete once no other host sends requests any more, or
        after `LEAVE_MAX_MS`.

        Args:
            now_ms: The current time.
        """
        if self._leaving_since_ms is None:
            return False
        leaving_ms = now_ms - self._leaving_since_ms
        if leaving_ms >= LEAVE_MAX_MS:
            return True
        if leaving_ms < LEAVE_MIN_MS:
            return False
        return now_ms - self._last_request_ms >= LEAVE_QUIET_MS

    def _page(
        self, host_id: str, request: data.HandoverRequest, now_ms: int
    ) -> data.HandoverPage:
        """Returns the page that answers a request."""
        state = self._router.replica_state(request.service, now_ms)
        routes = self._tables.by_name(request.service)
        bucket_count = routes.bucket_count if routes is not None else 1
        wanted = set(request.buckets)
        found = []
        for flow_hash, upstream in state.flows.items():
            if flow_hash <= request.after_flow_hash:
                continue
            if flow_hash % bucket_count in wanted:
                found.append((flow_hash, upstream))
        found.sort()
        sent = found[:PAGE_FLOWS]
        names = sorted({upstream for _, upstream in sent})
        index_by_name = {name: index for index, name in enumerate(names)}
        kept = self._buckets_replicated_by(host_id, request)
        complete = state.complete_buckets
        return data.HandoverPage(
            service=request.service,
            buckets=request.buckets,
            kept_buckets=tuple(sorted(kept)),
            complete_buckets=tuple(sorted(kept & complete)),
            upstreams=tuple(names),
            flow_hashes=tuple(flow_hash for flow_hash, _ in sent),
            upstream_indices=tuple(index_by_name[name] for _, name in sent),
            is_last=len(found) <= PAGE_FLOWS,
        )

    def _buckets_replicated_by(
        self, host_id: str, request: data.HandoverRequest
    ) -> set[int]:
        """Returns the buckets of which the other host is a replica host.

        It has to be one in the view of this host, so that flow records that
        this host creates from now on reach it too.
        """
        replicated = set()
        for bucket in request.buckets:
            if host_id in self._orders.replica_hosts(request.service, bucket):
                replicated.add(bucket)
        return replicated


def page_bytes(page: data.HandoverPage) -> int:
    """Returns the approximate size of a page on the wire.

    Args:
        page: The page.

    Returns:
        The size in bytes.
    """
    flows = FLOW_BYTES * len(page.flow_hashes)
    buckets = BUCKET_BYTES * 3 * len(page.buckets)
    return PAGE_OVERHEAD_BYTES + flows + buckets
