"""The decisions of a host about packets of ambiguous buckets.

An entry host relays such a packet to a replica host of the bucket. The primary
replica host selects the upstream of a new flow. Unless hosts without a record
would use the same upstream, it records the upstream and relays the opening
packet to the other replica hosts, which record it too, before the packet is
forwarded. Later packets go to the recorded upstream, or without a record to the
default owner.
"""

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
    """Decides about packets of ambiguous buckets, or relays them.

    Attributes:
        prepared_revision: The newest revision that this host has prepared.
        retransmissions_until_ms: Until when an opening packet may be the
            retransmission of one from before the last activation.
        is_provisional: Whether the first configuration waits for its barrier.
        suspects: Hosts that do not answer but are not known to be dead yet.
        history: The generations that the flows of this host need.
        is_view_recent: Whether the membership changed so recently that other
            hosts may have another view of it.

    Args:
        host_id: The identity of this host.
        orders: The rendezvous orders.
        limiter: Limits the new flows to cold upstreams.
    """

    def __init__(
        self,
        host_id: str,
        orders: rendezvous.RendezvousOrders,
        limiter: slow_start.SlowStartLimiter,
    ) -> None:
        self.prepared_revision = 0
        self.is_provisional = False
        self.retransmissions_until_ms = 0
        self.is_view_recent = True
        self.suspects: frozenset[str] = frozenset()
        self.history = history_usage.HistoryUsage()
        self._host_id = host_id
        self._orders = orders
        self._limiter = limiter
        self._state_by_service: dict[
            str, bucket_replica_state.BucketReplicaState
        ] = {}

    def replica_state(
        self, service: str, now_ms: int
    ) -> bucket_replica_state.BucketReplicaState:
        """Returns the flow records of a service, creating them if missing."""
        state = self._state_by_service.get(service)
        if state is None:
            state = bucket_replica_state.BucketReplicaState(now_ms)
            self._state_by_service[service] = state
        return state

    def retain_services(self, names: frozenset[str]) -> None:
        """Discards the flow records of all services but the named ones."""
        for name in self._state_by_service.keys() - names:
            del self._state_by_service[name]

    def route_from_fabric(
        self,
        routes: routes_lib.Routes,
        packet: bucket_replica_state.Packet,
        is_fresh: bool,
        now_ms: int,
    ) -> data.Decision:
        """Decides about a packet that the fabric sent to this host.

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
        replica_hosts = self._orders.replica_hosts(routes.name, bucket)
        if not replica_hosts or self._host_id in replica_hosts:
            return self.route_as_replica_host(routes, packet, is_fresh, now_ms)
        target = replica_hosts[0]
        if target in self.suspects and not packet.is_opening:
            target = replica_hosts[-1]
        recorded = None
        if not packet.is_opening:
            # A former replica host may have a record that the present ones
            # have not got yet. They relay the packet back with the upstream of
            # their own record if that differs.
            flows = self.replica_state(routes.name, now_ms).flows
            recorded = flows.get(packet.flow_hash)
        return self._relay(target, packet, recorded)

    def route_as_replica_host(
        self,
        routes: routes_lib.Routes,
        packet: bucket_replica_state.Packet,
        is_fresh: bool,
        now_ms: int,
    ) -> data.Decision:
        """Decides about a packet for whose flow no upstream is known yet.

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
        state = self.replica_state(routes.name, now_ms)
        if packet.is_opening:
            return self._route_opening(routes, state, packet, is_fresh, now_ms)
        recorded = self._find_record(state.flows, packet)
        if recorded is not None:
            return self._route_recorded(routes, state, packet, recorded)
        return self._route_unrecorded(routes, state, packet, now_ms)

    def apply_relayed_upstream(
        self,
        routes: routes_lib.Routes,
        packet: bucket_replica_state.Packet,
        upstream: str,
        now_ms: int,
    ) -> data.Decision:
        """Records the upstream that a host sent along with a relayed packet.

        Args:
            routes: The routes of the service.
            packet: The packet.
            upstream: The upstream of its flow, as the sender knows it.
            now_ms: The current time.

        Returns:
            The decision. If this host has a usable record of another upstream,
            the packet is relayed back with that upstream.
        """
        decision = routes.decision_by_upstream.get(upstream)
        if decision is None:
            return data.Drop(failures.ForeignUpstream(upstream))
        flows = self.replica_state(routes.name, now_ms).flows
        recorded = self._find_record(flows, packet)
        if recorded == upstream:
            if packet.is_closing:
                flows.close(packet.flow_hash)
            else:
                flows.refresh(packet.flow_hash)
            return self._relay_to_replica_hosts(
                routes, packet, upstream, decision
            )
        is_returned = self._host_id in packet.visited
        if (
            recorded is None
            or is_returned
            or not self._is_reusable(routes, flows, packet, recorded)
        ):
            flows.record(packet.flow_hash, upstream)
            return self._relay_to_replica_hosts(
                routes, packet, upstream, decision
            )
        return self._relay(packet.visited[-1], packet, recorded)

    def hosts_to_inform(self, service: str, bucket: int) -> list[str]:
        """Returns the other hosts that have to record the upstream of a flow.

        They are the other replica hosts. After a change of membership they are
        all hosts of the rendezvous order, since those that were replica hosts
        before may not know of the change yet.
        """
        replica_hosts = self._orders.replica_hosts(service, bucket)
        hosts = list(replica_hosts)
        if self.is_view_recent:
            for host_id in self._orders.order(service, bucket):
                if host_id in replica_hosts or host_id in self.suspects:
                    continue
                # A leaving host decides nothing alone and may have stopped.
                if not self._orders.is_leaving(host_id):
                    hosts.append(host_id)
        return [host_id for host_id in hosts if host_id != self._host_id]

    def _relay_to_replica_hosts(
        self,
        routes: routes_lib.Routes,
        packet: bucket_replica_state.Packet,
        upstream: str,
        decision: data.Decision,
    ) -> data.Decision:
        """Relays an opening packet to each replica host, then forwards it.

        The views of the replica hosts differ for a while, so each of them adds
        the replica hosts that it knows. If one of them sent the packet back
        with the upstream of an earlier record, the packet goes back over the
        visited hosts to the first of them, which forwards it.
        """
        if not packet.is_opening:
            return decision
        if self._host_id in packet.visited:
            index = packet.visited.index(self._host_id)
            if index == 0:
                return decision
            return self._relay(packet.visited[index - 1], packet, upstream)
        bucket = packet.flow_hash % routes.bucket_count
        for host_id in self.hosts_to_inform(routes.name, bucket):
            if self._may_visit(host_id, packet):
                return self._relay(host_id, packet, upstream)
        return decision

    def _route_opening(
        self,
        routes: routes_lib.Routes,
        state: bucket_replica_state.BucketReplicaState,
        packet: bucket_replica_state.Packet,
        is_fresh: bool,
        now_ms: int,
    ) -> data.Decision:
        """Selects the upstream of a new flow as the primary replica host.

        Any other host relays the packet to the primary replica host. It selects
        the upstream itself if the packet has been there already.
        """
        bucket = packet.flow_hash % routes.bucket_count
        order = self._orders.order(routes.name, bucket)
        primary = order[0] if order else self._host_id
        if primary != self._host_id and self._may_visit(primary, packet):
            return self._relay(primary, packet, None)
        is_first_visit = self._may_visit(self._host_id, packet)
        if is_first_visit and packet.revision > self.prepared_revision:
            # The revision that this host has not prepared may remove the
            # upstream that it would select. The other replica host may have
            # prepared it.
            other = self._other_replica_host(routes.name, bucket)
            if other is not None:
                return self._relay(other, packet, None)
        replica_hosts = order[: rendezvous.REPLICA_HOST_COUNT]
        is_replica_host = not order or self._host_id in replica_hosts
        if not is_replica_host and is_first_visit:
            # The primary replica host relayed the packet because in its view
            # this host is the primary one. It selects the upstream when the
            # packet comes back.
            return self._relay(primary, packet, None)
        flows = state.flows
        recorded = self._find_record(flows, packet)
        is_new = recorded is None or not self._is_reusable(
            routes, flows, packet, recorded
        )
        if recorded is not None and not is_new:
            upstream = recorded
        else:
            selected = self._select_upstream(routes, packet, is_fresh, now_ms)
            if isinstance(selected, data_failures.Failure):
                return data.Drop(selected)
            upstream = selected
        # Another host may select the upstream of a retransmitted opening
        # packet. It may know of other slow starts and select another one.
        may_differ = self.is_view_recent or primary != self._host_id
        is_default = routes.is_default_owner_in_all(bucket, upstream)
        if is_new:
            # A revision that this host has not prepared may have another
            # newest owner.
            is_behind = packet.revision > self.prepared_revision
            may_vary = may_differ or is_behind
            may_vary = may_vary or upstream in routes.inputs.unsettled
            is_preferred = routes.is_newest_owner_in_all(bucket, upstream)
            self._record_selected(
                state,
                packet,
                upstream,
                is_implied=is_default and is_preferred and not may_vary,
            )
        # The other replica host may have an earlier record of the same flow if
        # this host has one, or if this host lacks records of the bucket.
        is_unrecorded = (
            recorded is None
            and bucket in state.complete_buckets
            and not may_differ
        )
        if is_unrecorded and is_default:
            return routes.decision_by_upstream[upstream]
        hosts_to_inform = self.hosts_to_inform(routes.name, bucket)
        if not hosts_to_inform:
            return routes.decision_by_upstream[upstream]
        # The hosts that were visited so far do not know the upstream yet.
        restarted = packet._replace(visited=())
        return self._relay(hosts_to_inform[0], restarted, upstream)

    def _select_upstream(
        self,
        routes: routes_lib.Routes,
        packet: bucket_replica_state.Packet,
        is_fresh: bool,
        now_ms: int,
    ) -> str | data_failures.Failure:
        """Selects the upstream of a new flow, or returns why there is none."""
        bucket = packet.flow_hash % routes.bucket_count

        def try_admit(name: str) -> bool:
            return self._limiter.try_admit(name, is_fresh, now_ms)

        if self.is_provisional:
            return upstream_selection.select_default_owner(
                routes, bucket, try_admit
            )
        # A flow that was opened just before the activation may have no record.
        # Its retransmitted opening packet has to go to the same upstream.
        is_default_preferred = (
            not is_fresh or now_ms < self.retransmissions_until_ms
        )
        return upstream_selection.select_upstream(
            routes, bucket, packet.flow_hash, is_default_preferred, try_admit
        )

    def _record_selected(
        self,
        state: bucket_replica_state.BucketReplicaState,
        packet: bucket_replica_state.Packet,
        upstream: str,
        *,
        is_implied: bool,
    ) -> None:
        """Records the upstream of a new flow.

        Args:
            state: The flow records of the service.
            packet: The opening packet.
            upstream: The selected upstream.
            is_implied: Whether any host would select this upstream without a
                record; an earlier record is discarded then.
        """
        if is_implied:
            state.flows.discard(packet.flow_hash)
            return
        # While an upstream is cold, the selection depends on the time. The flow
        # is recorded even at the default owner, so that a retransmitted opening
        # packet does not open it at another upstream.
        state.flows.record(packet.flow_hash, upstream)

    def _route_recorded(
        self,
        routes: routes_lib.Routes,
        state: bucket_replica_state.BucketReplicaState,
        packet: bucket_replica_state.Packet,
        recorded: str,
    ) -> data.Decision:
        """Decides about a packet of a recorded flow.

        If a replica host relayed the packet, it goes back there with the
        upstream. Else, once in each idle period and when the flow closes, it
        goes to the other replica host, which updates its record too.
        """
        decision = routes.decision_by_upstream.get(recorded)
        if decision is None:
            decision = data.Reset(failures.UpstreamGone(recorded))
        if not isinstance(decision, data.Forward):
            state.flows.discard(packet.flow_hash)
            return decision
        if packet.is_closing:
            state.flows.close(packet.flow_hash)
            is_refresh_due = True
        else:
            is_refresh_due = state.flows.refresh(packet.flow_hash)
        bucket = packet.flow_hash % routes.bucket_count
        if packet.visited:
            sender = packet.visited[-1]
            if sender in self._orders.replica_hosts(routes.name, bucket):
                return self._relay(sender, packet, recorded)
        other = self._other_replica_host(routes.name, bucket)
        if (
            is_refresh_due
            and other is not None
            and self._may_visit(other, packet)
        ):
            return self._relay(other, packet, recorded)
        return decision

    def _route_unrecorded(
        self,
        routes: routes_lib.Routes,
        state: bucket_replica_state.BucketReplicaState,
        packet: bucket_replica_state.Packet,
        now_ms: int,
    ) -> data.Decision:
        """Decides about a packet of a flow that this host has no record of.

        If this host may lack the record, it relays the packet to the next host
        of the rendezvous order. Else the packet goes to the default owner.
        """
        bucket = packet.flow_hash % routes.bucket_count
        is_complete = bucket in state.complete_buckets
        if not is_complete or packet.revision > self.prepared_revision:
            for host_id in self._orders.order(routes.name, bucket):
                if host_id == self._host_id:
                    continue
                if self._may_visit(host_id, packet):
                    return self._relay(host_id, packet, None)
        self.history.record_default_owner(routes, bucket, now_ms)
        owner = routes.default_owner(bucket)
        if owner is None:
            return data.Reset(failures.NoUpstream(routes.name))
        decision = routes.decision_by_upstream.get(owner)
        if decision is None:
            return data.Reset(failures.UpstreamGone(owner))
        return decision

    def _find_record(
        self, flows: flow_table.FlowTable, packet: bucket_replica_state.Packet
    ) -> str | None:
        """Returns the recorded upstream of a packet's flow, None without one.

        A flow that was opened lately without a record is recorded once its
        opening packet is retransmitted, as another host may select the upstream
        of the next retransmission, and once it is closed, so that the other
        replica host gets to know that too.
        """
        recorded = flows.get(packet.flow_hash)
        if recorded is not None:
            return recorded
        if not packet.is_opening and not packet.is_closing:
            return None
        return flows.record_opened(packet.flow_hash)

    def _is_reusable(
        self,
        routes: routes_lib.Routes,
        flows: flow_table.FlowTable,
        packet: bucket_replica_state.Packet,
        recorded: str,
    ) -> bool:
        """Returns whether a packet may follow the record of its flow.

        Args:
            routes: The routes of the service.
            flows: The recorded flows.
            packet: The packet. If it opens the flow anew, the record must be
                of an open flow and of an upstream that may get new flows. An
                upstream that leaves still gets retransmissions.
            recorded: The recorded upstream.
        """
        if packet.is_opening and flows.is_closing(packet.flow_hash):
            return False
        if packet.is_opening and recorded not in routes.eligible:
            if recorded not in routes.answering:
                return False
            if flows.opened_upstream(packet.flow_hash) is None:
                return False
        decision = routes.decision_by_upstream.get(recorded)
        return isinstance(decision, data.Forward)

    def _other_replica_host(self, service: str, bucket: int) -> str | None:
        """Returns a replica host of a bucket other than this host."""
        for host_id in self._orders.replica_hosts(service, bucket):
            if host_id != self._host_id:
                return host_id
        return None

    def _may_visit(
        self, host_id: str, packet: bucket_replica_state.Packet
    ) -> bool:
        """Returns whether a packet may be relayed to a host as its next one.

        It may if the host did not handle the packet before and fewer than
        `MAX_VISITED` hosts did.
        """
        if len(packet.visited) >= MAX_VISITED:
            return False
        return host_id not in packet.visited

    def _relay(
        self,
        host_id: str,
        packet: bucket_replica_state.Packet,
        upstream: str | None,
    ) -> data.Relay:
        """Returns the decision to relay a packet to another host."""
        return data.Relay(
            host_id=host_id,
            visited=(*packet.visited, self._host_id),
            upstream=upstream,
            revision=max(packet.revision, self.prepared_revision),
        )
