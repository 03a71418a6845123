"""Decides about opening packets: to which upstream a new flow goes.

A flow is half-open until the caller's next packet shows that the upstream has
answered. Until then its opening packet fails over to other upstreams. Flows
that are late already are deferred while their service has no free slot.
"""

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import decisions as decisions_lib
from sapphire_core.tagged_flows import service_routing
from sapphire_core.tagged_flows import upstream_table
from sapphire_core.tagged_flows.flows import flow_pins as flow_pins_lib
from sapphire_core.tagged_flows.flows import flow_table as flow_table_lib
from sapphire_core.tagged_flows.openings import (
    answer_timeout as answer_timeout_lib,
)
from sapphire_core.tagged_flows.openings import deferred_flows
from sapphire_core.tagged_flows.openings import (
    failover_budget as failover_budget_lib,
)
from sapphire_core.tagged_flows.openings import failovers as failovers_lib
from sapphire_core.tagged_flows.openings import half_open_flows
from sapphire_core.tagged_flows.openings import (
    load_shedding as load_shedding_lib,
)
from sapphire_core.tagged_flows.openings import upstream_selector

# Grace period after a membership change. The fabric may send the caller's next
# packet to another host than its opening packet, so a missing packet is no sign
# of an unresponsive upstream; a retransmission is. The fabric polls the
# readiness of each host twice a second and acts after two failed polls.
MEMBERSHIP_GRACE_MS = 1_500
# An opening packet that arrives again within this time is a duplicate made by
# the network; callers retransmit later than that.
DUPLICATE_WINDOW_MS = 100
# A longer time between two calls of `tick` (due every 10 ms) means that this
# process stalled; packets that arrived meanwhile are still to be read.
STALL_THRESHOLD_MS = 60
# After a longer pause, what peers have reported is too old to act on (their
# counts hold in full for a second), and their news are still to be read.
PAUSE_THRESHOLD_MS = 1_000


