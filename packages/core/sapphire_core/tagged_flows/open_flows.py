"""Decides about the packets of open flows, which their tags lead.

Any host can forward such a packet to the upstream that its tag names. A flow is
reset only if its upstream has gone, see `dead_upstreams`.
"""

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import decisions as decisions_lib
from sapphire_core.tagged_flows import service_routing
from sapphire_core.tagged_flows import upstream_table as upstream_table_lib
from sapphire_core.tagged_flows.flows import flow_pins as flow_pins_lib
from sapphire_core.tagged_flows.flows import flow_table as flow_table_lib
from sapphire_core.tagged_flows.health import dead_upstreams
from sapphire_core.tagged_flows.health import path_time as path_time_lib
from sapphire_core.tagged_flows.health import request_outcomes
from sapphire_core.tagged_flows.openings import (
    answer_timeout as answer_timeout_lib,
)
from sapphire_core.tagged_flows.openings import deferred_flows
from sapphire_core.tagged_flows.openings import (
    failover_budget as failover_budget_lib,
)
from sapphire_core.tagged_flows.openings import half_open_flows
from sapphire_core.tagged_flows.openings import (
    load_shedding as load_shedding_lib,
)
from sapphire_core.tagged_flows.openings import upstream_selector


class OpenFlows:
    """Forwards the packets of open flows by their tags.

    Args:
        upstream_table: The upstreams known to this host.
        flow_table: The records of open flows.
        flow_pins: The upstreams of flows that two may have answered.
        half_open: The half-open flows of this host.
        deferred: The flows held until an upstream has a free slot.
        selector: Learns from answers that upstreams respond.
        answer_timeout: Learns how long upstreams take to answer.
        outcomes: Learns what became of requests.
        path_time: Learns how long packets take on the way.
        load_shedding: Learns how long responses take.
        routing: The configuration in force.
        failover_budget: Learns which upstreams answer.
        decisions: Gets each decision that changes the state of a flow.
    """

    def __init__(
        self,
        *,
        upstream_table: upstream_table_lib.UpstreamTable,
        flow_table: flow_table_lib.FlowTable,
        flow_pins: flow_pins_lib.FlowPins,
        half_open: half_open_flows.HalfOpenFlows,
        deferred: deferred_flows.DeferredFlows,
        selector: upstream_selector.UpstreamSelector,
        answer_timeout: answer_timeout_lib.AnswerTimeout,
        outcomes: request_outcomes.RequestOutcomes,
        path_time: path_time_lib.PathTime,
        load_shedding: load_shedding_lib.LoadShedding,
        routing: service_routing.ServiceRouting,
        failover_budget: failover_budget_lib.FailoverBudget,
        decisions: decisions_lib.DecisionReporter,
    ) -> None:
        self._upstream_table = upstream_table
        self._flow_table = flow_table
        self._flow_pins = flow_pins
        self._half_open = half_open
        self._deferred = deferred
        self._selector = selector
        self._answer_timeout = answer_timeout
        self._outcomes = outcomes
        self._path_time = path_time
        self._load_shedding = load_shedding
        self._routing = routing
        self._failover_budget = failover_budget
        self._decisions = decisions

    def handle(self, packet: data.Packet, now_ms: int) -> data.Action:
        """Decides about a packet after the opening packet of its flow.

        Args:
            packet: The packet.
            now_ms: The current time.

        Returns:
            What to send.
        """
        deferred = self._deferred.get(packet.flow_id)
        if deferred is not None:
            # A peer has forwarded another copy of its opening packet.
            self._deferred.remove(deferred)
        record = self._flow_table.get(packet.flow_id)
        if record is None:
            record = self._record_flow(packet, now_ms)
        if record is None:
            self._decisions.report(
                data.Verdict.UNKNOWN_TAG, packet, None, tag=packet.tag
            )
            return data.Drop(packet, data.Verdict.UNKNOWN_TAG)
        self._flow_table.observe(packet, record, now_ms)
        entry = record.entry
        response_ms = self._outcomes.observe(packet, entry, now_ms)
        if response_ms is not None:
            self._record_response(packet, entry, response_ms, now_ms)
        if (
            packet.tag not in (entry.tag, data.NO_TAG)
            and not record.is_second_answer_reported
        ):
            record.is_second_answer_reported = True
            self._flow_pins.record_upstream(packet, entry.tag, now_ms)
            self._decisions.report(
                data.Verdict.SECOND_ANSWER,
                packet,
                entry,
                tag=packet.tag,
                age_ms=now_ms - record.first_seen_ms,
            )
        if packet.is_reset or (packet.is_closing and not record.is_closed):
            record.is_closed = True
            self._decisions.report(
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
            record, self._flow_table, now_ms
        )
        if evidence is not None:
            self._report_stalled(
                data.Verdict.UPSTREAM_GONE,
                packet,
                record,
                now_ms,
                evidence=evidence.value,
            )
            self._flow_table.discard(packet.flow_id)
            return data.Reset(packet, data.Verdict.UPSTREAM_GONE)
        if record.is_stalled and not record.is_stall_reported:
            record.is_stall_reported = True
            self._report_stalled(data.Verdict.STALLED, packet, record, now_ms)
        return data.Forward(packet, entry.upstream, entry.tag)

    def answer_peers(self, now_ms: int) -> None:
        """Pins the flows that peers ask for, if this host has their records.

        The next packet of a half-open flow may have come to this host, while
        the one that took the opening packet tried further upstreams.

        Args:
            now_ms: The current time.
        """
        for flow_id in self._flow_pins.take_asked():
            record = self._flow_table.get(flow_id)
            if record is not None and record.acknowledged:
                self._flow_pins.record_upstream(
                    _last_acknowledgement(flow_id, record),
                    record.entry.tag,
                    now_ms,
                )

    def reset_waiting_in_vain(self, now_ms: int) -> list[data.Action]:
        """Resets flows whose callers wait for a response of a dead upstream.

        Args:
            now_ms: The current time.

        Returns:
            The resets.
        """
        actions: list[data.Action] = []
        for flow_id, record in dead_upstreams.waiting_in_vain(
            self._upstream_table,
            self._flow_table,
            self._outcomes.longest_usual_ms,
            now_ms,
        ):
            packet = _last_acknowledgement(flow_id, record)
            self._report_stalled(
                data.Verdict.UPSTREAM_GONE,
                packet,
                record,
                now_ms,
                evidence=dead_upstreams.Evidence.REMOVED.value,
                asked="no",
            )
            self._flow_table.discard(flow_id)
            actions.append(data.Reset(packet, data.Verdict.UPSTREAM_GONE))
        return actions

    def _record_response(
        self,
        packet: data.Packet,
        entry: upstream_table_lib.Entry,
        response_ms: int,
        now_ms: int,
    ) -> None:
        """Records a response time, unless the route is gone."""
        route = self._routing.route_for(packet)
        if route is not None:
            self._load_shedding.record_response(
                entry.upstream.service, route, response_ms, now_ms
            )

    def _report_stalled(
        self,
        verdict: data.Verdict,
        packet: data.Packet,
        record: flow_table_lib.FlowRecord,
        now_ms: int,
        **detail: str,
    ) -> None:
        """Reports a flow that is stalled or reset, with what points to whom.

        `observer` names who left an opening packet unanswered: this host or
        only a peer. `stalled_elsewhere` points to the path of this host.
        """
        entry = record.entry
        removed_ms = entry.removed_ms
        self._decisions.report(
            verdict,
            packet,
            entry,
            **detail,
            repeats=record.retransmissions,
            waited_ms=now_ms - record.last_new_data_ms,
            removed_ms=-1 if removed_ms is None else now_ms - removed_ms,
            silent_openings=self._selector.unanswered_openings(entry, now_ms),
            observer=self._selector.unresponsive_observer(entry, now_ms),
            stalled_elsewhere=self._flow_table.has_stalled_elsewhere(
                entry, now_ms
            ),
            repeated_elsewhere=round(
                self._flow_table.repeated_share_elsewhere(entry, now_ms), 2
            ),
        )

    def _record_flow(
        self, packet: data.Packet, now_ms: int
    ) -> flow_table_lib.FlowRecord | None:
        """Adds a flow to the flow table, with its pinned upstream.

        Without a pin, that is the upstream of its tag.

        Args:
            packet: The first packet after the opening packet that this host
                sees of the flow.
            now_ms: The current time.

        Returns:
            The record, None if the tag is unknown.
        """
        half_open = self._half_open.pop(packet.flow_id)
        pinned_tag = self._flow_pins.tag_of(packet)
        tag = packet.tag if pinned_tag is None else pinned_tag
        entry = self._upstream_table.by_tag(tag)
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
            self._selector.record_answered(entry, now_ms)
            self._failover_budget.record_outcome(
                entry.upstream.upstream_id, now_ms, is_silent=False
            )
            answer_ms = now_ms - half_open.first_seen_ms
            if len(half_open.tried_upstreams) == 1 and (
                half_open.retransmissions == 0
            ):
                self._answer_timeout.record(answer_ms)
            self._path_time.record(answer_ms, now_ms)
            self._decisions.report(
                data.Verdict.ANSWERED,
                packet,
                entry,
                waited_ms=answer_ms,
                tries=len(half_open.tried_upstreams),
            )
        if packet.tag == entry.tag and self._flow_pins.is_unresolved(
            packet.flow_id
        ):
            self._flow_pins.record_upstream(packet, entry.tag, now_ms)
        return self._flow_table.add(packet.flow_id, entry, now_ms)


def _last_acknowledgement(
    flow_id: data.FlowId, record: flow_table_lib.FlowRecord
) -> data.Packet:
    """Returns a packet in which a caller acknowledges what it has received."""
    return data.Packet(
        flow_id,
        False,
        False,
        False,
        record.entry.tag,
        record.next_sequence,
        record.acknowledged,
        0,
        b"",
    )
