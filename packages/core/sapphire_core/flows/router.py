"""Routing of packets on one host; see `docs/design/0002-flow-routing.md`.

A packet of a settled bucket is forwarded by any host at once. A packet of an
ambiguous bucket is decided by the replica hosts of the bucket, which store the
records of its flows.
"""

from sapphire_core.flows import ambiguous_bucket_router
from sapphire_core.flows import bucket_replica_state
from sapphire_core.flows import data
from sapphire_core.flows import failures
from sapphire_core.flows import flow_table
from sapphire_core.flows import handover_client
from sapphire_core.flows import handover_source
from sapphire_core.flows import history_usage_report
from sapphire_core.flows import recent_openings
from sapphire_core.flows import rendezvous
from sapphire_core.flows import revisions as revisions_lib
from sapphire_core.flows import route_tables
from sapphire_core.flows import slow_start_tracker
from sapphire_core.flows import upstream_observations
from sapphire_data import records

# A membership view is valid for this long. Together with the 1,500 ms within
# which peers must have confirmed this host it stays under
# `revisions.ACTIVATION_MS`.
VIEW_VALID_MS = 800
# A host that knows of a newer revision but cannot fetch it no longer decides
# alone after this time.
NEWER_GRACE_MS = 1_000
# A host that has just started decides about packets of ambiguous buckets once
# its peers have confirmed it, or without them after this time.
JOIN_TIMEOUT_MS = 5_000

# The decision of each settled bucket of a service, and the number of buckets.
_SettledDecisions = tuple[list[data.Decision | None], int]


