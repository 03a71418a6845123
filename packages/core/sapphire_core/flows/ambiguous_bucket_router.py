"""The decisions of a host about packets of ambiguous buckets."""

from sapphire_core.flows import bucket_replica_state
from sapphire_core.flows import data
from sapphire_core.flows import failures
from sapphire_core.flows import flow_table
from sapphire_core.flows import history_usage
from sapphire_core.flows import rendezvous
from sapphire_core.flows import routes as routes_lib
from sapphire_core.flows import slow_start
from sapphire_core.flows import upstream_selection
from sapphire_data import failures as data_failures

MAX_VISITED = 7


class AmbiguousBucketRouter:
    """Answers packets of ambiguous buckets, or passes them on.

    Attributes:
        prepared_revision: The newest revision that this host has prepared.
        repeats_until_ms: Until when an opening packet may be the repeat of one
            from before the last activation.
        is_provisional: Whether the first configuration awaits its barrier.
        suspects: Hosts that do not answer but are not yet dead.
        history: The generations that flows of this host need.
        is_view_new: Whether other hosts may have another membership view.

    Args:
        host_id: The identity of this host.
        orders: The rendezvous orders.
        ramp: Admission to cold upstreams.
    """

    def __init__(
        self,
        host_id: str,
        orders: rendezvous.RendezvousOrders,
        ramp: slow_start.SlowStartLimiter,
    ) -> None:
        self.prepared_revision = 0
        self.is_provisional = False
        self.repeats_until_ms = 0
        self.is_view_new = True
        self.suspects: frozenset[str] = frozenset()
        self.history = history_usage.HistoryUsage()
        self._host_id = host_id
        self._orders = orders
        self._ramp = ramp
        self._placements_by_service: dict[
            str, bucket_replica_state.BucketReplicaState
        ] = {}

    def placements(
        self, service: str, now_ms: int
    ) -> bucket_replica_state.BucketReplicaState:
        """Returns what this host remembers of a service."""
        placements = self._placements_by_service.get(service)
        if placements is None:
            placements = bucket_replica_state.BucketReplicaState(now_ms)
            self._placements_by_service[service] = placements
        return placements

    def forget_services(self, names: frozenset[str]) -> None:
        """Drops all records of services other than the named ones."""
        for name in self._placements_by_service.keys() - names:
            del self._placements_by_service[name]

    def enter(
        self,
        routes: routes_lib.Routes,
        packet: bucket_replica_state.Packet,
        is_fresh: bool,
        now_ms: int,
    ) -> data.Decision:
        """Decides about a packet that the fabric handed to this host.

        Args:
            routes: The routes of the service.
            packet: The packet.
            is_fresh: Whether peers confirmed this host recently.
            now_ms: The current time.

        Returns:
            The decision.
        """
        if not routes.inputs.is_active:
            return data.Drop(failures.BarrierPending(routes.name))
        bucket = packet.flow_hash % routes.bucket_count
        keepers = self._orders.replica_hosts(routes.name, bucket)
        if not keepers or self._host_id in keepers:
            return self.answer(routes, packet, is_fresh, now_ms)
        target = keepers[0]
        if target in self.suspects and not packet.is_opening:
            target = keepers[-1]
        recorded = None
        if not packet.is_opening:
            # A former keeper may know what the present ones are still asking
            # for; they object if they know better.
            exceptions = self.placements(routes.name, now_ms).exceptions
            recorded = exceptions.get(packet.flow_hash)
        return self._relay(target, packet, recorded)

    def answer(
        self,
        routes: routes_lib.Routes,
        packet: bucket_replica_state.Packet,
        is_fresh: bool,
        now_ms: int,
    ) -> data.Decision:
        """Decides about a packet that has no placement yet, as a keeper.

        Args:
            routes: The routes of the service.
            packet: The packet.
            is_fresh: Whether peers confirmed this host recently.
            now_ms: The current time.

        Returns:
            The decision.
        """
        bucket = packet.flow_hash % routes.bucket_count
        settled = routes.decisions[bucket]
        if settled is not None and packet.revision <= self.prepared_revision:
            return settled
        placements = self.placements(routes.name, now_ms)
        if packet.is_opening:
            return self._open(routes, placements, packet, is_fresh, now_ms)
        recorded = placements.exceptions.get(packet.flow_hash)
        if recorded is not None:
            return self._known(routes, placements, packet, recorded)
        return self._miss(routes, placements, packet, now_ms)

    def accept(
        self,
        routes: routes_lib.Routes,
        packet: bucket_replica_state.Packet,
        upstream: str,
        now_ms: int,
    ) -> data.Decision:
        """Records a placement that came with a packet and forwards it.

        Args:
            routes: The routes of the service.
            packet: The packet.
            upstream: The placement.
            now_ms: The current time.

        Returns:
            The decision; the earlier record wins if there is another.
        """
        decision = routes.decision_by_upstream.get(upstream)
        if decision is None:
            return data.Drop(failures.ForeignUpstream(upstream))
        exceptions = self.placements(routes.name, now_ms).exceptions
        recorded = exceptions.get(packet.flow_hash)
        if recorded == upstream:
            if packet.is_closing:
                exceptions.close(packet.flow_hash)
            else:
                exceptions.touch(packet.flow_hash)
            return self._spread(routes, packet, upstream, decision)
        is_answer = self._host_id in packet.visited
        if (
            recorded is None
            or is_answer
            or not self._is_usable(routes, exceptions, packet, recorded)
        ):
            exceptions.record(packet.flow_hash, upstream)
            return self._spread(routes, packet, upstream, decision)
        return self._relay(packet.visited[-1], packet, recorded)

    def _spread(
        self,
        routes: routes_lib.Routes,
        packet: bucket_replica_state.Packet,
        upstream: str,
        decision: data.Decision,
    ) -> data.Decision:
        """Lets an opening packet pass all keepers before it is forwarded.

        Views of the keepers differ for a while, so each adds those that it
        knows. A keeper that objected to a placement is answered by a walk
        back to the host that made it.
        """
        if not packet.is_opening:
            return decision
        if self._host_id in packet.visited:
            index = packet.visited.index(self._host_id)
            if index == 0:
                return decision
            return self._relay(packet.visited[index - 1], packet, upstream)
        bucket = packet.flow_hash % routes.bucket_count
        for host_id in self._witnesses(routes.name, bucket):
            if self._may_visit(host_id, packet):
                return self._relay(host_id, packet, upstream)
        return decision

    def _open(
        self,
        routes: routes_lib.Routes,
        placements: bucket_replica_state.BucketReplicaState,
        packet: bucket_replica_state.Packet,
        is_fresh: bool,
        now_ms: int,
    ) -> data.Decision:
        """Places a new flow, or hands it to the first keeper."""
        bucket = packet.flow_hash % routes.bucket_count
        order = self._orders.order(routes.name, bucket)
        first = order[0] if order else self._host_id
        if first != self._host_id and self._may_visit(first, packet):
            return self._relay(first, packet, None)
        is_first_visit = self._may_visit(self._host_id, packet)
        if is_first_visit and packet.revision > self.prepared_revision:
            # The change that this host missed may take the upstream away
            # that it would choose; the other keeper may know.
            other = self._other_replica_host(routes.name, bucket)
            if other is not None:
                return self._relay(other, packet, None)
        keepers = order[: rendezvous.REPLICA_HOST_COUNT]
        is_replica_host = not order or self._host_id in keepers
        if not is_replica_host and is_first_visit:
            # The first keeper still takes this host for the first one. It
            # places the flow when the packet comes back.
            return self._relay(first, packet, None)
        exceptions = placements.exceptions
        recorded = exceptions.get(packet.flow_hash)
        is_new = recorded is None or not self._is_usable(
            routes, exceptions, packet, recorded
        )
        if recorded is not None and not is_new:
            upstream = recorded
        else:
            placed = self._place(routes, packet, is_fresh, now_ms)
            if isinstance(placed, data_failures.Failure):
                return data.Drop(placed)
            upstream = placed
        # Another host may know other ramps and place a repeated opening packet
        # elsewhere.
        may_differ = self.is_view_new or first != self._host_id
        is_told = routes.is_told_by_base(bucket, upstream)
        if is_new:
            # A change that this host has not prepared may prefer another.
            is_behind = packet.revision > self.prepared_revision
            is_free = may_differ or is_behind
            is_free = is_free or upstream in routes.inputs.unsettled
            is_preferred = routes.is_preferred_by_all(bucket, upstream)
            self._record_new(
                placements,
                packet,
                upstream,
                is_implied=is_told and is_preferred and not is_free,
            )
        # The other keeper may hold an earlier placement of the same flow if
        # this one does, or if this one has no full record.
        is_first_known = (
            recorded is None
            and bucket in placements.complete_buckets
            and not may_differ
        )
        if is_first_known and is_told:
            return routes.decision_by_upstream[upstream]
        witnesses = self._witnesses(routes.name, bucket)
        if not witnesses:
            return routes.decision_by_upstream[upstream]
        # The hosts that were visited so far do not know the placement.
        unseen = packet._replace(visited=())
        return self._relay(witnesses[0], unseen, upstream)

    def _place(
        self,
        routes: routes_lib.Routes,
        packet: bucket_replica_state.Packet,
        is_fresh: bool,
        now_ms: int,
    ) -> str | data_failures.Failure:
        """Chooses the upstream of a new flow."""
        bucket = packet.flow_hash % routes.bucket_count

        def admits(name: str) -> bool:
            return self._ramp.admits(name, is_fresh, now_ms)

        if self.is_provisional:
            return upstream_selection.select_default_owner(
                routes, bucket, admits
            )
        # A flow that was opened just before the activation left no record, and
        # its repeated opening packet has to find the same upstream.
        is_base_preferred = not is_fresh or now_ms < self.repeats_until_ms
        return upstream_selection.select_upstream(
            routes, bucket, packet.flow_hash, is_base_preferred, admits
        )

    def _record_new(
        self,
        placements: bucket_replica_state.BucketReplicaState,
        packet: bucket_replica_state.Packet,
        upstream: str,
        *,
        is_implied: bool,
    ) -> None:
        """Records a placement unless it is what any host would choose."""
        if is_implied:
            placements.exceptions.forget(packet.flow_hash)
            return
        # The placement of a cold upstream's flow depends on the time. It is
        # recorded even at the base owner, so that a repeated opening packet
        # does not start the flow at another upstream.
        placements.exceptions.record(packet.flow_hash, upstream)

    def _known(
        self,
        routes: routes_lib.Routes,
        placements: bucket_replica_state.BucketReplicaState,
        packet: bucket_replica_state.Packet,
        recorded: str,
    ) -> data.Decision:
        """Answers for a recorded flow and reminds the other keeper."""
        decision = routes.decision_by_upstream.get(recorded)
        if decision is None:
            decision = data.Reset(failures.UpstreamGone(recorded))
        if not isinstance(decision, data.Forward):
            placements.exceptions.forget(packet.flow_hash)
            return decision
        if packet.is_closing:
            placements.exceptions.close(packet.flow_hash)
            is_due = True
        else:
            is_due = placements.exceptions.touch(packet.flow_hash)
        bucket = packet.flow_hash % routes.bucket_count
        if packet.visited:
            asking = packet.visited[-1]
            if asking in self._orders.replica_hosts(routes.name, bucket):
                return self._relay(asking, packet, recorded)
        other = self._other_replica_host(routes.name, bucket)
        if is_due and other is not None and self._may_visit(other, packet):
            return self._relay(other, packet, recorded)
        return decision

    def _miss(
        self,
        routes: routes_lib.Routes,
        placements: bucket_replica_state.BucketReplicaState,
        packet: bucket_replica_state.Packet,
        now_ms: int,
    ) -> data.Decision:
        """Answers for a flow that is not recorded here, or asks on."""
        bucket = packet.flow_hash % routes.bucket_count
        is_complete = bucket in placements.complete_buckets
        if not is_complete or packet.revision > self.prepared_revision:
            for host_id in self._orders.order(routes.name, bucket):
                if host_id == self._host_id:
                    continue
                if self._may_visit(host_id, packet):
                    return self._relay(host_id, packet, None)
        self.history.note_base(routes, bucket, now_ms)
        base = routes.base_owner(bucket)
        if base is None:
            return data.Reset(failures.NoUpstream(routes.name))
        decision = routes.decision_by_upstream.get(base)
        if decision is None:
            return data.Reset(failures.UpstreamGone(base))
        return decision

    def _is_usable(
        self,
        routes: routes_lib.Routes,
        exceptions: flow_table.FlowTable,
        packet: bucket_replica_state.Packet,
        recorded: str,
    ) -> bool:
        """Returns whether an opening packet may follow an earlier record."""
        if packet.is_opening and exceptions.is_closing(packet.flow_hash):
            return False
        if packet.is_opening and recorded not in routes.eligible:
            return False
        decision = routes.decision_by_upstream.get(recorded)
        return isinstance(decision, data.Forward)

    def _witnesses(self, service: str, bucket: int) -> list[str]:
        """Returns the hosts beside this one that have to know a placement.

        They are the other keepers. After a change of membership they are all
        hosts of the order, since those that were keepers before may not know
        of the change yet.
        """
        keepers = self._orders.replica_hosts(service, bucket)
        hosts = list(keepers)
        if self.is_view_new:
            for host_id in self._orders.order(service, bucket):
                if host_id in keepers or host_id in self.suspects:
                    continue
                # A leaving host answers nothing alone and may be gone.
                if not self._orders.is_leaving(host_id):
                    hosts.append(host_id)
        return [host_id for host_id in hosts if host_id != self._host_id]

    def _other_replica_host(self, service: str, bucket: int) -> str | None:
        """Returns a keeper of a bucket beside this host."""
        for host_id in self._orders.replica_hosts(service, bucket):
            if host_id != self._host_id:
                return host_id
        return None

    def _may_visit(
        self, host_id: str, packet: bucket_replica_state.Packet
    ) -> bool:
        """Returns whether a packet may still go to a host."""
        if len(packet.visited) >= MAX_VISITED:
            return False
        return host_id not in packet.visited

    def _relay(
        self,
        host_id: str,
        packet: bucket_replica_state.Packet,
        upstream: str | None,
    ) -> data.Relay:
        """Hands a packet to another host."""
        return data.Relay(
            host_id=host_id,
            visited=(*packet.visited, self._host_id),
            upstream=upstream,
            revision=max(packet.revision, self.prepared_revision),
        )
