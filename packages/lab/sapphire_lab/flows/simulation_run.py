"""The loop of the measurement: opens flows and speaks on them."""

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
START_MS = 8_000
END_MS = 150_000
SPEAK_MS = 8_000
FIRST_WORDS_MS = (100, 400)
RETRY_MS = 1_000
QUIET_MS = 10_000
REPEAT_MS = 2_000
CHURN_PER_STEP = 8
REPEATED_OPENING = 0.02
ALL_METHODS = range(3)
BASELINES = range(2)
FULL_ONLY = range(2, 3)
NOT_SENT = data.Drop(failures.UnknownService())


class SimulationRun:
    """One deployment through one schedule of changes.

    Args:
        deployment: The deployment.
        seed: The seed of all chance.
        is_planned: Whether no host dies without notice.
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
        self._due: dict[int, list[measurement_counters.SimulatedFlow]] = {}
        self._soon: dict[int, list[measurement_counters.SimulatedFlow]] = {}
        self._waiting: dict[int, list[measurement_counters.SimulatedFlow]] = {}
        self._changes = change_schedule.ChangeSchedule(
            self.fleet, self.editor, self.counters, self.rng
        )
        self._changes.start(is_planned)

    def run(self) -> None:
        """Opens flows and speaks on them throughout."""
        deployment = self.editor.deployment
        wanted = deployment.flows_per_upstream * sum(
            deployment.upstream_counts_by_service.values()
        )
        steps = START_MS // STEP_MS
        for step in range(END_MS // STEP_MS):
            self.fleet.step(STEP_MS)
            count = CHURN_PER_STEP
            if step < steps:
                count = wanted // steps
            elif self.flows:
                self._close(CHURN_PER_STEP)
            for _ in range(count):
                self._open_new()
            for flow in self._waiting.pop(self.fleet.now_ms, []):
                if flow.service in self.editor.addresses_by_service:
                    self._open(flow)
            for flow in self._soon.pop(self.fleet.now_ms, []):
                self._speak(flow, self._entry())
            for flow in self._due.pop(self.fleet.now_ms, []):
                self._speak(flow, self._entry())
                self._speak_later(flow)

    def check_all_flows(self) -> None:
        """Speaks on every flow at every host; each must be kept.

        A caller sends a lost packet again, though only once here.
        """
        for _ in range(QUIET_MS // STEP_MS):
            self.fleet.step(STEP_MS)
        lost = []
        for flow in self.flows:
            for host_id in self.fleet.hosts_by_id:
                if self._speak(flow, host_id, FULL_ONLY) is None:
                    lost.append(flow)
            self._speak(flow, self._entry(), BASELINES)
        for _ in range(REPEAT_MS // STEP_MS):
            self.fleet.step(STEP_MS)
        for flow in lost:
            self._speak(flow, self._entry(), FULL_ONLY, is_last=True)

    def state_bytes(self) -> int:
        """Returns the bytes of recorded flows on all hosts."""
        total = 0
        for router in self.fleet.fabric.routers_by_id.values():
            total += component_measurements.router_bytes(
                router, list(self.editor.upstreams_by_service)
            )
        return total

    def _entry(self) -> str:
        """Returns the host that the fabric picks."""
        return self.rng.choice(list(self.fleet.hosts_by_id))

    def _open_new(self) -> None:
        """Opens a flow of a service."""
        services = self._changes.weighted_services
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
        self._open(flow)
        self._speak_later(flow)
        for delay_ms in FIRST_WORDS_MS:
            due_ms = self.fleet.now_ms + delay_ms
            self._soon.setdefault(due_ms, []).append(flow)

    def _open(self, flow: measurement_counters.SimulatedFlow) -> None:
        """Sends opening packets until every method has placed the flow."""
        entry = self._entry()
        is_waiting = False
        for method in range(3):
            if flow.ended[method]:
                continue
            if flow.upstreams[method] is not None:
                continue
            decision = self._send(method, flow, entry, is_opening=True)
            if isinstance(decision, data.Forward):
                self._placed(method, flow, decision)
                continue
            is_waiting = True
        if is_waiting:
            due_ms = self.fleet.now_ms + RETRY_MS
            self._waiting.setdefault(due_ms, []).append(flow)
        elif self.rng.random() < REPEATED_OPENING:
            # The caller missed the answer and repeats its opening packet.
            self._send(
                measurement_counters.FULL, flow, self._entry(), is_opening=True
            )

    def _placed(
        self,
        method: int,
        flow: measurement_counters.SimulatedFlow,
        decision: data.Forward,
    ) -> None:
        """Notes that an opening packet reached an upstream."""
        now_ms = self.fleet.now_ms
        if flow.upstreams[method] is None:
            flow.opened_ms = now_ms
        self.counters.record_opening_packet(
            method, flow, decision.upstream.name, now_ms
        )
        self.counters.record_delivered_packet(
            method, flow, decision.upstream, now_ms
        )

    def _close(self, count: int) -> None:
        """Closes flows at random."""
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
                    self._entry(),
                    is_closing=True,
                )

    def _speak_later(self, flow: measurement_counters.SimulatedFlow) -> None:
        """Lets a flow speak again after its period."""
        if all(flow.ended):
            return
        due_ms = self.fleet.now_ms + SPEAK_MS
        self._due.setdefault(due_ms, []).append(flow)

    def _speak(
        self,
        flow: measurement_counters.SimulatedFlow,
        entry: str,
        methods: range = ALL_METHODS,
        is_last: bool = False,
    ) -> data.Decision | None:
        """Sends a packet of an open flow and checks where it ends.

        Returns:
            The decision of the full router; None if the packet was lost.
        """
        full: data.Decision | None = NOT_SENT
        for method in methods:
            name = flow.upstreams[method]
            if flow.ended[method] or name is None:
                continue
            decision = self._send(method, flow, entry)
            if isinstance(decision, data.Drop):
                decision = None
            if method == measurement_counters.FULL:
                full = decision
            centre = self._changes.data_centre_by_upstream[name]
            if isinstance(decision, data.Forward):
                self.counters.record_delivered_packet(
                    method, flow, decision.upstream, self.fleet.now_ms
                )
                if decision.upstream.name != name:
                    self.counters.record_ended_flow(method, flow, centre)
                continue
            if decision is not None or is_last:
                self.counters.record_ended_flow(method, flow, centre)
                continue
            # The caller sends a lost packet again.
            self.counters.lost_packets += method == measurement_counters.FULL
        return full

    def _send(
        self,
        method: int,
        flow: measurement_counters.SimulatedFlow,
        entry: str,
        *,
        is_opening: bool = False,
        is_closing: bool = False,
    ) -> data.Decision | None:
        """Sends a packet by one method."""
        self.packets[method] += 1
        begin = time.perf_counter()
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
        self.seconds[method] += time.perf_counter() - begin
        return decision
