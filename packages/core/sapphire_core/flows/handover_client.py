"""Requests of flow records by hosts that have just become replica hosts.

A new replica host of a bucket requests the flow records of the other hosts in
the rendezvous order, page by page. A lost request or page is requested again.
Both sides stay within a byte rate. Until a replica host has all flow records of
a bucket, it relays the packets of flows that it has no record of. So a handover
saves relays and protects against the loss of a host, but routing does not need
it.
"""

import dataclasses

from sapphire_core.flows import ambiguous_bucket_router
from sapphire_core.flows import bucket_replica_state
from sapphire_core.flows import data
from sapphire_core.flows import flow_table
from sapphire_core.flows import rendezvous
from sapphire_core.flows import route_tables
from sapphire_data import clock

MAX_BUCKETS_PER_REQUEST = 256
REQUEST_PACE_MS = 300
REQUEST_TIMEOUT_MS = 1_500
MAX_ATTEMPTS = 4
# Every open flow has sent a packet within this time, so that a host that has
# been a replica host for so long has all flow records without a handover.
COMPLETE_BY_AGE_MS = 2 * flow_table.IDLE_PERIOD_MS
# All hosts have the same view of the membership after this long without a
# change.
VIEWS_AGREE_MS = 3_000


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    """A request that waits for its page.

    Attributes:
        host_id: The host that was asked.
        request: The request.
        sent_ms: When it was sent last.
        kept: The buckets for which, in all pages so far, the sender knew this
            host as a replica host.
        complete: The buckets for which, in all pages so far, the sender had
            all flow records.
        attempts: How often it was sent.
    """

    host_id: str
    request: data.HandoverRequest
    sent_ms: int
    kept: frozenset[int]
    complete: frozenset[int]
    attempts: int = 1