class Openings:
    """Opens new flows at upstreams, and fails over while none has answered.

    Attributes:
        half_open: The half-open flows of this host.
        deferred: The flows held until an upstream has a free slot.

    Args:
        routing: The configuration in force.
        flow_table: The records of open flows.
        flow_pins: The upstreams of flows that two may have answered.
        half_open: The half-open flows of this host.
        selector: Selects upstreams, from their load and health.
        answer_timeout: How long an upstream has to answer.
        failover_budget: Limits the tries that no caller has asked for.
        load_shedding: Refuses openings while a service responds too late.
        decisions: Gets each decision.
    """

    def __init__(
        self,
        *,
        routing: service_routing.ServiceRouting,
        flow_table: flow_table_lib.FlowTable,
        flow_pins: flow_pins_lib.FlowPins,
        half_open: half_open_flows.HalfOpenFlows,
        selector: upstream_selector.UpstreamSelector,
        answer_timeout: answer_timeout_lib.AnswerTimeout,
        failover_budget: failover_budget_lib.FailoverBudget,
        load_shedding: load_shedding_lib.LoadShedding,
        decisions: decisions_lib.DecisionReporter,
    ) -> None:
        self._routing = routing
        self._flow_table = flow_table
        self._flow_pins = flow_pins
        self.half_open = half_open
        self.deferred = deferred_flows.DeferredFlows()
        self._selector = selector
        self._answer_timeout = answer_timeout
        self._failover_budget = failover_budget
        self._load_shedding = load_shedding
        self._failovers = failovers_lib.Failovers(
            routing=routing,
            flow_pins=flow_pins,
            half_open=half_open,
            selector=selector,
            answer_timeout=answer_timeout,
            failover_budget=failover_budget,
            decisions=decisions,
        )
        self._decisions = decisions
        self._last_tick_ms = 0
        self._membership_grace_until_ms = 0
        self._no_shedding_until_ms = 0

    @property
    def has_pending(self) -> bool:
        """Whether there are half-open or deferred flows, which need `tick`."""
        return len(self.half_open) > 0 or len(self.deferred) > 0

    def record_running(self, now_ms: int) -> None:
        """Records that this process runs, though no tick is due.

        `tick` is not called while nothing is pending; without this, the next
        tick would take that time for a stall.

        Args:
            now_ms: The current time.
        """
        self._last_tick_ms = now_ms

    def record_membership_change(self, now_ms: int) -> None:
        """Starts the grace period after a host has joined or is leaving.

        The fabric then moves flows to other hosts.

        Args:
            now_ms: The current time.
        """
        self._membership_grace_until_ms = now_ms + MEMBERSHIP_GRACE_MS
        self.half_open.record_membership_change()
        self.deferred.record_membership_change()

    def is_membership_changing(self, now_ms: int) -> bool:
        """Whether the grace period after a membership change lasts.

        Args:
            now_ms: The current time.
        """
        return now_ms < self._membership_grace_until_ms

    def tick(self, now_ms: int) -> list[data.Action]:
        """Fails over, releases and expires pending flows.

        Args:
            now_ms: The current time.

        Returns:
            What to send.
        """
        actions: list[data.Action] = []
        stall_ms = now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        if stall_ms > STALL_THRESHOLD_MS:
            self.half_open.extend_timeouts(stall_ms)
        self._expire(now_ms)
        if stall_ms > PAUSE_THRESHOLD_MS:
            # Upstreams may have left, and callers may have gone on at a peer.
            return actions
        actions.extend(self._failovers.fail_over_timed_out(now_ms))
        if len(self.deferred) > 0:
            actions.extend(self._release_deferred(now_ms))
        return actions

    def _expire(self, now_ms: int) -> None:
        """Discards the flows whose callers have timed out."""
        for half_open in self.half_open.pop_expired(now_ms):
            self._decisions.report(
                data.Verdict.UNANSWERED,
                half_open.packet,
                half_open.tried_upstreams[-1],
                tries=len(half_open.tried_upstreams),
            )
        for deferred in self.deferred.pop_expired(now_ms):
            self._decisions.report(
                data.Verdict.GIVEN_UP,
                deferred.packet,
                None,
                wanted=deferred.service.name,
            )

    def handle(self, packet: data.Packet, now_ms: int) -> data.Action:
        """Decides about an opening packet, first or retransmitted.

        Args:
            packet: The opening packet.
            now_ms: The current time.

        Returns:
            What to send.
        """
        record = self._flow_table.get(packet.flow_id)
        if record is not None:
            if _belongs_to_open_flow(packet, record, now_ms):
                return data.Forward(
                    packet, record.entry.upstream, record.entry.tag
                )
            # The caller reuses its port for a new flow.
            self._flow_table.discard(packet.flow_id)
        half_open = self.half_open.get(packet.flow_id)
        if half_open is not None:
            return self._handle_retransmission(half_open, packet, now_ms)
        deferred = self.deferred.get(packet.flow_id)
        if deferred is not None:
            deferred.packet = packet
            return data.Defer(packet)
        if packet.acknowledged > 0:
            # A peer may have forwarded an earlier copy, to another upstream.
            self._flow_pins.record_ambiguous(packet.flow_id, now_ms)
        else:
            self._flow_pins.discard(packet.flow_id)
        route = self._routing.route_for(packet)
        service = self._routing.service_for(packet, route)
        if route is None or service is None:
            self._decisions.report(data.Verdict.NO_ROUTE, packet, None)
            return data.Reset(packet, data.Verdict.NO_ROUTE)
        recently_tried = self.half_open.recently_tried_by_caller(packet, now_ms)
        entry = self._selector.select(service, recently_tried, now_ms)
        if entry is None and recently_tried:
            entry = self._selector.select(service, (), now_ms)
        if entry is None:
            self._decisions.report(
                data.Verdict.NO_UPSTREAM, packet, None, wanted=service.name
            )
            return data.Reset(packet, data.Verdict.NO_UPSTREAM)
        if (
            deferred_flows.has_missed_objective(packet, route)
            and not self._admits_late(entry, now_ms)
            and self.deferred.has_room()
        ):
            self.deferred.add(packet, service, route.priority, now_ms)
            self._decisions.report(
                data.Verdict.DEFERRED,
                packet,
                entry,
                copy=packet.acknowledged,
                busy=round(self._selector.in_flight(entry), 1),
                waiting=len(self.deferred),
            )
            return data.Defer(packet)
        if self._is_shed(packet, route, service, now_ms):
            self._decisions.report(
                data.Verdict.SHED,
                packet,
                None,
                wanted=service.name,
                late=round(self._load_shedding.target_ratio(service.name), 2),
            )
            return data.Reset(packet, data.Verdict.SHED)
        return self._open_flow(packet, service, entry, now_ms)

    def _is_shed(
        self,
        packet: data.Packet,
        route: data.Route,
        service: data.Service,
        now_ms: int,
    ) -> bool:
        """Whether a flow is refused since its service responds too late.

        Only the first copy of an opening packet is refused: an earlier copy may
        have opened the flow through a peer. For the same reason nothing is
        refused just after a stall of this process. A host that uses less than
        its share of the slots refuses nothing.
        """
        if packet.acknowledged > 0 or now_ms < self._no_shedding_until_ms:
            return False
        if not self._load_shedding.draws_refusal(service.name, route, now_ms):
            return False
        usual_in_flight = self._load_shedding.usual_in_flight(
            service.name, now_ms
        )
        return not self._selector.has_own_share_left(
            service.name, now_ms, max(1.0, usual_in_flight)
        )

    def record_stall(self, now_ms: int) -> None:
        """Records that this process has not run for some time.

        Args:
            now_ms: The current time.
        """
        self._no_shedding_until_ms = now_ms + half_open_flows.OPENING_TIMEOUT_MS
        self.record_running(now_ms)

    def _open_flow(
        self,
        packet: data.Packet,
        service: data.Service,
        entry: upstream_table.Entry,
        now_ms: int,
    ) -> data.Action:
        """Forwards an opening packet to the first upstream selected for it."""
        half_open = half_open_flows.HalfOpenFlow(
            packet, service.name, now_ms, now_ms, [entry]
        )
        half_open.may_continue_at_peer = self.is_membership_changing(now_ms)
        self.half_open.add(half_open)
        self._failover_budget.record_opening(service.name)
        self._decisions.report(
            data.Verdict.OPENED,
            packet,
            entry,
            copy=packet.acknowledged,
            busy=round(self._selector.in_flight(entry), 1),
            peers_busy=round(self._selector.peer_in_flight(entry), 1),
            peers_ms=self._selector.reports_age_ms(now_ms),
        )
        return data.Forward(packet, entry.upstream, entry.tag)

    def _release_deferred(self, now_ms: int) -> list[data.Action]:
        """Opens deferred flows for which an upstream has a free slot.

        At its deadline a flow is opened in any case if its caller sends no
        further retransmission; otherwise it is discarded, and the next
        retransmission opens it.
        """
        actions: list[data.Action] = []
        full_services: set[str] = set()
        for deferred in self.deferred.by_urgency():
            is_due = now_ms >= deferred.deadline_ms
            if is_due and not deferred.is_last_retransmission:
                self.deferred.remove(deferred)
                continue
            if deferred.service.name in full_services and not is_due:
                continue
            entry = self._selector.select(deferred.service, (), now_ms)
            if entry is None and deferred.may_be_open_at_peer:
                self.deferred.remove(deferred)
                continue
            if entry is None:
                self.deferred.remove(deferred)
                self._decisions.report(
                    data.Verdict.NO_UPSTREAM,
                    deferred.packet,
                    None,
                    wanted=deferred.service.name,
                )
                actions.append(
                    data.Reset(deferred.packet, data.Verdict.NO_UPSTREAM)
                )
                continue
            if not is_due and not self._admits_late(entry, now_ms):
                full_services.add(deferred.service.name)
                continue
            self.deferred.remove(deferred)
            actions.append(
                self._open_flow(
                    deferred.packet, deferred.service, entry, now_ms
                )
            )
        return actions

    def _admits_late(self, entry: upstream_table.Entry, now_ms: int) -> bool:
        """Whether the best upstream for a late flow has a slot for it.

        What peers report of their load is older than a request lasts, and just
        after a common start they have reported nothing. A host therefore also
        keeps to its own share of the slots of the service.
        """
        if not self._selector.has_free_slot(entry):
            return False
        service = entry.upstream.service
        return self._selector.has_own_share_left(service, now_ms)

    def _handle_retransmission(
        self,
        half_open: half_open_flows.HalfOpenFlow,
        packet: data.Packet,
        now_ms: int,
    ) -> data.Action:
        """Decides about a retransmission of the opening packet."""
        half_open.packet = packet
        half_open.retransmissions += 1
        half_open.may_continue_at_peer = self.is_membership_changing(now_ms)
        elapsed_ms = now_ms - half_open.last_sent_ms
        if elapsed_ms >= self._answer_timeout.timeout_ms:
            action = self._failovers.fail_over(
                half_open, now_ms, is_retransmission=True
            )
            if action is not None:
                return action
        last = half_open.tried_upstreams[-1]
        self.half_open.record_attempt(half_open, last, now_ms)
        return data.Forward(packet, last.upstream, last.tag)


def _belongs_to_open_flow(
    packet: data.Packet, record: flow_table_lib.FlowRecord, now_ms: int
) -> bool:
    """Whether an opening packet is a late copy for a flow that is open.

    The copy is a duplicate made by the network or a retransmission. Otherwise
    the caller has reused its port for a new flow.
    """
    if packet.acknowledged == 0:
        return now_ms - record.first_seen_ms < DUPLICATE_WINDOW_MS
    return now_ms - record.first_seen_ms < half_open_flows.OPENING_TIMEOUT_MS
