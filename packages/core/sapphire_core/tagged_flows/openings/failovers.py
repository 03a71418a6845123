"""Fails over opening packets to other upstreams while none has answered."""

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import decisions as decisions_lib
from sapphire_core.tagged_flows import service_routing
from sapphire_core.tagged_flows.flows import flow_pins as flow_pins_lib
from sapphire_core.tagged_flows.openings import (
    answer_timeout as answer_timeout_lib,
)
from sapphire_core.tagged_flows.openings import (
    failover_budget as failover_budget_lib,
)
from sapphire_core.tagged_flows.openings import half_open_flows
from sapphire_core.tagged_flows.openings import upstream_selector

# Upstreams that an opening packet is sent to without a retransmission by the
# caller; each retransmission allows one more.
MAX_ATTEMPTS = 3


class Failovers:
    """Tries further upstreams for half-open flows.

    Args:
        routing: The configuration in force.
        flow_pins: The upstreams of flows that two may have answered.
        half_open: The half-open flows of this host.
        selector: Selects upstreams, from their load and health.
        answer_timeout: How long an upstream has to answer.
        failover_budget: Limits the tries that no caller has asked for.
        decisions: Gets each decision.
    """

    def __init__(
        self,
        *,
        routing: service_routing.ServiceRouting,
        flow_pins: flow_pins_lib.FlowPins,
        half_open: half_open_flows.HalfOpenFlows,
        selector: upstream_selector.UpstreamSelector,
        answer_timeout: answer_timeout_lib.AnswerTimeout,
        failover_budget: failover_budget_lib.FailoverBudget,
        decisions: decisions_lib.DecisionReporter,
    ) -> None:
        self._routing = routing
        self._flow_pins = flow_pins
        self._half_open_flows = half_open
        self._selector = selector
        self._answer_timeout = answer_timeout
        self._failover_budget = failover_budget
        self._decisions = decisions

    def fail_over(
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
            self._selector.record_unanswered(
                last, half_open.last_sent_ms, now_ms
            )
            self._failover_budget.record_outcome(
                last.upstream.upstream_id, now_ms, is_silent=True
            )
        self._half_open_flows.mark_timed_out(half_open)
        if (
            len(half_open.tried_upstreams)
            >= MAX_ATTEMPTS + half_open.retransmissions
        ):
            return None
        service = self._routing.find_service(half_open.service)
        if service is None:
            return None
        entry = self._selector.select(
            service, half_open.tried_upstream_ids, now_ms
        )
        if entry is None:
            return None
        if not is_retransmission and self._is_spared(half_open, now_ms):
            return None
        self._half_open_flows.record_attempt(half_open, entry, now_ms)
        self._flow_pins.record_ambiguous(half_open.packet.flow_id, now_ms)
        self._decisions.report(
            data.Verdict.FAILED_OVER,
            half_open.packet,
            entry,
            silent=last.upstream.upstream_id,
            waited_ms=now_ms - half_open.first_seen_ms,
        )
        return data.Forward(half_open.packet, entry.upstream, entry.tag)

    def _is_spared(
        self, half_open: half_open_flows.HalfOpenFlow, now_ms: int
    ) -> bool:
        """Whether a flow gets no second try until its caller retransmits."""
        last = half_open.tried_upstreams[-1]
        last_active_ms = last.last_active_ms
        if last_active_ms is not None and (
            last_active_ms > half_open.last_sent_ms
        ):
            # The upstream is alive. It has probably answered, and would be the
            # first of two that do.
            reason = "upstream_active"
        else:
            refusal = self._failover_budget.take(half_open.service, now_ms)
            if refusal is None:
                return False
            reason = refusal.value
        self._decisions.report(
            data.Verdict.SPARED, half_open.packet, last, reason=reason
        )
        return True

    def fail_over_timed_out(self, now_ms: int) -> list[data.Action]:
        """Fails over half-open flows whose upstream did not answer in time.

        Args:
            now_ms: The current time.

        Returns:
            What to send.
        """
        actions: list[data.Action] = []
        for half_open in self._half_open_flows.timed_out(
            now_ms, self._answer_timeout.timeout_ms
        ):
            if self._flow_pins.is_resolved(half_open.packet.flow_id):
                # The caller has gone on at a peer.
                self._half_open_flows.pop(half_open.packet.flow_id)
                continue
            action = self.fail_over(half_open, now_ms, is_retransmission=False)
            if action is not None:
                actions.append(action)
        return actions
