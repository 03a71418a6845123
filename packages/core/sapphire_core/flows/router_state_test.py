"""Interleaves changes of hosts, upstreams, views and packets."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import testtools

from sapphire_core.flows import data
from sapphire_core.flows import router as router_lib
from sapphire_data import records
from sapphire_lab.flows import builders
from sapphire_lab.flows import fabric as fabric_lib

CENTRES = ("tacoma", "salem", "spokane")
POOL = "abcdefgh"
BUCKETS = 13
KEY = builders.key_of_address("192.0.2.1")
# All news arrive within this time.
NEWS_MS = 900


class FlowsMachine(stateful.RuleBasedStateMachine):
    """The model is a dictionary of flows and their upstreams."""

    def __init__(self) -> None:
        super().__init__()
        self.fabric = fabric_lib.Fabric()
        self.now_ms = 10_000
        self.known: dict[str, dict[str, records.Member]] = {}
        self.leaving: set[str] = set()
        self.pool = set("abcd")
        self.generations: list[tuple[str, ...]] = []
        self.revision = 0
        self.newest: records.Configuration | None = None
        self.placed: dict[int, str] = {}
        self.news: list[tuple[int, str, str, object]] = []
        self.count = 0
        self.commit()
        for _ in range(3):
            self.join()
        self.wait(5_000)

    def commit(self) -> None:
        """Commits the pool as a new generation."""
        self.generations.append(tuple(sorted(self.pool)))
        self.revision += 1
        upstreams = [
            builders.upstream(name, CENTRES[POOL.index(name) % 3], warm_up_ms=1)
            for name in POOL
        ]
        service = builders.service(
            "rota", upstreams, self.generations, bucket_count=BUCKETS
        )
        self.newest = builders.configuration(self.revision, [service], CENTRES)

    def own(self, host: str) -> records.Member:
        """Returns what a host says of itself."""
        state = records.MemberState.ALIVE
        if host in self.leaving:
            state = records.MemberState.LEAVING
        number = int(host[1:])
        router = self.fabric.routers_by_id[host]
        return builders.member(
            host, CENTRES[number % 3], state, router.prepared_revision
        )

    def announce(self, host: str, delays: list[int]) -> None:
        """Tells the other hosts about a host, each after its own delay."""
        member = self.own(host)
        self.known[host][host] = member
        for index, other in enumerate(self.known):
            if other != host:
                due_ms = self.now_ms + delays[index % len(delays)]
                self.news.append((due_ms, other, host, member))

    def join(self) -> None:
        """Starts a host that knows what the oldest host knows."""
        host = f"h{self.count}"
        self.count += 1
        peers = list(self.known)
        self.known[host] = dict(self.known[peers[0]]) if peers else {}
        router = router_lib.Router(host)
        self.fabric.routers_by_id[host] = router
        assert self.newest is not None
        self.known[host][host] = self.own(host)
        self.push(host)
        router.prepare(self.newest, self.now_ms)
        self.announce(host, [0, 300, 600])
        for other in self.known:
            if other != host:
                due_ms = self.now_ms + NEWS_MS
                self.news.append((due_ms, host, other, None))

    def push(self, host: str) -> None:
        """Gives a router the view of its host."""
        known = self.known[host]
        prepared = min(item.prepared_revision for item in known.values())
        view = builders.view(known.values(), prepared)
        self.fabric.routers_by_id[host].set_view(view, self.now_ms)

    def deliver(self) -> None:
        """Delivers the news that are due."""
        due = [item for item in self.news if item[0] <= self.now_ms]
        self.news = [item for item in self.news if item[0] > self.now_ms]
        for _, receiver, about, what in due:
            if receiver not in self.known:
                continue
            if isinstance(what, records.Configuration):
                router = self.fabric.routers_by_id[receiver]
                router.prepare(what, self.now_ms)
                self.announce(receiver, [100, 500, NEWS_MS])
                continue
            if about in self.known:
                self.known[receiver][about] = self.own(about)
            else:
                self.known[receiver].pop(about, None)

    def wait(self, delta_ms: int) -> None:
        """Moves the time on."""
        for _ in range(delta_ms // 100):
            self.now_ms += 100
            self.deliver()
            for host in self.known:
                self.push(host)
            self.fabric.carry_ticks(self.now_ms)
            for host in sorted(self.leaving):
                router = self.fabric.routers_by_id[host]
                if router.is_handover_complete(self.now_ms):
                    self.stop(host)

    def stop(self, host: str) -> None:
        """Stops a host that has handed over."""
        self.leaving.discard(host)
        del self.known[host]
        del self.fabric.routers_by_id[host]
        for index, other in enumerate(self.known):
            due_ms = self.now_ms + 300 * (index % 4)
            self.news.append((due_ms, other, host, None))

    def send(
        self, entry: int, flow: int, is_opening: bool
    ) -> fabric_lib.Outcome:
        """Sends a packet by the given host."""
        hosts = sorted(self.known)
        return self.fabric.send(
            hosts[entry % len(hosts)],
            KEY,
            flow,
            is_opening=is_opening,
            is_closing=False,
            now_ms=self.now_ms,
        )

    @stateful.rule(
        name=strategies.sampled_from(POOL),
        delays=strategies.lists(
            strategies.integers(0, 1_500), min_size=1, max_size=4
        ),
    )
    def change_pool(self, name: str, delays: list[int]) -> None:
        """Adds an upstream, or drains it if it serves."""
        self.pool ^= {name}
        if not self.pool:
            self.pool = {name}
            return
        self.commit()
        for index, host in enumerate(self.known):
            due_ms = self.now_ms + delays[index % len(delays)]
            self.news.append((due_ms, host, host, self.newest))

    @stateful.precondition(lambda self: len(self.known) < 6)
    @stateful.rule()
    def join_host(self) -> None:
        """Starts a host."""
        self.join()

    @stateful.precondition(lambda self: len(self.known) - len(self.leaving) > 2)
    @stateful.rule(
        index=strategies.integers(0, 5),
        delays=strategies.lists(
            strategies.integers(0, NEWS_MS), min_size=1, max_size=4
        ),
    )
    def leave_host(self, index: int, delays: list[int]) -> None:
        """Asks a host to stop."""
        staying = sorted(set(self.known) - self.leaving)
        host = staying[index % len(staying)]
        self.leaving.add(host)
        self.announce(host, delays)
        self.push(host)

    @stateful.rule(
        flow=strategies.integers(0, 400), entry=strategies.integers(0, 5)
    )
    def open_flow(self, flow: int, entry: int) -> None:
        """Opens a flow, or repeats its opening packet."""
        outcome = self.send(entry, flow, True)
        if isinstance(outcome, data.Forward):
            self.placed.setdefault(flow, outcome.upstream.name)

    @stateful.rule(
        flows=strategies.lists(strategies.integers(0, 400), max_size=20),
        entry=strategies.integers(0, 5),
    )
    def open_flows(self, flows: list[int], entry: int) -> None:
        """Opens several flows at one host."""
        for flow in flows:
            if flow not in self.placed:
                self.open_flow(flow, entry)

    @stateful.rule(delta_ms=strategies.sampled_from([100, 300, 700, 2_000]))
    def pass_time(self, delta_ms: int) -> None:
        """Lets news and handovers spread."""
        self.wait(delta_ms)

    @stateful.invariant()
    def every_flow_is_kept(self) -> None:
        """Each flow reaches its upstream by any host, or is not answered."""
        for flow, name in self.placed.items():
            for entry in range(len(self.known)):
                outcome = self.send(entry, flow, False)
                if outcome is None:
                    continue
                assert isinstance(outcome, data.Forward), (flow, outcome)
                assert outcome.upstream.name == name, (flow, name, outcome)


class FixedExampleTest(testtools.TestCase):
    def test_a_repeated_opening_packet_finds_its_flow_after_a_change(
        self,
    ) -> None:
        machine = FlowsMachine()
        for _ in range(3):
            machine.join_host()
        machine.change_pool(delays=[0], name="a")
        machine.open_flow(flow=399, entry=0)
        machine.pass_time(delta_ms=300)
        machine.open_flow(flow=399, entry=0)
        machine.every_flow_is_kept()
        self.assertEqual({399: "b"}, machine.placed)


class FlowsTest(testtools.TestCase):
    def test_flows_are_kept_whatever_interleaves(self) -> None:
        stateful.run_state_machine_as_test(
            FlowsMachine,
            settings=hypothesis.settings(
                derandomize=True,
                deadline=None,
                max_examples=40,
                stateful_step_count=25,
                suppress_health_check=list(hypothesis.HealthCheck),
            ),
        )
