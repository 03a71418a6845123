"""One run of the simulation: opens flows and sends packets on them."""

import random
import time

from sapphire_core.flows import data
from sapphire_core.flows import failures
from sapphire_lab.flows import builders
from sapphire_lab.flows import change_schedule
from sapphire_lab.flows import component_measurements
from sapphire_lab.flows import configuration_editor
from sapphire_lab.flows import measurement_counters
from sapphire_lab.flows import simulated_fleet

STEP_MS = 50
INITIAL_OPENING_MS = 8_000
END_MS = 150_000
PACKET_INTERVAL_MS = 8_000
FIRST_PACKET_DELAYS_MS = (100, 400)
OPENING_RETRANSMISSION_MS = 1_000
SETTLE_MS = 10_000
LOST_PACKET_RETRANSMISSION_MS = 2_000
FLOWS_REPLACED_PER_STEP = 8
REPEATED_OPENING_SHARE = 0.02
ALL_METHODS = range(3)
BASELINE_METHODS = range(2)
FULL_METHOD_ONLY = range(2, 3)
NOT_SENT = data.Drop(failures.UnknownService())


class SimulationRun:
    """The flows of one deployment during a schedule of changes.

    Each packet is routed by the three methods of `measurement_counters`.

    Attributes:
        rng: Makes the random choices.
        fleet: The hosts.
        counters: Counts violated requirements.
        editor: Edits the configuration.
        flows: The flows that their callers have not closed.
        opened: The number of flows that callers have opened.
        packets: The packets routed by each method.
        seconds: The time that each method took for them.

    Args:
        deployment: The deployment.
        seed: Seeds the random choices.
        is_planned: Whether no host or upstream fails.
    """

    def __init__(
        self,
        deployment: configuration_editor.Deployment,
        seed: int,
        is_planned: bool,
    ) -> None:
        self.rng = random.Random(f"{deployment.name}/{seed}/{is_planned}")
        self.fleet = simulated_fleet.SimulatedFleet(self.rng.randrange(2**32))
        self.counters = measurement_counters.MeasurementCounters()
        self.editor = configuration_editor.ConfigurationEditor(deployment)
        self.flows: list[measurement_counters.SimulatedFlow] = []
        self.opened = 0
        self.packets = [0, 0, 0]
        self.seconds = [0.0, 0.0, 0.0]
        self._flows_by_packet_time: dict[
            int, list[measurement_counters.SimulatedFlow]
        ] = {}
        self._flows_by_first_packet_time: dict[
            int, list[measurement_counters.SimulatedFlow]
        ] = {}
        self._flows_by_retransmission_time: dict[
            int, list[measurement_counters.SimulatedFlow]
        ] = {}
        self._schedule = change_schedule.ChangeSchedule(
            self.fleet, self.editor, self.counters, self.rng
        )
        self._schedule.start(is_planned)

    def run(self) -> None:
        """Opens and closes flows and sends packets on them until `END_MS`."""
        deployment = self.editor.deployment
        initial_flows = deployment.flows_per_upstream * sum(
            deployment.upstream_counts_by_service.values()
        )
        initial_steps = INITIAL_OPENING_MS // STEP_MS
        for step in range(END_MS // STEP_MS):
            self.fleet.step(STEP_MS)
            count = FLOWS_REPLACED_PER_STEP
            if step < initial_steps:
                count = initial_flows // initial_steps
            elif self.flows:
                self._close_flows(FLOWS_REPLACED_PER_STEP)
            for _ in range(count):
                self._open_new_flow()
            for flow in self._flows_by_retransmission_time.pop(
                self.fleet.now_ms, []
            ):
                if flow.service in self.editor.addresses_by_service:
                    self._open_flow(flow)
            for flow in self._flows_by_first_packet_time.pop(
                self.fleet.now_ms, []
            ):
                self._send_on_open_flow(flow, self._pick_entry_host())
            for flow in self._flows_by_packet_time.pop(self.fleet.now_ms, []):
                self._send_on_open_flow(flow, self._pick_entry_host())
                self._schedule_packet(flow)

    def check_all_flows(self) -> None:
        """Sends a packet of every flow to every host; each flow must be kept.

        A lost packet is sent once more. The flow is broken if that one is lost,
        too.
        """
        for _ in range(SETTLE_MS // STEP_MS):
            self.fleet.step(STEP_MS)
        flows_with_lost_packet = []
        for flow in self.flows:
            for host_id in self.fleet.hosts_by_id:
                if (
                    self._send_on_open_flow(flow, host_id, FULL_METHOD_ONLY)
                    is None
                ):
                    flows_with_lost_packet.append(flow)
            self._send_on_open_flow(
                flow, self._pick_entry_host(), BASELINE_METHODS
            )
        for _ in range(LOST_PACKET_RETRANSMISSION_MS // STEP_MS):
            self.fleet.step(STEP_MS)
        for flow in flows_with_lost_packet:
            self._send_on_open_flow(
                flow, self._pick_entry_host(), FULL_METHOD_ONLY, is_last=True
            )

    def state_bytes(self) -> int:
        """Returns the bytes of the flow records on all hosts."""
        total_bytes = 0
        for router in self.fleet.fabric.routers_by_id.values():
            total_bytes += component_measurements.router_bytes(
                router, list(self.editor.upstreams_by_service)
            )
        return total_bytes

    def _pick_entry_host(self) -> str:
        """Returns a random host, as the fabric spreads packets over all."""
        return self.rng.choice(list(self.fleet.hosts_by_id))

    def _open_new_flow(self) -> None:
        """Opens a flow of a random service."""
        services = self._schedule.weighted_services
        service = self.rng.choice(services)
        address = self.editor.addresses_by_service[service]
        key = builders.service_key_at(address)
        flow = measurement_counters.SimulatedFlow(
            key=key,
            service=service,
            flow_hash=self.rng.getrandbits(64),
            opened_ms=self.fleet.now_ms,
            upstreams=[None, None, None],
            ended=[False, False, False],
        )
        self.opened += 1
        self.flows.append(flow)
        self._open_flow(flow)
        self._schedule_packet(flow)
        for delay_ms in FIRST_PACKET_DELAYS_MS:
            due_ms = self.fleet.now_ms + delay_ms
            self._flows_by_first_packet_time.setdefault(due_ms, []).append(flow)

    def _open_flow(self, flow: measurement_counters.SimulatedFlow) -> None:
        """Sends opening packets by the methods that have not opened the flow.

        If one of them does not forward it, the caller retransmits later.
        """
        entry = self._pick_entry_host()
        needs_retransmission = False
        for method in range(3):
            if flow.ended[method]:
                continue
            if flow.upstreams[method] is not None:
                continue
            decision = self._send(method, flow, entry, is_opening=True)
            if isinstance(decision, data.Forward):
                self._record_opened(method, flow, decision)
                continue
            needs_retransmission = True
        if needs_retransmission:
            due_ms = self.fleet.now_ms + OPENING_RETRANSMISSION_MS
            self._flows_by_retransmission_time.setdefault(due_ms, []).append(
                flow
            )
        elif self.rng.random() < REPEATED_OPENING_SHARE:
            # The caller did not get the answer and retransmits.
            self._send(
                measurement_counters.FULL,
                flow,
                self._pick_entry_host(),
                is_opening=True,
            )

    def _record_opened(
        self,
        method: int,
        flow: measurement_counters.SimulatedFlow,
        decision: data.Forward,
    ) -> None:
        """Records that an opening packet reached an upstream."""
        now_ms = self.fleet.now_ms
        if flow.upstreams[method] is None:
            flow.opened_ms = now_ms
        self.counters.record_opening_packet(
            method, flow, decision.upstream.name, now_ms
        )
        self.counters.record_delivered_packet(
            method, flow, decision.upstream, now_ms
        )

    def _close_flows(self, count: int) -> None:
        """Closes random flows."""
        for _ in range(count):
            index = self.rng.randrange(len(self.flows))
            self.flows[index], self.flows[-1] = (
                self.flows[-1],
                self.flows[index],
            )
            flow = self.flows.pop()
            flow.ended = [True, True, True]
            if flow.upstreams[measurement_counters.FULL] is not None:
                self._send(
                    measurement_counters.FULL,
                    flow,
                    self._pick_entry_host(),
                    is_closing=True,
                )

    def _schedule_packet(
        self, flow: measurement_counters.SimulatedFlow
    ) -> None:
        """Schedules the next packet of a flow."""
        if all(flow.ended):
            return
        due_ms = self.fleet.now_ms + PACKET_INTERVAL_MS
        self._flows_by_packet_time.setdefault(due_ms, []).append(flow)

    def _send_on_open_flow(
        self,
        flow: measurement_counters.SimulatedFlow,
        entry: str,
        methods: range = ALL_METHODS,
        is_last: bool = False,
    ) -> data.Decision | None:
        """Sends a packet of an open flow and checks which upstream gets it.

        Args:
            flow: The flow.
            entry: The host that gets the packet.
            methods: The indices of the methods that route it.
            is_last: Whether the flow ends if the packet is lost.

        Returns:
            The decision of the full router; None if the packet was lost.
        """
        full_decision: data.Decision | None = NOT_SENT
        for method in methods:
            name = flow.upstreams[method]
            if flow.ended[method] or name is None:
                continue
            decision = self._send(method, flow, entry)
            if isinstance(decision, data.Drop):
                decision = None
            if method == measurement_counters.FULL:
                full_decision = decision
            data_centre = self._schedule.data_centre_by_upstream[name]
            if isinstance(decision, data.Forward):
                self.counters.record_delivered_packet(
                    method, flow, decision.upstream, self.fleet.now_ms
                )
                if decision.upstream.name != name:
                    self.counters.record_ended_flow(method, flow, data_centre)
                continue
            if decision is not None or is_last:
                self.counters.record_ended_flow(method, flow, data_centre)
                continue
            # A lost packet does not break the flow: its caller retransmits.
            self.counters.lost_packets += method == measurement_counters.FULL
        return full_decision

    def _send(
        self,
        method: int,
        flow: measurement_counters.SimulatedFlow,
        entry: str,
        *,
        is_opening: bool = False,
        is_closing: bool = False,
    ) -> data.Decision | None:
        """Routes a packet by one method, and measures the time."""
        self.packets[method] += 1
        start = time.perf_counter()
        decision: data.Decision | None
        if method == measurement_counters.FULL:
            decision = self.fleet.fabric.send(
                entry,
                flow.key,
                flow.flow_hash,
                is_opening=is_opening,
                is_closing=is_closing,
                now_ms=self.fleet.now_ms,
            )
        else:
            decision = self.fleet.baseline_router(method, entry).route(
                flow.key, flow.flow_hash, is_opening=is_opening
            )
        self.seconds[method] += time.perf_counter() - start
        return decision
