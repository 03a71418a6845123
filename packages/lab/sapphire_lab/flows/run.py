"""The loop of the measurement: opens flows and speaks on them."""

import random
import time

from sapphire_core.flows import data
from sapphire_core.flows import failures
from sapphire_lab.flows import builders
from sapphire_lab.flows import changes
from sapphire_lab.flows import figures
from sapphire_lab.flows import scenario
from sapphire_lab.flows import tally as tally_lib
from sapphire_lab.flows import world as world_lib

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


class Run:
    """One deployment through one schedule of changes.

    Args:
        deployment: The deployment.
        seed: The seed of all chance.
        is_planned: Whether no host dies without notice.
    """

    def __init__(
        self, deployment: scenario.Deployment, seed: int, is_planned: bool
    ) -> None:
        self.rng = random.Random(f"{deployment.name}/{seed}/{is_planned}")
        self.world = world_lib.World(self.rng.randrange(2**32))
        self.tally = tally_lib.Tally()
        self.operator = scenario.Operator(deployment)
        self.flows: list[tally_lib.Flow] = []
        self.opened = 0
        self.packets = [0, 0, 0]
        self.seconds = [0.0, 0.0, 0.0]
        self._due: dict[int, list[tally_lib.Flow]] = {}
        self._soon: dict[int, list[tally_lib.Flow]] = {}
        self._waiting: dict[int, list[tally_lib.Flow]] = {}
        self._changes = changes.Changes(
            self.world, self.operator, self.tally, self.rng
        )
        self._changes.start(is_planned)

    def go(self) -> None:
        """Opens flows and speaks on them throughout."""
        deployment = self.operator.deployment
        wanted = deployment.flows_per_target * sum(
            deployment.targets_by_service.values()
        )
        steps = START_MS // STEP_MS
        for step in range(END_MS // STEP_MS):
            self.world.step(STEP_MS)
            count = CHURN_PER_STEP
            if step < steps:
                count = wanted // steps
            elif self.flows:
                self._close(CHURN_PER_STEP)
            for _ in range(count):
                self._open_new()
            for flow in self._waiting.pop(self.world.now_ms, []):
                if flow.service in self.operator.addresses:
                    self._open(flow)
            for flow in self._soon.pop(self.world.now_ms, []):
                self._speak(flow, self._entry())
            for flow in self._due.pop(self.world.now_ms, []):
                self._speak(flow, self._entry())
                self._speak_later(flow)

    def sweep(self) -> None:
        """Speaks on every flow at every host; each must be kept.

        A caller sends a lost packet again, though only once here.
        """
        for _ in range(QUIET_MS // STEP_MS):
            self.world.step(STEP_MS)
        lost = []
        for flow in self.flows:
            for host_id in self.world.hosts_by_id:
                if self._speak(flow, host_id, FULL_ONLY) is None:
                    lost.append(flow)
            self._speak(flow, self._entry(), BASELINES)
        for _ in range(REPEAT_MS // STEP_MS):
            self.world.step(STEP_MS)
        for flow in lost:
            self._speak(flow, self._entry(), FULL_ONLY, is_last=True)

    def state_bytes(self) -> int:
        """Returns the bytes of recorded flows on all hosts."""
        total = 0
        for router in self.world.fabric.routers_by_id.values():
            total += figures.router_bytes(router, list(self.operator.upstreams))
        return total

    def _entry(self) -> str:
        """Returns the host that the fabric picks."""
        return self.rng.choice(list(self.world.hosts_by_id))

    def _open_new(self) -> None:
        """Opens a flow of a service."""
        services = self._changes.weighted_services
        service = self.rng.choice(services)
        address = self.operator.addresses[service]
        key = builders.key_of_address(address)
        flow = tally_lib.Flow(
            key=key,
            service=service,
            flow_hash=self.rng.getrandbits(64),
            opened_ms=self.world.now_ms,
            upstreams=[None, None, None],
            ended=[False, False, False],
        )
        self.opened += 1
        self.flows.append(flow)
        self._open(flow)
        self._speak_later(flow)
        for delay_ms in FIRST_WORDS_MS:
            due_ms = self.world.now_ms + delay_ms
            self._soon.setdefault(due_ms, []).append(flow)

    def _open(self, flow: tally_lib.Flow) -> None:
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
            due_ms = self.world.now_ms + RETRY_MS
            self._waiting.setdefault(due_ms, []).append(flow)
        elif self.rng.random() < REPEATED_OPENING:
            # The caller missed the answer and repeats its opening packet.
            self._send(tally_lib.FULL, flow, self._entry(), is_opening=True)

    def _placed(
        self, method: int, flow: tally_lib.Flow, decision: data.Forward
    ) -> None:
        """Notes that an opening packet reached an upstream."""
        now_ms = self.world.now_ms
        if flow.upstreams[method] is None:
            flow.opened_ms = now_ms
        self.tally.opened(method, flow, decision.upstream.name, now_ms)
        self.tally.delivered(method, flow, decision.upstream, now_ms)

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
            if flow.upstreams[tally_lib.FULL] is not None:
                self._send(tally_lib.FULL, flow, self._entry(), is_closing=True)

    def _speak_later(self, flow: tally_lib.Flow) -> None:
        """Lets a flow speak again after its period."""
        if all(flow.ended):
            return
        due_ms = self.world.now_ms + SPEAK_MS
        self._due.setdefault(due_ms, []).append(flow)

    def _speak(
        self,
        flow: tally_lib.Flow,
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
            if method == tally_lib.FULL:
                full = decision
            centre = self._changes.data_centre_by_upstream[name]
            if isinstance(decision, data.Forward):
                self.tally.delivered(
                    method, flow, decision.upstream, self.world.now_ms
                )
                if decision.upstream.name != name:
                    self.tally.ended(method, flow, centre)
                continue
            if decision is not None or is_last:
                self.tally.ended(method, flow, centre)
                continue
            # The caller sends a lost packet again.
            self.tally.lost += method == tally_lib.FULL
        return full

    def _send(
        self,
        method: int,
        flow: tally_lib.Flow,
        entry: str,
        *,
        is_opening: bool = False,
        is_closing: bool = False,
    ) -> data.Decision | None:
        """Sends a packet by one method."""
        self.packets[method] += 1
        begin = time.perf_counter()
        decision: data.Decision | None
        if method == tally_lib.FULL:
            decision = self.world.fabric.send(
                entry,
                flow.key,
                flow.flow_hash,
                is_opening=is_opening,
                is_closing=is_closing,
                now_ms=self.world.now_ms,
            )
        else:
            decision = self.world.baseline(method, entry).route(
                flow.key, flow.flow_hash, is_opening=is_opening
            )
        self.seconds[method] += time.perf_counter() - begin
        return decision