class HandoverClient:
    """Requests the flow records that this host lacks as a replica host.

    Args:
        host_id: The identity of this host.
        orders: The rendezvous orders.
        tables: The routes.
        router: Holds the flow records.
    """

    def __init__(
        self,
        host_id: str,
        orders: rendezvous.RendezvousOrders,
        tables: route_tables.RouteTables,
        router: ambiguous_bucket_router.AmbiguousBucketRouter,
    ) -> None:
        self._host_id = host_id
        self._orders = orders
        self._tables = tables
        self._router = router
        self._ambiguous_by_service: dict[str, set[int]] = {}
        self._answered_by_bucket: dict[tuple[str, int], set[str]] = {}
        self._skipped_by_bucket: dict[tuple[str, int], set[str]] = {}
        self._routes_by_service: dict[str, route_tables.Routes] = {}
        self._pending: _PendingRequest | None = None
        self._continuation: _PendingRequest | None = None
        self._next_request_ms = 0
        self._is_leaving = False
        self._members_changed_ms: int | None = None
        self._evicted_ms = 0

    def update_routes(self, now_ms: int, is_timely: bool) -> None:
        """Compares the ambiguous buckets with those of the last call.

        Args:
            now_ms: The current time.
            is_timely: Whether this host learned of the change before any host
                can have recorded a flow of a bucket that the change makes
                ambiguous; then this host has all its flow records.
        """
        if self._members_changed_ms is not None:
            # Other hosts may still relay packets to other replica hosts.
            age_ms = now_ms - self._members_changed_ms
            is_timely = is_timely and age_ms >= VIEWS_AGREE_MS
        for routes in self._tables.routes_by_key.values():
            if not routes.inputs.is_active:
                continue
            if self._routes_by_service.get(routes.name) is routes:
                continue
            previous = self._routes_by_service.get(routes.name)
            self._routes_by_service[routes.name] = routes
            if previous is not None:
                self._discard_reset_flows(previous, routes, now_ms)
            self._update_service(routes, now_ms, is_timely)
        names = {routes.name for routes in self._tables.routes_by_key.values()}
        for name in self._routes_by_service.keys() - names:
            del self._routes_by_service[name]
            self._ambiguous_by_service.pop(name, None)
        self._router.retain_services(frozenset(names))

    def update_members(self, is_leaving: bool, now_ms: int) -> None:
        """Updates the buckets of which this host is a replica host.

        To be called after each change of membership.

        Args:
            is_leaving: Whether this host is leaving.
            now_ms: The current time.
        """
        self._members_changed_ms = now_ms
        self._is_leaving = is_leaving
        for service, ambiguous in self._ambiguous_by_service.items():
            state = self._router.replica_state(service, now_ms)
            for bucket in ambiguous:
                if self._is_replica_host(service, bucket):
                    state.kept_since_ms_by_bucket.setdefault(bucket, now_ms)
                    continue
                state.kept_since_ms_by_bucket.pop(bucket, None)
                state.complete_buckets.discard(bucket)
        self._answered_by_bucket.clear()
        self._skipped_by_bucket.clear()
        self._continuation = None

    def tick(self, now_ms: int) -> list[data.Action]:
        """Evicts idle flow records and requests missing ones.

        Args:
            now_ms: The current time.

        Returns:
            The request to send, or nothing.
        """
        if now_ms - self._evicted_ms >= clock.MS_PER_SECOND:
            self._evicted_ms = now_ms
            self._evict_expired(now_ms)
        if self._pending is not None:
            if now_ms - self._pending.sent_ms < REQUEST_TIMEOUT_MS:
                return []
            # The page may be lost, or the byte rate of the other host used up.
            if self._pending.attempts < MAX_ATTEMPTS:
                self._pending.attempts += 1
                self._continuation = self._pending
            else:
                for bucket in self._pending.request.buckets:
                    key = (self._pending.request.service, bucket)
                    skipped = self._skipped_by_bucket.setdefault(key, set())
                    skipped.add(self._pending.host_id)
            self._pending = None
        if now_ms < self._next_request_ms or self._is_leaving:
            return []
        self._next_request_ms = now_ms + REQUEST_PACE_MS
        pending = self._next_request(now_ms)
        if pending is None:
            return []
        self._pending = pending
        return [data.SendHandoverRequest(pending.host_id, pending.request)]

    def apply_page(
        self, host_id: str, page: data.HandoverPage, now_ms: int
    ) -> None:
        """Records the flows of a page and requests the next page, if any.

        A page without buckets was not requested: its flows were opened lately.

        Args:
            host_id: The host that sent it.
            page: The page.
            now_ms: The current time.
        """
        if not page.buckets:
            self._note_openings(page, now_ms)
            return
        pending = self._pending
        if pending is None or pending.host_id != host_id:
            return
        request = pending.request
        if (page.service, page.buckets) != (request.service, request.buckets):
            return
        state = self._router.replica_state(page.service, now_ms)
        for flow_hash, index in zip(
            page.flow_hashes, page.upstream_indices, strict=False
        ):
            if state.flows.get(flow_hash) is not None:
                continue
            if index < len(page.upstreams):
                state.flows.record(flow_hash, page.upstreams[index])
        self._pending = None
        # A flow that the sender records between two pages may be missing from
        # both, hence each page has to confirm the completeness.
        pending.kept &= frozenset(page.kept_buckets)
        pending.complete &= frozenset(page.complete_buckets)
        if not page.is_last and page.flow_hashes:
            pending.request = dataclasses.replace(
                request, after_flow_hash=page.flow_hashes[-1]
            )
            pending.attempts = 1
            self._continuation = pending
            return
        self._finish(pending, state)

    def _note_openings(self, page: data.HandoverPage, now_ms: int) -> None:
        """Notes flows whose opening packets another host forwarded lately."""
        routes = self._tables.by_name(page.service)
        if routes is None:
            return
        flows = self._router.replica_state(page.service, now_ms).flows
        for flow_hash, index in zip(
            page.flow_hashes, page.upstream_indices, strict=False
        ):
            if index >= len(page.upstreams):
                continue
            upstream = page.upstreams[index]
            if upstream not in routes.answering:
                continue
            flows.note_opened(flow_hash, upstream)

    def _finish(
        self,
        pending: _PendingRequest,
        state: bucket_replica_state.BucketReplicaState,
    ) -> None:
        """Marks the buckets of which this host has all flow records now."""
        service = pending.request.service
        replicated_here = state.kept_since_ms_by_bucket
        for bucket in pending.request.buckets:
            key = (service, bucket)
            if bucket not in pending.kept:
                skipped = self._skipped_by_bucket.setdefault(key, set())
                skipped.add(pending.host_id)
                continue
            answered = self._answered_by_bucket.setdefault(key, set())
            answered.add(pending.host_id)
            if bucket not in replicated_here:
                continue
            is_full = bucket in pending.complete
            if is_full or self._have_all_answered(service, bucket):
                state.complete_buckets.add(bucket)

    def _have_all_answered(self, service: str, bucket: int) -> bool:
        """Returns whether all hosts of the order have answered."""
        answered = self._answered_by_bucket.get((service, bucket), set())
        for host_id in self._orders.order(service, bucket):
            if host_id != self._host_id and host_id not in answered:
                return False
        return True

    def _discard_reset_flows(
        self,
        previous: route_tables.Routes,
        routes: route_tables.Routes,
        now_ms: int,
    ) -> None:
        """Discards the flows of upstreams that were reset and now get packets.

        Their callers may have opened them again at another upstream, which a
        host that has ceased to be a replica host does not know.
        """
        restored = set()
        for name, decision in routes.decision_by_upstream.items():
            before = previous.decision_by_upstream.get(name)
            if isinstance(before, data.Reset) and isinstance(
                decision, data.Forward
            ):
                restored.add(name)
        if not restored:
            return
        flows = self._router.replica_state(routes.name, now_ms).flows
        flows.forget_opened(restored)
        for flow_hash, upstream in list(flows.items()):
            if upstream in restored:
                flows.discard(flow_hash)

    def _update_service(
        self, routes: route_tables.Routes, now_ms: int, is_timely: bool
    ) -> None:
        """Compares the ambiguous buckets of a service with the former ones."""
        ambiguous = set()
        for bucket, decision in enumerate(routes.decisions):
            if decision is None:
                ambiguous.add(bucket)
        before = self._ambiguous_by_service.get(routes.name, set())
        self._ambiguous_by_service[routes.name] = ambiguous
        state = self._router.replica_state(routes.name, now_ms)
        for bucket in before - ambiguous:
            state.complete_buckets.discard(bucket)
            state.kept_since_ms_by_bucket.pop(bucket, None)
        for bucket in ambiguous - before:
            if not self._is_replica_host(routes.name, bucket):
                continue
            state.kept_since_ms_by_bucket[bucket] = now_ms
            if is_timely:
                state.complete_buckets.add(bucket)

    def _is_replica_host(self, service: str, bucket: int) -> bool:
        """Returns whether this host is a replica host of a bucket."""
        return self._host_id in self._orders.replica_hosts(service, bucket)

    def _next_request(self, now_ms: int) -> _PendingRequest | None:
        """Returns the next request to send, None if there is none to send."""
        if self._continuation is not None:
            pending = self._continuation
            self._continuation = None
            pending.sent_ms = now_ms
            return pending
        for service in self._ambiguous_by_service:
            state = self._router.replica_state(service, now_ms)
            buckets_by_host: dict[str, list[int]] = {}
            for bucket in sorted(state.kept_since_ms_by_bucket):
                if bucket in state.complete_buckets:
                    continue
                source = self._next_source(service, bucket)
                if source is not None:
                    buckets_by_host.setdefault(source, []).append(bucket)
            for host_id, buckets in buckets_by_host.items():
                requested = tuple(buckets[:MAX_BUCKETS_PER_REQUEST])
                request = data.HandoverRequest(service, requested, -1)
                unique = frozenset(requested)
                return _PendingRequest(host_id, request, now_ms, unique, unique)
        return None

    def _next_source(self, service: str, bucket: int) -> str | None:
        """Returns the next host to ask for a bucket, None if there is none."""
        key = (service, bucket)
        answered = self._answered_by_bucket.get(key, set())
        skipped = self._skipped_by_bucket.get(key, set())
        order = self._orders.order(service, bucket)
        # Leaving hosts come first, before they have left.
        for host_id in sorted(
            order, key=lambda item: not self._orders.is_leaving(item)
        ):
            if host_id == self._host_id or host_id in answered:
                continue
            if host_id not in skipped:
                return host_id
        # The skipped hosts are asked again in the next round.
        self._skipped_by_bucket.pop(key, None)
        return None

    def _evict_expired(self, now_ms: int) -> None:
        """Evicts idle flows and marks the buckets complete by their age."""
        for service in self._ambiguous_by_service:
            state = self._router.replica_state(service, now_ms)
            state.flows.evict_expired(now_ms)
            for bucket, since in state.kept_since_ms_by_bucket.items():
                if now_ms - since >= COMPLETE_BY_AGE_MS:
                    state.complete_buckets.add(bucket)
