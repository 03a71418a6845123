"""Decides what an entry host does with each packet of a tagged flow.

An opening packet, like a TCP SYN, gets an upstream; its tag is written into
the packet. Later packets are forwarded to the upstream that their tag names,
so any host can forward them. A flow is half-open until the caller's next
packet shows that the upstream has answered.
"""

from collections.abc import Mapping
import random

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import decisions as decisions_lib
from sapphire_core.tagged_flows import open_flows
from sapphire_core.tagged_flows import service_routing
from sapphire_core.tagged_flows import upstream_table
from sapphire_core.tagged_flows.flows import flow_pins as flow_pins_lib
from sapphire_core.tagged_flows.flows import flow_table
from sapphire_core.tagged_flows.health import ejection_control
from sapphire_core.tagged_flows.health import path_time as path_time_lib
from sapphire_core.tagged_flows.openings import (
    answer_timeout as answer_timeout_lib,
)
from sapphire_core.tagged_flows.openings import (
    failover_budget as failover_budget_lib,
)
from sapphire_core.tagged_flows.openings import half_open_flows
from sapphire_core.tagged_flows.openings import (
    load_shedding as load_shedding_lib,
)
from sapphire_core.tagged_flows.openings import openings
from sapphire_core.tagged_flows.openings import reachability
from sapphire_core.tagged_flows.openings import upstream_selector

# `sweep` is due about every 100 ms, also while nothing is pending.
SWEEP_STALL_THRESHOLD_MS = 250


class Steering:
    """Selects upstreams for new flows; forwards open flows by their tags.

    Attributes:
        upstream_table: The upstreams known to this host.
        flow_table: The records of open flows.
        flow_pins: The upstreams of flows that two may have answered.
        selector: Selects upstreams, from their load and health.
        ejection_control: Ejects upstreams by what became of requests there.
        reachability: Whether this host can reach any upstream.

    Args:
        data_centre: The data centre of this host.
        rng: Breaks ties between equally loaded upstreams.
        on_decision: Called with each decision that changes the state of a
            flow.
        flow_pins: The pins, if other tasks of the host share them.
    """

    def __init__(
        self,
        data_centre: str,
        rng: random.Random,
        on_decision: decisions_lib.DecisionCallback,
        flow_pins: flow_pins_lib.FlowPins | None = None,
    ) -> None:
        decisions = decisions_lib.DecisionReporter(on_decision)
        half_open = half_open_flows.HalfOpenFlows()
        answer_timeout = answer_timeout_lib.AnswerTimeout()
        failover_budget = failover_budget_lib.FailoverBudget()
        path_time = path_time_lib.PathTime()
        load_shedding = load_shedding_lib.LoadShedding(rng)
        self._routing = service_routing.ServiceRouting()
        self.upstream_table = upstream_table.UpstreamTable()
        self.flow_table = flow_table.FlowTable()
        if flow_pins is None:
            flow_pins = flow_pins_lib.FlowPins()
        self.flow_pins = flow_pins
        self.selector = upstream_selector.UpstreamSelector(
            data_centre, rng, self.upstream_table, self.flow_table, half_open
        )
        self.ejection_control = ejection_control.EjectionControl(
            self.upstream_table,
            self.selector.ejection,
            self.selector.in_flight,
            path_time,
        )
        self.reachability = reachability.Reachability(
            data_centre, self.upstream_table, failover_budget
        )
        self._openings = openings.Openings(
            routing=self._routing,
            flow_table=self.flow_table,
            flow_pins=flow_pins,
            half_open=half_open,
            selector=self.selector,
            answer_timeout=answer_timeout,
            failover_budget=failover_budget,
            load_shedding=load_shedding,
            decisions=decisions,
        )
        self._open_flows = open_flows.OpenFlows(
            upstream_table=self.upstream_table,
            flow_table=self.flow_table,
            flow_pins=flow_pins,
            half_open=half_open,
            deferred=self._openings.deferred,
            selector=self.selector,
            answer_timeout=answer_timeout,
            outcomes=self.ejection_control.outcomes,
            path_time=path_time,
            load_shedding=load_shedding,
            routing=self._routing,
            failover_budget=failover_budget,
            decisions=decisions,
        )
        # When `sweep` was last called; None before the first call.
        self._last_sweep_ms: int | None = None

    @property
    def configuration(self) -> data.Configuration | None:
        """The configuration in force on this host, None before the first."""
        return self._routing.configuration

    def configure(self, configuration: data.Configuration) -> bool:
        """Applies a configuration if it is newer than the one in force.

        Args:
            configuration: The configuration to apply.

        Returns:
            Whether it is now in force.
        """
        return self._routing.configure(configuration)

    def has_upstreams(self, now_ms: int) -> bool:
        """Whether any configured service has an eligible upstream.

        Args:
            now_ms: The current time.
        """
        if self.configuration is None:
            return False
        for service in self.configuration.services_by_name:
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
            self._openings.record_running(now_ms)
        if packet.is_opening:
            return self._openings.handle(packet, now_ms)
        return self._open_flows.handle(packet, now_ms)

    @property
    def has_pending(self) -> bool:
        """Whether there are half-open or deferred flows, which need `tick`."""
        return self._openings.has_pending

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
        self._openings.half_open.extend_timeouts(stall_ms)
        self.flow_table.extend_timeouts(stall_ms)
        self.ejection_control.outcomes.forget_requests()
        self._last_sweep_ms = now_ms
        self._openings.record_stall(now_ms)

    def tick(self, now_ms: int) -> list[data.Action]:
        """Fails over, releases and expires pending flows.

        To be called every 10 ms while `has_pending`.

        Args:
            now_ms: The current time.

        Returns:
            What to send.
        """
        return self._openings.tick(now_ms)

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
            host_count, is_partial=self._openings.is_membership_changing(now_ms)
        )

    def record_membership_change(self, now_ms: int) -> None:
        """Starts the grace period after a host has joined or is leaving.

        The fabric then moves flows to other hosts.

        Args:
            now_ms: The current time.
        """
        self._openings.record_membership_change(now_ms)

    @property
    def deferred_count(self) -> int:
        """How many flows are deferred until an upstream has a free slot."""
        return len(self._openings.deferred)

    def sweep(self, now_ms: int) -> list[data.Action]:
        """Evicts expired state; to be called about every 100 ms.

        Args:
            now_ms: The current time.

        Returns:
            What to send: resets of flows whose callers wait in vain.
        """
        self._allow_for_stall(now_ms)
        self._last_sweep_ms = now_ms
        idle_timeout_ms = upstream_table.MAX_FLOW_LIFETIME_MS
        if self.configuration is not None:
            idle_timeout_ms = self.configuration.idle_timeout_ms
        self.flow_table.evict_expired(now_ms, idle_timeout_ms)
        self._open_flows.answer_peers(now_ms)
        self.flow_pins.evict_expired(now_ms)
        self.ejection_control.outcomes.sweep(now_ms)
        for upstream_id in self.upstream_table.evict_expired(now_ms):
            self.selector.discard(upstream_id)
        return self._open_flows.reset_waiting_in_vain(now_ms)