class Router:
    """The routing decisions of one host.

    The daemon calls `set_view` at least every 500 ms and `tick` every 100 ms.

    Args:
        host_id: The identity of this host.
    """

    def __init__(self, host_id: str) -> None:
        self._revisions = revisions_lib.Revisions()
        self._observations = upstream_observations.UpstreamObservations()
        self._orders = rendezvous.RendezvousOrders()
        self._tables = route_tables.RouteTables(
            self._revisions, self._observations
        )
        self._slow_start = slow_start_tracker.SlowStartTracker(
            host_id, self._revisions, self._orders
        )
        self._bucket_router = ambiguous_bucket_router.AmbiguousBucketRouter(
            host_id, self._orders, self._slow_start.limiter
        )
        self._handover_client = handover_client.HandoverClient(
            host_id, self._orders, self._tables, self._bucket_router
        )
        self._handover_source = handover_source.HandoverSource(
            self._orders, self._tables, self._bucket_router
        )
        self._recent_openings = recent_openings.RecentOpenings(
            self._tables, self._bucket_router, self._handover_source
        )
        self._host_id = host_id
        self._fresh_until_ms = -1
        self._newer_since_ms: int | None = None
        # The newest revision that a peer knows.
        self._known_revision = 0
        self._started_ms: int | None = None
        self._has_joined = False
        self._members_changed_ms = 0
        self._prepared_everywhere = 0
        self._announced_revision = 0
        self._settled_by_key: dict[bytes, _SettledDecisions] = {}
        self._pending_actions: list[data.Action] = []

    @property
    def prepared_revision(self) -> int:
        """The newest revision that this host has prepared."""
        return self._revisions.newest_revision

    @property
    def active_revision(self) -> int:
        """The revision by which this host routes new flows, 0 for none."""
        active = self._revisions.active
        return active.revision if active is not None else 0

    def observations(self) -> list[data.UpstreamObservation]:
        """Returns the newest observation of each upstream."""
        return self._observations.all()

    def recorded_flows(self, service: str) -> flow_table.FlowTable:
        """Returns the flows of a service that this host has recorded."""
        return self._bucket_router.replica_state(service, 0).flows

    def prepare(
        self, configuration: records.Configuration, now_ms: int
    ) -> None:
        """Prepares a configuration; one that is not newer is ignored.

        Args:
            configuration: The configuration.
            now_ms: The current time.
        """
        is_first = self._revisions.active is None
        if not self._revisions.prepare(configuration, now_ms):
            return
        is_timely = not is_first and self._is_fresh(now_ms)
        if self._newer_since_ms is not None:
            late_ms = now_ms - self._newer_since_ms
            is_timely = is_timely and late_ms < NEWER_GRACE_MS
        self._newer_since_ms = None
        self._advance(now_ms, is_timely, is_forced=True)

    def slow_starts(self, now_ms: int) -> tuple[data.SlowStart, ...]:
        """Returns the slow starts, for a peer that has just started."""
        return self._slow_start.limiter.slow_starts(now_ms)

    def adopt_slow_starts(
        self, slow_starts: tuple[data.SlowStart, ...], now_ms: int
    ) -> None:
        """Adopts the slow starts of a peer, after the first `prepare`.

        A host that has just started cannot tell from the configuration which
        upstreams are cold.

        Args:
            slow_starts: The slow starts that the peer knows.
            now_ms: The current time.
        """
        self._slow_start.adopt(slow_starts, now_ms)
        self._rebuild(now_ms, self._is_fresh(now_ms))

    def record_newer_revision(self, revision: int, now_ms: int) -> None:
        """Records that a revision exists that this host has not fetched yet.

        The host no longer decides alone if it cannot prepare it in time.

        Args:
            revision: The revision that a peer knows.
            now_ms: The current time.
        """
        self._known_revision = max(self._known_revision, revision)
        if revision <= self.prepared_revision:
            return
        if self._newer_since_ms is None:
            self._newer_since_ms = now_ms
            limit_ms = now_ms + NEWER_GRACE_MS
            self._fresh_until_ms = min(self._fresh_until_ms, limit_ms)

    def set_view(self, view: records.MemberView, now_ms: int) -> None:
        """Replaces the membership as this host knows it.

        Args:
            view: The membership.
            now_ms: The current time.
        """
        was_fresh = self._is_fresh(now_ms)
        self._fresh_until_ms = -1
        if self._started_ms is None:
            self._started_ms = now_ms
        self._has_joined = (
            self._has_joined
            or view.is_fresh
            or now_ms - self._started_ms >= JOIN_TIMEOUT_MS
        )
        if view.is_fresh:
            if not was_fresh:
                self._slow_start.limiter.restart_takeovers(now_ms)
            self._fresh_until_ms = now_ms + VIEW_VALID_MS
            if self._newer_since_ms is not None:
                limit_ms = self._newer_since_ms + NEWER_GRACE_MS
                self._fresh_until_ms = min(self._fresh_until_ms, limit_ms)
        suspects = set()
        for host_id, member in view.members_by_id.items():
            if member.state is records.MemberState.SUSPECT:
                suspects.add(host_id)
        self._bucket_router.suspects = frozenset(suspects)
        self._prepared_everywhere = view.prepared_everywhere
        has_changed = self._orders.set_members(view.members_by_id)
        if has_changed:
            own = view.members_by_id.get(self._host_id)
            is_leaving = (
                own is not None and own.state is records.MemberState.LEAVING
            )
            self._handover_client.update_members(is_leaving, now_ms)
            if is_leaving:
                self._handover_source.start_leaving(now_ms)
            self._slow_start.reassign_slots(now_ms)
            self._members_changed_ms = now_ms
        age_ms = now_ms - self._members_changed_ms
        self._bucket_router.is_view_recent = (
            age_ms < handover_client.VIEWS_AGREE_MS
        )
        if has_changed:
            self._recent_openings.inform_replica_hosts(now_ms)
        self._advance(now_ms, view.is_fresh, is_forced=False)

    def apply_observation(
        self, observation: data.UpstreamObservation, now_ms: int
    ) -> bool:
        """Applies an observation of an upstream unless a newer one is known.

        Args:
            observation: The observation.
            now_ms: The current time.

        Returns:
            Whether it was applied, so that the peers have to get it too.
        """
        before = self._observations.get(observation.upstream)
        if not self._observations.apply(observation, now_ms):
            return False
        self._slow_start.apply_observation(before, observation, now_ms)
        self._rebuild(now_ms, self._is_fresh(now_ms))
        return True

    def route(
        self,
        service_key: bytes,
        flow_hash: int,
        is_opening: bool,
        is_closing: bool,
        now_ms: int,
    ) -> data.Decision:
        """Decides about a packet that the fabric sent to this host.

        Args:
            service_key: The destination address bytes and two port bytes.
            flow_hash: The hash of the flow's addresses and ports.
            is_opening: Whether the packet opens the flow.
            is_closing: Whether the packet ends the flow.
            now_ms: The current time.

        Returns:
            The decision; for a settled bucket always the same object.
        """
        if now_ms <= self._fresh_until_ms:
            settled = self._settled_by_key.get(service_key)
            if settled is not None:
                decision = settled[0][flow_hash % settled[1]]
                if decision is not None:
                    if is_opening:
                        self._recent_openings.remember(
                            service_key, flow_hash, decision, now_ms
                        )
                    return decision
        decision = self._route_uncached(
            service_key,
            bucket_replica_state.Packet(
                flow_hash, is_opening, is_closing, (), self._known_revision
            ),
            now_ms,
        )
        if is_opening:
            self._recent_openings.remember(
                service_key, flow_hash, decision, now_ms
            )
        return decision

    def route_relayed(  # noqa: PLR0917 - one argument per field of a packet.
        self,
        relay: data.RelayHeader,
        service_key: bytes,
        flow_hash: int,
        is_opening: bool,
        is_closing: bool,
        now_ms: int,
    ) -> data.Decision:
        """Decides about a packet that another host relayed.

        Args:
            relay: What the other host sent along with the packet.
            service_key: The destination address bytes and two port bytes.
            flow_hash: The hash of the flow's addresses and ports.
            is_opening: Whether the packet opens the flow.
            is_closing: Whether the packet ends the flow.
            now_ms: The current time.

        Returns:
            The decision.
        """
        self.record_newer_revision(relay.revision, now_ms)
        packet = bucket_replica_state.Packet(
            flow_hash, is_opening, is_closing, relay.visited, relay.revision
        )
        decision = self._decide_relayed(
            service_key, packet, relay.upstream, now_ms
        )
        if is_opening:
            self._recent_openings.remember(
                service_key, flow_hash, decision, now_ms
            )
        return decision

    def answer_handover_request(
        self, host_id: str, request: data.HandoverRequest, now_ms: int
    ) -> data.HandoverPage | None:
        """Answers the request of a new replica host for flow records.

        Args:
            host_id: The host that sent the request.
            request: The request.
            now_ms: The current time.

        Returns:
            A page; None if the byte rate does not allow it now.
        """
        return self._handover_source.answer(host_id, request, now_ms)

    def apply_handover_page(
        self, host_id: str, page: data.HandoverPage, now_ms: int
    ) -> None:
        """Records the flows of a handover page.

        Args:
            host_id: The host that sent it.
            page: The page.
            now_ms: The current time.
        """
        self._handover_client.apply_page(host_id, page, now_ms)

    def is_handover_complete(self, now_ms: int) -> bool:
        """Returns whether this leaving host has handed over its flow records.

        Args:
            now_ms: The current time.
        """
        return self._handover_source.is_handover_complete(now_ms)

    def history_usage_reports(
        self, now_ms: int
    ) -> list[history_usage_report.HistoryUsageReport]:
        """Returns which pool generations the flows of this host need.

        It iterates over all recorded flows; once a minute is enough.

        Args:
            now_ms: The current time.

        Returns:
            A report for each service.
        """
        reports = []
        slow_starting = self._slow_start.limiter.cold_upstreams()
        for routes in self._tables.routes_by_key.values():
            state = self._bucket_router.replica_state(routes.name, now_ms)
            reports.append(
                self._bucket_router.history.report(
                    self._host_id,
                    routes,
                    state.flows.items(),
                    slow_starting,
                    idle_ms=flow_table.IDLE_PERIOD_MS,
                    now_ms=now_ms,
                )
            )
        return reports

    def tick(self, now_ms: int) -> list[data.Action]:
        """Advances timers.

        Args:
            now_ms: The current time.

        Returns:
            The actions that the daemon has to carry out.
        """
        has_ended = self._slow_start.limiter.tick(now_ms)
        self._advance(now_ms, self._is_fresh(now_ms), is_forced=has_ended)
        if self._tables.has_propagation_changed(now_ms):
            self._rebuild(now_ms, self._is_fresh(now_ms))
        actions = self._pending_actions
        self._pending_actions = []
        actions.extend(self._recent_openings.tick(now_ms))
        actions.extend(self._handover_client.tick(now_ms))
        return actions

    def _route_uncached(
        self,
        service_key: bytes,
        packet: bucket_replica_state.Packet,
        now_ms: int,
    ) -> data.Decision:
        """Decides about a packet that has no cached decision.

        Its bucket is ambiguous, its address has no routes, or this host is not
        fresh.
        """
        routes = self._tables.find(service_key)
        if routes is None:
            return self._tables.decide_without_routes(
                service_key, packet.is_opening
            )
        if not self._has_joined:
            bucket = packet.flow_hash % routes.bucket_count
            settled = routes.decisions[bucket]
            if settled is None:
                return data.Drop(failures.NotJoined())
            return settled
        return self._bucket_router.route_from_fabric(
            routes, packet, self._is_fresh(now_ms), now_ms
        )

    def _decide_relayed(
        self,
        service_key: bytes,
        packet: bucket_replica_state.Packet,
        upstream: str | None,
        now_ms: int,
    ) -> data.Decision:
        """Decides about a relayed packet.

        Args:
            service_key: The service key.
            packet: The packet.
            upstream: The upstream that the other host sent along, if any.
            now_ms: The current time.
        """
        routes = self._tables.find(service_key)
        if routes is None:
            return self._tables.decide_without_routes(
                service_key, packet.is_opening
            )
        if upstream is not None:
            return self._bucket_router.apply_relayed_upstream(
                routes, packet, upstream, now_ms
            )
        if not routes.inputs.is_active:
            return data.Drop(failures.BarrierPending(routes.name))
        return self._bucket_router.route_as_replica_host(
            routes, packet, self._is_fresh(now_ms), now_ms
        )

    def _is_fresh(self, now_ms: int) -> bool:
        """Returns whether peers confirmed this host recently."""
        return now_ms <= self._fresh_until_ms

    def _advance(
        self, now_ms: int, is_timely: bool, *, is_forced: bool
    ) -> None:
        """Activates a revision that has passed its barrier.

        Args:
            now_ms: The current time.
            is_timely: See `HandoverClient.update_routes`.
            is_forced: Whether the routes are rebuilt without an activation too.
        """
        changed = self._revisions.advance(self._prepared_everywhere, now_ms)
        self._bucket_router.is_provisional = self._revisions.is_provisional
        self._bucket_router.retransmissions_until_ms = (
            self._revisions.retransmissions_until_ms
        )
        self._bucket_router.prepared_revision = self._revisions.newest_revision
        active = self._revisions.active
        if active is not None and active is not self._slow_start.activated:
            self._slow_start.apply_activation(active, now_ms)
        # The first revision is active as soon as it is prepared. `advance` does
        # not report that as a change.
        if active is not None and active.revision != self._announced_revision:
            self._announced_revision = active.revision
            self._pending_actions.append(
                data.RevisionActivated(active.revision)
            )
        if changed or is_forced:
            self._rebuild(now_ms, is_timely)

    def _rebuild(self, now_ms: int, is_timely: bool) -> None:
        """Computes the routes whose inputs changed, and what follows from them.

        Args:
            now_ms: The current time.
            is_timely: See `HandoverClient.update_routes`.
        """
        self._tables.rebuild(self._slow_start.limiter.cold_upstreams(), now_ms)
        self._handover_client.update_routes(now_ms, is_timely)
        self._recent_openings.update_routes(now_ms)
        for routes in self._tables.routes_by_key.values():
            self._bucket_router.history.start(routes.name, now_ms)
        self._settled_by_key = {
            key: (routes.decisions, routes.bucket_count)
            for key, routes in self._tables.routes_by_key.items()
        }
