"""Decides what an entry host does with each packet of a tagged flow.

An opening packet, like a TCP SYN, gets an upstream; its tag is written into
the packet. Later packets are forwarded to the upstream that their tag names,
so any host can forward them. A flow is half-open until the caller's next
packet shows that the upstream has answered.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import random

import xxhash

from sapphire_core.tagged_flows import answer_timeout
from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import dead_upstreams
from sapphire_core.tagged_flows import deferred_flows
from sapphire_core.tagged_flows import flow_table
from sapphire_core.tagged_flows import half_open_flows
from sapphire_core.tagged_flows import upstream_selector
from sapphire_core.tagged_flows import upstream_table

# Grace period after a membership change. The fabric may send the caller's next
# packet to another host than its opening packet, so a missing packet is no sign
# of an unresponsive upstream; a retransmission is. The fabric polls the
# readiness of each host twice a second and acts after two failed polls.
MEMBERSHIP_GRACE_MS = 1_500
# Upstreams that an opening packet is sent to without a retransmission by the
# caller; each retransmission allows one more.
MAX_ATTEMPTS = 3
# An opening packet that arrives again within this time is a duplicate made by
# the network; callers retransmit later than that.
DUPLICATE_WINDOW_MS = 100
# A longer time between two calls of `tick` (due every 10 ms) means that this
# process stalled; packets that arrived meanwhile are still to be read.
STALL_THRESHOLD_MS = 60
# `sweep` is due about every 100 ms, also while nothing is pending.
SWEEP_STALL_THRESHOLD_MS = 250


@dataclasses.dataclass(slots=True)
class Decision:
    """A decision about one packet and its reasons, for logs and counters.

    Attributes:
        verdict: What happened to the packet.
        flow_id: The flow of the packet.
        upstream_id: The upstream concerned, empty for none.
        service: The service of that upstream, empty for none.
        detail: The inputs of the decision, by log field.
    """

    verdict: data.Verdict
    flow_id: data.FlowId
    upstream_id: str
    service: str
    detail: dict[str, str | int | float]


DecisionCallback = Callable[[Decision], None]


class Steering:
    """Selects upstreams for new flows; forwards open flows by their tags.

    Attributes:
        upstream_table: The upstreams known to this host.
        flow_table: The records of open flows.
        selector: Selects upstreams, from their load and health.

    Args:
        data_centre: The data centre of this host.
        rng: Breaks ties between equally loaded upstreams.
        on_decision: Called with each decision that changes the state of a
            flow.
    """

    def __init__(
        self,
        data_centre: str,
        rng: random.Random,
        on_decision: DecisionCallback,
    ) -> None:
        self._on_decision = on_decision
        self._configuration: data.Configuration | None = None
        self._half_open_flows = half_open_flows.HalfOpenFlows()
        self._deferred_flows = deferred_flows.DeferredFlows()
        self.upstream_table = upstream_table.UpstreamTable()
        self.flow_table = flow_table.FlowTable()
        self.selector = upstream_selector.UpstreamSelector(
            data_centre,
            rng,
            self.upstream_table,
            self.flow_table,
            self._half_open_flows,
        )
        self._answer_timeout = answer_timeout.AnswerTimeout()
        self._last_tick_ms = 0
        # When `sweep` was last called; None before the first call.
        self._last_sweep_ms: int | None = None
        self._membership_grace_until_ms = 0

    @property
    def configuration(self) -> data.Configuration | None:
        """The configuration in force on this host, None before the first."""
        return self._configuration

    def configure(self, configuration: data.Configuration) -> bool:
        """Applies a configuration if it is newer than the one in force.

        Args:
            configuration: The configuration to apply.

        Returns:
            Whether it is now in force.
        """
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return False
        self._configuration = configuration
        return True

    def has_upstreams(self, now_ms: int) -> bool:
        """Whether any configured service has an eligible upstream.

        Args:
            now_ms: The current time.
        """
        if self._configuration is None:
            return False
        for service in self._configuration.services_by_name:
            if self.upstream_table.eligible_upstreams(service, now_ms):
                return True
        return False

    def handle(self, packet: data.Packet, now_ms: int) -> data.Action:
        """Decides what to do with one packet from a caller.

        Args:
            packet: The packet as decoded.
            now_ms: The current time.

        Returns:
            What to send.
        """
        self._allow_for_stall(now_ms)
        if not self.has_pending:
            # `tick` is not called while nothing is pending; without this, the
            # next tick would take that time for a stall.
            self._last_tick_ms = now_ms
        if packet.is_opening:
            return self._handle_opening(packet, now_ms)
        return self._handle_open_flow(packet, now_ms)

    @property
    def has_pending(self) -> bool:
        """Whether there are half-open or deferred flows, which need `tick`."""
        return len(self._half_open_flows) > 0 or len(self._deferred_flows) > 0

    def _allow_for_stall(self, now_ms: int) -> None:
        """Extends all timeouts if this process has stalled.

        Packets that arrived meanwhile are read all at once. That a caller
        repeated one of them shows nothing about an upstream, since this host
        has forwarded none.
        """
        if self._last_sweep_ms is None:
            return
        stall_ms = now_ms - self._last_sweep_ms
        if stall_ms < SWEEP_STALL_THRESHOLD_MS:
            return
        self._half_open_flows.extend_timeouts(stall_ms)
        self.flow_table.extend_timeouts(stall_ms)
        self._last_sweep_ms = now_ms
        self._last_tick_ms = now_ms

    def tick(self, now_ms: int) -> list[data.Action]:
        """Fails over, releases and expires pending flows.

        To be called every 10 ms while `has_pending`.

        Args:
            now_ms: The current time.

        Returns:
            What to send.
        """
        actions: list[data.Action] = []
        stall_ms = now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        if stall_ms > STALL_THRESHOLD_MS:
            self._half_open_flows.extend_timeouts(stall_ms)
        actions.extend(self._fail_over_timed_out(now_ms))
        if len(self._deferred_flows) > 0:
            actions.extend(self._release_deferred(now_ms))
        for half_open in self._half_open_flows.pop_expired(now_ms):
            self._report_decision(
                data.Verdict.UNANSWERED,
                half_open.packet,
                half_open.tried_upstreams[-1],
                tries=len(half_open.tried_upstreams),
            )
        return actions

    def _fail_over_timed_out(self, now_ms: int) -> list[data.Action]:
        """Fails over half-open flows whose upstream did not answer in time."""
        actions: list[data.Action] = []
        for half_open in self._half_open_flows.timed_out(
            now_ms, self._answer_timeout.timeout_ms
        ):
            action = self._fail_over(half_open, now_ms, is_retransmission=False)
            if action is not None:
                actions.append(action)
        return actions

    def apply_peer_reports(
        self,
        in_flight_by_tag: Mapping[int, float],
        avoid_ms_by_tag: Mapping[int, int],
        host_count: int,
        now_ms: int,
    ) -> None:
        """Applies the reports of peers about upstreams.

        Args:
            in_flight_by_tag: The requests that peers have in flight at each
                upstream.
            avoid_ms_by_tag: How much longer some peer avoids each upstream.
            host_count: How many hosts there may be, this one included.
            now_ms: The current time.
        """
        self.selector.apply_peer_reports(
            in_flight_by_tag, avoid_ms_by_tag, now_ms
        )
        self.selector.set_host_count(
            host_count, is_partial=now_ms < self._membership_grace_until_ms
        )

    def record_membership_change(self, now_ms: int) -> None:
        """Starts the grace period after a host has joined or is leaving.

        The fabric then moves flows to other hosts.

        Args:
            now_ms: The current time.
        """
        self._membership_grace_until_ms = now_ms + MEMBERSHIP_GRACE_MS
        self._half_open_flows.record_membership_change()
        self._deferred_flows.record_membership_change()

    @property
    def deferred_count(self) -> int:
        """How many flows are deferred until an upstream has a free slot."""
        return len(self._deferred_flows)

    def sweep(self, now_ms: int) -> None:
        """Evicts expired state; to be called about every 100 ms.

        Args:
            now_ms: The current time.
        """
        self._last_sweep_ms = now_ms
        idle_timeout_ms = upstream_table.MAX_FLOW_LIFETIME_MS
        if self._configuration is not None:
            idle_timeout_ms = self._configuration.idle_timeout_ms
        self.flow_table.evict_expired(now_ms, idle_timeout_ms)
        for upstream_id in self.upstream_table.evict_expired(now_ms):
            self.selector.discard(upstream_id)

    def _handle_opening(self, packet: data.Packet, now_ms: int) -> data.Action:
        """Decides about an opening packet, first or retransmitted."""
        record = self.flow_table.get(packet.flow_id)
        if record is not None:
            if _belongs_to_open_flow(packet, record, now_ms):
                return data.Forward(
                    packet, record.entry.upstream, record.entry.tag
                )
            # The caller reuses its port for a new flow.
            self.flow_table.discard(packet.flow_id)
        half_open = self._half_open_flows.get(packet.flow_id)
        if half_open is not None:
            return self._handle_retransmission(half_open, packet, now_ms)
        deferred = self._deferred_flows.get(packet.flow_id)
        if deferred is not None:
            deferred.packet = packet
            return data.Defer(packet)
        route = self._route_for(packet)
        service = self._service_for(packet, route)
        if route is None or service is None:
            self._report_decision(data.Verdict.NO_ROUTE, packet, None)
            return data.Reset(packet, data.Verdict.NO_ROUTE)
        recently_tried = self._half_open_flows.recently_tried_by_caller(
            packet, now_ms
        )
        entry = self.selector.select(service, recently_tried, now_ms)
        if entry is None and recently_tried:
            entry = self.selector.select(service, (), now_ms)
        if entry is None:
            self._report_decision(
                data.Verdict.NO_UPSTREAM, packet, None, wanted=service.name
            )
            return data.Reset(packet, data.Verdict.NO_UPSTREAM)
        if (
            deferred_flows.has_missed_objective(packet, route)
            and not self._admits_late(entry, now_ms)
            and self._deferred_flows.has_room()
        ):
            self._deferred_flows.add(packet, service, route.priority, now_ms)
            self._report_decision(
                data.Verdict.DEFERRED,
                packet,
                entry,
                copy=packet.acknowledged,
                busy=round(self.selector.in_flight(entry), 1),
                waiting=len(self._deferred_flows),
            )
            return data.Defer(packet)
        return self._open_flow(packet, service, entry, now_ms)

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
        half_open.may_continue_at_peer = (
            now_ms < self._membership_grace_until_ms
        )
        self._half_open_flows.add(half_open)
        self._report_decision(
            data.Verdict.OPENED,
            packet,
            entry,
            copy=packet.acknowledged,
            busy=round(self.selector.in_flight(entry), 1),
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
        for deferred in self._deferred_flows.by_urgency():
            is_due = now_ms >= deferred.deadline_ms
            if is_due and not deferred.is_last_retransmission:
                self._deferred_flows.remove(deferred)
                continue
            if deferred.service.name in full_services and not is_due:
                continue
            entry = self.selector.select(deferred.service, (), now_ms)
            if entry is None and deferred.may_be_open_at_peer:
                self._deferred_flows.remove(deferred)
                continue
            if entry is None:
                self._deferred_flows.remove(deferred)
                self._report_decision(
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
            self._deferred_flows.remove(deferred)
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
        if not self.selector.has_free_slot(entry):
            return False
        service = entry.upstream.service
        return self.selector.has_own_share_left(service, now_ms)

    def _handle_retransmission(
        self,
        half_open: half_open_flows.HalfOpenFlow,
        packet: data.Packet,
        now_ms: int,
    ) -> data.Action:
        """Decides about a retransmission of the opening packet."""
        half_open.packet = packet
        half_open.retransmissions += 1
        half_open.may_continue_at_peer = (
            now_ms < self._membership_grace_until_ms
        )
        elapsed_ms = now_ms - half_open.last_sent_ms
        if elapsed_ms >= self._answer_timeout.timeout_ms:
            action = self._fail_over(half_open, now_ms, is_retransmission=True)
            if action is not None:
                return action
        last = half_open.tried_upstreams[-1]
        self._half_open_flows.record_attempt(half_open, last, now_ms)
        return data.Forward(packet, last.upstream, last.tag)

    def _fail_over(
        self,
        half_open: half_open_flows.HalfOpenFlow,
        now_ms: int,
        *,
        is_retransmission: bool,
    ) -> data.Action | None:
        """Records an unanswered attempt and tries another upstream.

        Args:
            half_open: The flow whose last upstream did not answer.
            now_ms: The current time.
            is_retransmission: Whether the caller has retransmitted, so that it
                is known to be still waiting.

        Returns:
            The next attempt, None if there is no further upstream to try.
        """
        last = half_open.tried_upstreams[-1]
        if is_retransmission or len(half_open.tried_upstreams) == 1:
            # After a fail-over without a retransmission, a timeout says nothing
            # about the later upstream: the first one may have reset the flow,
            # and the caller then answers none of the others.
            self.selector.record_unanswered(
                last, half_open.last_sent_ms, now_ms
            )
        self._half_open_flows.mark_timed_out(half_open)
        if (
            len(half_open.tried_upstreams)
            >= MAX_ATTEMPTS + half_open.retransmissions
        ):
            return None
        service = self._find_service(half_open.service)
        if service is None:
            return None
        entry = self.selector.select(
            service, half_open.tried_upstream_ids, now_ms
        )
        if entry is None:
            return None
        self._half_open_flows.record_attempt(half_open, entry, now_ms)
        self._report_decision(
            data.Verdict.FAILED_OVER,
            half_open.packet,
            entry,
            silent=last.upstream.upstream_id,
            waited_ms=now_ms - half_open.first_seen_ms,
        )
        return data.Forward(half_open.packet, entry.upstream, entry.tag)

    def _handle_open_flow(
        self, packet: data.Packet, now_ms: int
    ) -> data.Action:
        """Decides about a packet after the opening packet of its flow."""
        deferred = self._deferred_flows.get(packet.flow_id)
        if deferred is not None:
            # A peer has forwarded another copy of its opening packet.
            self._deferred_flows.remove(deferred)
        record = self.flow_table.get(packet.flow_id)
        if record is None:
            record = self._record_flow(packet, now_ms)
        if record is None:
            self._report_decision(
                data.Verdict.UNKNOWN_TAG, packet, None, tag=packet.tag
            )
            return data.Drop(packet, data.Verdict.UNKNOWN_TAG)
        self.flow_table.observe(packet, record, now_ms)
        entry = record.entry
        if packet.is_reset or (packet.is_closing and not record.is_closed):
            record.is_closed = True
            self._report_decision(
                data.Verdict.CLOSED,
                packet,
                entry,
                by_reset=int(packet.is_reset),
                age_ms=now_ms - record.first_seen_ms,
                repeats=record.retransmissions,
            )
        if packet.is_reset or packet.is_closing:
            return data.Forward(packet, entry.upstream, entry.tag)
        evidence = dead_upstreams.evidence_against(
            record, self.flow_table, now_ms
        )
        if evidence is not None:
            self._report_stalled(
                data.Verdict.UPSTREAM_GONE,
                packet,
                record,
                now_ms,
                evidence=evidence.value,
            )
            self.flow_table.discard(packet.flow_id)
            return data.Reset(packet, data.Verdict.UPSTREAM_GONE)
        if record.is_stalled and not record.is_stall_reported:
            record.is_stall_reported = True
            self._report_stalled(data.Verdict.STALLED, packet, record, now_ms)
        return data.Forward(packet, entry.upstream, entry.tag)

    def _report_stalled(
        self,
        verdict: data.Verdict,
        packet: data.Packet,
        record: flow_table.FlowRecord,
        now_ms: int,
        **detail: str,
    ) -> None:
        """Reports a flow that is stalled or reset, with what points to whom.

        `observer` names who left an opening packet unanswered: this host or
        only a peer. `stalled_elsewhere` points to the path of this host.
        """
        entry = record.entry
        removed_ms = entry.removed_ms
        self._report_decision(
            verdict,
            packet,
            entry,
            **detail,
            repeats=record.retransmissions,
            waited_ms=now_ms - record.last_new_data_ms,
            removed_ms=-1 if removed_ms is None else now_ms - removed_ms,
            silent_openings=self.selector.unanswered_openings(entry, now_ms),
            observer=self.selector.unresponsive_observer(entry, now_ms),
            stalled_elsewhere=self.flow_table.has_stalled_elsewhere(
                entry, now_ms
            ),
        )

    def _record_flow(
        self, packet: data.Packet, now_ms: int
    ) -> flow_table.FlowRecord | None:
        """Adds a flow to the flow table, with the upstream of its tag.

        Args:
            packet: The first packet after the opening packet that this host
                sees of the flow.
            now_ms: The current time.

        Returns:
            The record, None if the tag is unknown.
        """
        half_open = self._half_open_flows.pop(packet.flow_id)
        entry = self.upstream_table.by_tag(packet.tag)
        if (
            entry is None
            and half_open is not None
            and packet.tag == data.NO_TAG
        ):
            # The caller gives the flow up before any answer has reached it.
            entry = half_open.tried_upstreams[-1]
        if entry is None:
            return None
        if half_open is not None and packet.tag == entry.tag:
            self.selector.record_answered(entry, now_ms)
            if len(half_open.tried_upstreams) == 1 and (
                half_open.retransmissions == 0
            ):
                self._answer_timeout.record(now_ms - half_open.first_seen_ms)
            self._report_decision(
                data.Verdict.ANSWERED,
                packet,
                entry,
                waited_ms=now_ms - half_open.first_seen_ms,
                tries=len(half_open.tried_upstreams),
            )
        return self.flow_table.add(packet.flow_id, entry, now_ms)

    def _route_for(self, packet: data.Packet) -> data.Route | None:
        """Returns the route of a new flow, None if there is none."""
        if self._configuration is None:
            return None
        return self._configuration.routes_by_endpoint.get(
            packet.flow_id.endpoint
        )

    def _service_for(
        self, packet: data.Packet, route: data.Route | None
    ) -> data.Service | None:
        """Returns the service for a new flow, None without a route.

        The flow's hash selects among the weighted services, so all
        retransmissions of an opening packet get the same service. The hash
        covers the names of the fields of `FlowId`: a rename changes it.
        """
        if route is None:
            return None
        if len(route.shares) == 1:
            return self._find_service(route.shares[0].service)
        total = sum(share.weight for share in route.shares)
        point = xxhash.xxh32_intdigest(repr(packet.flow_id).encode()) % total
        for share in route.shares:
            point -= share.weight
            if point < 0:
                return self._find_service(share.service)
        return None

    def _find_service(self, name: str) -> data.Service | None:
        """Returns a service by its name, None if it is not configured."""
        if self._configuration is None:
            return None
        return self._configuration.services_by_name.get(name)

    def _report_decision(
        self,
        verdict: data.Verdict,
        packet: data.Packet,
        entry: upstream_table.Entry | None,
        **detail: str | int | float,
    ) -> None:
        """Passes a decision and the log fields in `detail` to the callback."""
        self._on_decision(
            Decision(
                verdict,
                packet.flow_id,
                entry.upstream.upstream_id if entry is not None else "",
                entry.upstream.service if entry is not None else "",
                detail,
            )
        )


def _belongs_to_open_flow(
    packet: data.Packet, record: flow_table.FlowRecord, now_ms: int
) -> bool:
    """Whether an opening packet is a late copy for a flow that is open.

    The copy is a duplicate made by the network or a retransmission. Otherwise
    the caller has reused its port for a new flow.
    """
    if packet.acknowledged == 0:
        return now_ms - record.first_seen_ms < DUPLICATE_WINDOW_MS
    return now_ms - record.first_seen_ms < half_open_flows.OPENING_TIMEOUT_MS
