import testtools

from sapphire_core.configuration import merge
from sapphire_core.flows import data
from sapphire_core.flows import flow_table
from sapphire_core.flows import history_permits
from sapphire_core.flows import history_truncation
from sapphire_core.flows import rendezvous
from sapphire_core.flows import router as router_lib
from sapphire_data import records
from sapphire_lab.flows import builders
from sapphire_lab.flows import fabric as fabric_lib

HOSTS = ("h1", "h2", "h3")
IDLE_MS = flow_table.IDLE_PERIOD_MS
MINUTE_MS = 60_000
STEP_MS = 5_000
UPSTREAMS = [builders.upstream(name) for name in "abcd"]
FIRST = builders.service("rota", UPSTREAMS, ["abc"])
SECOND = builders.service("rota", UPSTREAMS, ["abc", "bcd"])
KEY = builders.key_of(FIRST)

Flows = dict[int, str]


class Fleet:
    """Three hosts, each with its router and its observer."""

    def __init__(self) -> None:
        self.now_ms = 10_000
        self.fabric = fabric_lib.Fabric()
        self.revision = 0
        self.configuration = merge.EMPTY
        self.observers: dict[str, history_permits.StabilityTracker] = {}
        self.deciders: dict[str, history_truncation.TruncationDecider] = {}
        for host in HOSTS:
            self.start(host)

    def start(self, host: str) -> None:
        self.fabric.routers_by_id[host] = router_lib.Router(host)
        self.observers[host] = history_permits.StabilityTracker(
            IDLE_MS, self.now_ms
        )
        self.deciders[host] = history_truncation.TruncationDecider(host)

    def stop(self, host: str) -> None:
        del self.fabric.routers_by_id[host]
        del self.observers[host]
        del self.deciders[host]

    def view(self) -> records.MemberView:
        members = [builders.member(host) for host in self.observers]
        return builders.view(members, self.revision)

    def see(self) -> None:
        for host, observer in self.observers.items():
            observer.record_view(self.view(), self.now_ms)
            router = self.fabric.routers_by_id[host]
            router.set_view(self.view(), self.now_ms)

    def prepare(self, host: str) -> None:
        router = self.fabric.routers_by_id[host]
        router.prepare(self.configuration, self.now_ms)
        observer = self.observers[host]
        observer.record_configuration(self.configuration, self.now_ms)

    def accept(self, configuration: records.Configuration) -> None:
        self.configuration = configuration
        self.see()
        for host in self.observers:
            self.prepare(host)
        self.revision = configuration.revision
        self.see()

    def send(
        self, host: str, flow: int, is_opening: bool = False
    ) -> fabric_lib.Outcome:
        return self.fabric.send(
            host,
            KEY,
            flow,
            is_opening=is_opening,
            is_closing=False,
            now_ms=self.now_ms,
        )

    def open_all(self, flows: range) -> Flows:
        placed = {}
        for flow in flows:
            outcome = self.send(HOSTS[0], flow, is_opening=True)
            if isinstance(outcome, data.Forward):
                placed[flow] = outcome.upstream.name
        return placed

    def broken(self, placed: Flows) -> list[int]:
        found = []
        hosts = list(self.observers)
        for flow, name in placed.items():
            outcome = self.send(hosts[flow % len(hosts)], flow)
            if not isinstance(outcome, data.Forward):
                found.append(flow)
                continue
            if outcome.upstream.name != name:
                found.append(flow)
        return found

    def cuts(self) -> list[dict[str, int]]:
        permits = {}
        for host, observer in self.observers.items():
            router = self.fabric.routers_by_id[host]
            needs = router.history_usage_reports(self.now_ms)
            permits[host] = observer.report(
                self.configuration, needs, self.now_ms
            )
        found = []
        for decider in self.deciders.values():
            cut = decider.decide(
                self.configuration, self.view(), permits, self.now_ms
            )
            if cut:
                found.append(cut)
        return found

    def live(self, minutes: int, speaking: Flows) -> list[dict[str, int]]:
        """Lets flows speak every ten minutes until something is cut."""
        for step in range(minutes * MINUTE_MS // STEP_MS):
            self.now_ms += STEP_MS
            self.see()
            self.fabric.carry_ticks(self.now_ms)
            if step % (10 * MINUTE_MS // STEP_MS) == 0:
                assert not self.broken(speaking)
            if step % (MINUTE_MS // STEP_MS) == 0:
                cuts = self.cuts()
                if cuts:
                    return cuts
        return []


def changed_fleet(
    new_flows: range = range(9_000, 9_400),
) -> tuple[Fleet, Flows, Flows]:
    """Returns a fleet after a change of pool, with its old and new flows."""
    fleet = Fleet()
    fleet.accept(builders.configuration(1, [FIRST]))
    old = fleet.open_all(range(1_000, 1_400))
    # Long enough that a report of the router alone would allow a cut.
    fleet.live(40, {})
    fleet.accept(builders.configuration(2, [SECOND]))
    # The ramp of the new upstream is over by then.
    assert not fleet.live(5, {})
    return fleet, old, fleet.open_all(new_flows)


def kept_only_by(host: str, flows: Flows) -> Flows:
    """Returns the flows of the upstream that left whose host is the first."""
    orders = rendezvous.RendezvousOrders()
    orders.set_members({item: builders.member(item) for item in HOSTS})
    kept = {}
    for flow, name in flows.items():
        first = orders.primary_host("rota", flow % builders.BUCKETS)
        # The other keeper answers for the packets that reach it directly.
        entry = HOSTS[flow % len(HOSTS)]
        if name == "a" and first == entry == host:
            kept[flow] = name
    return kept


class HistoryLifeTest(testtools.TestCase):
    def test_a_cut_right_after_the_change_would_break_flows(self) -> None:
        fleet, old, _ = changed_fleet()
        fleet.accept(merge.truncate_history(fleet.configuration, {"rota": 2}))
        self.assertNotEqual([], fleet.broken(old))

    def test_nothing_is_cut_while_an_old_flow_speaks(self) -> None:
        fleet, old, new = changed_fleet()
        self.assertEqual([], fleet.live(150, old | new))
        self.assertEqual([], fleet.broken(old | new))

    def test_an_old_flow_outlives_the_host_that_kept_it(self) -> None:
        fleet, old, _ = changed_fleet(range(0))
        kept = kept_only_by("h3", old)
        self.assertNotEqual({}, kept)
        # By then the first keeper of a bucket answers alone.
        fleet.live(105, kept)
        fleet.stop("h3")
        fleet.see()
        # Neither host that is left has answered for these flows.
        self.assertEqual([], fleet.live(9, {}))
        self.assertEqual([], fleet.broken(kept))
        self.assertEqual([], fleet.live(60, kept))

    def test_flows_of_the_new_pool_survive_the_cut(self) -> None:
        fleet, old, new = changed_fleet()
        fleet.live(10, old | new)
        cuts = fleet.live(150, new)
        self.assertEqual([{"rota": 2}], cuts)
        fleet.configuration = merge.truncate_history(
            fleet.configuration, cuts[0]
        )
        for host in HOSTS:
            fleet.see()
            fleet.prepare(host)
            self.assertEqual([], fleet.broken(new))
            new.update(fleet.open_all(range(20_000, 20_100)))
        fleet.revision = fleet.configuration.revision
        fleet.live(1, new)
        self.assertEqual([], fleet.broken(new))
        service = fleet.configuration.services_by_name["rota"]
        self.assertEqual([2], [item.number for item in service.generations])
