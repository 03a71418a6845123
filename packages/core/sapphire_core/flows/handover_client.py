"""Full records for hosts that have just become keepers.

A new keeper asks the hosts that follow it in the rendezvous order for their
recorded placements, page by page. Losing a request or a page costs a repeat
only. Both sides stay within a byte rate. Until a keeper has a full record of
a bucket it passes on packets of flows that it does not know, so that the
handover saves relays and guards against deaths but is not needed for routing.
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
# Every open flow has been seen within this time, so that a keeper of that age
# has a full record without any handover.
COMPLETE_BY_AGE_MS = 2 * flow_table.IDLE_PERIOD_MS
# Views of the membership agree after this long without a change.
VIEWS_AGREE_MS = 3_000


@dataclasses.dataclass(slots=True)
class _Inquiry:
    """A request that awaits its page.

    Attributes:
        host_id: The host that is asked.
        request: The request.
        sent_ms: When it was sent last.
        kept: The buckets of which all pages so far count.
        complete: Those of them of which the sender had a full record.
        attempts: How often it was sent.
    """

    host_id: str
    request: data.HandoverRequest
    sent_ms: int
    kept: frozenset[int]
    complete: frozenset[int]
    attempts: int = 1


class HandoverClient:
    """Tracks which buckets this host has a full record of, and asks.

    Args:
        host_id: The identity of this host.
        orders: The rendezvous orders.
        tables: The routes.
        role: Holds the records.
    """

    def __init__(
        self,
        host_id: str,
        orders: rendezvous.RendezvousOrders,
        tables: route_tables.RouteTables,
        role: ambiguous_bucket_router.AmbiguousBucketRouter,
    ) -> None:
        self._host_id = host_id
        self._orders = orders
        self._tables = tables
        self._role = role
        self._ambiguous_by_service: dict[str, set[int]] = {}
        self._asked_by_bucket: dict[tuple[str, int], set[str]] = {}
        self._skipped_by_bucket: dict[tuple[str, int], set[str]] = {}
        self._routes_seen: dict[str, route_tables.Routes] = {}
        self._inquiry: _Inquiry | None = None
        self._continuation: _Inquiry | None = None
        self._next_request_ms = 0
        self._is_leaving = False
        self._members_changed_ms: int | None = None
        self._expired_ms = 0

    def note_routes(self, now_ms: int, is_trusted: bool) -> None:
        """Notes which buckets are ambiguous now.

        Args:
            now_ms: The current time.
            is_trusted: Whether no host can have placed a flow of a newly
                ambiguous bucket before this host knew of the change.
        """
        if self._members_changed_ms is not None:
            # Other hosts may still hand flows to other keepers.
            age_ms = now_ms - self._members_changed_ms
            is_trusted = is_trusted and age_ms >= VIEWS_AGREE_MS
        for routes in self._tables.routes_by_key.values():
            if not routes.inputs.is_active:
                continue
            if self._routes_seen.get(routes.name) is routes:
                continue
            previous = self._routes_seen.get(routes.name)
            self._routes_seen[routes.name] = routes
            if previous is not None:
                self._forget_given_up(previous, routes, now_ms)
            self._note_service(routes, now_ms, is_trusted)
        names = {routes.name for routes in self._tables.routes_by_key.values()}
        for name in self._routes_seen.keys() - names:
            del self._routes_seen[name]
            self._ambiguous_by_service.pop(name, None)
        self._role.forget_services(frozenset(names))

    def note_members(self, is_leaving: bool, now_ms: int) -> None:
        """Notes a change of membership.

        Args:
            is_leaving: Whether this host is leaving.
            now_ms: The current time.
        """
        self._members_changed_ms = now_ms
        self._is_leaving = is_leaving
        for service, ambiguous in self._ambiguous_by_service.items():
            placements = self._role.placements(service, now_ms)
            for bucket in ambiguous:
                if self._is_replica_host(service, bucket):
                    placements.kept_since_ms_by_bucket.setdefault(
                        bucket, now_ms
                    )
                    continue
                placements.kept_since_ms_by_bucket.pop(bucket, None)
                placements.complete_buckets.discard(bucket)
        self._asked_by_bucket.clear()
        self._skipped_by_bucket.clear()
        self._continuation = None

    def tick(self, now_ms: int) -> list[data.Action]:
        """Expires idle records and asks for missing ones.

        Args:
            now_ms: The current time.

        Returns:
            At most one request.
        """
        if now_ms - self._expired_ms >= clock.MS_PER_SECOND:
            self._expired_ms = now_ms
            self._expire(now_ms)
        if self._inquiry is not None:
            if now_ms - self._inquiry.sent_ms < REQUEST_TIMEOUT_MS:
                return []
            # The answer may be lost, or the other host's rate used up.
            if self._inquiry.attempts < MAX_ATTEMPTS:
                self._inquiry.attempts += 1
                self._continuation = self._inquiry
            else:
                for bucket in self._inquiry.request.buckets:
                    key = (self._inquiry.request.service, bucket)
                    skipped = self._skipped_by_bucket.setdefault(key, set())
                    skipped.add(self._inquiry.host_id)
            self._inquiry = None
        if now_ms < self._next_request_ms or self._is_leaving:
            return []
        self._next_request_ms = now_ms + REQUEST_PACE_MS
        inquiry = self._next_inquiry(now_ms)
        if inquiry is None:
            return []
        self._inquiry = inquiry
        return [data.SendHandoverRequest(inquiry.host_id, inquiry.request)]

    def apply_page(
        self, host_id: str, page: data.HandoverPage, now_ms: int
    ) -> None:
        """Takes a page and asks for the next one or notes the end.

        Args:
            host_id: The host that sent it.
            page: The page.
            now_ms: The current time.
        """
        inquiry = self._inquiry
        if inquiry is None or inquiry.host_id != host_id:
            return
        request = inquiry.request
        if (page.service, page.buckets) != (request.service, request.buckets):
            return
        placements = self._role.placements(page.service, now_ms)
        for flow_hash, index in zip(
            page.flow_hashes, page.upstream_indices, strict=False
        ):
            if placements.exceptions.get(flow_hash) is not None:
                continue
            if index < len(page.upstreams):
                placements.exceptions.record(flow_hash, page.upstreams[index])
        self._inquiry = None
        # What the sender learns between two pages may be missing from both,
        # hence each page has to confirm the completeness.
        inquiry.kept &= frozenset(page.kept_buckets)
        inquiry.complete &= frozenset(page.complete_buckets)
        if not page.is_last and page.flow_hashes:
            inquiry.request = dataclasses.replace(
                request, after_flow_hash=page.flow_hashes[-1]
            )
            inquiry.attempts = 1
            self._continuation = inquiry
            return
        self._finish(inquiry, placements)

    def _finish(
        self,
        inquiry: _Inquiry,
        placements: bucket_replica_state.BucketReplicaState,
    ) -> None:
        """Notes the buckets that this host has a full record of now."""
        service = inquiry.request.service
        kept = placements.kept_since_ms_by_bucket
        for bucket in inquiry.request.buckets:
            key = (service, bucket)
            if bucket not in inquiry.kept:
                skipped = self._skipped_by_bucket.setdefault(key, set())
                skipped.add(inquiry.host_id)
                continue
            asked = self._asked_by_bucket.setdefault(key, set())
            asked.add(inquiry.host_id)
            if bucket not in kept:
                continue
            is_full = bucket in inquiry.complete
            if is_full or self._have_all_answered(service, bucket):
                placements.complete_buckets.add(bucket)

    def _have_all_answered(self, service: str, bucket: int) -> bool:
        """Returns whether no host of the order is left to ask."""
        asked = self._asked_by_bucket.get((service, bucket), set())
        for host_id in self._orders.order(service, bucket):
            if host_id != self._host_id and host_id not in asked:
                return False
        return True

    def _forget_given_up(
        self,
        previous: route_tables.Routes,
        routes: route_tables.Routes,
        now_ms: int,
    ) -> None:
        """Forgets the flows of upstreams that are back from being out.

        Their callers may have opened them anew elsewhere, which a host that
        has ceased to be a keeper does not know.
        """
        revived = set()
        for name, decision in routes.decision_by_upstream.items():
            before = previous.decision_by_upstream.get(name)
            if isinstance(before, data.Reset) and isinstance(
                decision, data.Forward
            ):
                revived.add(name)
        if not revived:
            return
        exceptions = self._role.placements(routes.name, now_ms).exceptions
        for flow_hash, upstream in list(exceptions.items()):
            if upstream in revived:
                exceptions.forget(flow_hash)

    def _note_service(
        self, routes: route_tables.Routes, now_ms: int, is_trusted: bool
    ) -> None:
        """Compares the ambiguous buckets of a service with the last ones."""
        ambiguous = set()
        for bucket, decision in enumerate(routes.decisions):
            if decision is None:
                ambiguous.add(bucket)
        before = self._ambiguous_by_service.get(routes.name, set())
        self._ambiguous_by_service[routes.name] = ambiguous
        placements = self._role.placements(routes.name, now_ms)
        for bucket in before - ambiguous:
            placements.complete_buckets.discard(bucket)
            placements.kept_since_ms_by_bucket.pop(bucket, None)
        for bucket in ambiguous - before:
            if not self._is_replica_host(routes.name, bucket):
                continue
            placements.kept_since_ms_by_bucket[bucket] = now_ms
            if is_trusted:
                placements.complete_buckets.add(bucket)

    def _is_replica_host(self, service: str, bucket: int) -> bool:
        """Returns whether this host is a keeper of a bucket."""
        return self._host_id in self._orders.replica_hosts(service, bucket)

    def _next_inquiry(self, now_ms: int) -> _Inquiry | None:
        """Returns the next request to send, None if nothing is missing."""
        if self._continuation is not None:
            inquiry = self._continuation
            self._continuation = None
            inquiry.sent_ms = now_ms
            return inquiry
        for service in self._ambiguous_by_service:
            placements = self._role.placements(service, now_ms)
            buckets_by_host: dict[str, list[int]] = {}
            for bucket in sorted(placements.kept_since_ms_by_bucket):
                if bucket in placements.complete_buckets:
                    continue
                source = self._source(service, bucket)
                if source is not None:
                    buckets_by_host.setdefault(source, []).append(bucket)
            for host_id, buckets in buckets_by_host.items():
                chosen = tuple(buckets[:MAX_BUCKETS_PER_REQUEST])
                request = data.HandoverRequest(service, chosen, -1)
                every = frozenset(chosen)
                return _Inquiry(host_id, request, now_ms, every, every)
        return None

    def _source(self, service: str, bucket: int) -> str | None:
        """Returns the next host to ask about a bucket."""
        key = (service, bucket)
        asked = self._asked_by_bucket.get(key, set())
        skipped = self._skipped_by_bucket.get(key, set())
        order = self._orders.order(service, bucket)
        # Hosts that leave are asked while they are there.
        for host_id in sorted(
            order, key=lambda item: not self._orders.is_leaving(item)
        ):
            if host_id == self._host_id or host_id in asked:
                continue
            if host_id not in skipped:
                return host_id
        # Hosts that did not answer are asked again.
        self._skipped_by_bucket.pop(key, None)
        return None

    def _expire(self, now_ms: int) -> None:
        """Drops idle flows and notes keepers that are old enough."""
        for service in self._ambiguous_by_service:
            placements = self._role.placements(service, now_ms)
            placements.exceptions.expire(now_ms)
            for bucket, since in placements.kept_since_ms_by_bucket.items():
                if now_ms - since >= COMPLETE_BY_AGE_MS:
                    placements.complete_buckets.add(bucket)
