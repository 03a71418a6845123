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
from sapphire_lab.flows import fake_fabric

HOSTS = ("h1", "h2", "h3")
IDLE_MS = flow_table.IDLE_PERIOD_MS
MINUTE_MS = 60_000
STEP_MS = 5_000
UPSTREAMS = [builders.upstream(name) for name in "abcd"]
FIRST = builders.service("rota", UPSTREAMS, ["abc"])
SECOND = builders.service("rota", UPSTREAMS, ["abc", "bcd"])
KEY = builders.service_key(FIRST)

Flows = dict[int, str]


class Fleet:
    """Three hosts, each with its router, stability tracker and decider."""

    def __init__(self) -> None:
        self.now_ms = 10_000
        self.fabric = fake_fabric.FakeFabric()
        self.revision = 0
        self.configuration = merge.EMPTY
        self.trackers: dict[str, history_permits.StabilityTracker] = {}
        self.deciders: dict[str, history_truncation.TruncationDecider] = {}
        for host in HOSTS:
            self.start(host)

    def start(self, host: str) -> None:
        self.fabric.routers_by_id[host] = router_lib.Router(host)
        self.trackers[host] = history_permits.StabilityTracker(
            IDLE_MS, self.now_ms
        )
        self.deciders[host] = history_truncation.TruncationDecider(host)

    def stop(self, host: str) -> None:
        del self.fabric.routers_by_id[host]
        del self.trackers[host]
        del self.deciders[host]

    def view(self) -> records.MemberView:
        members = [builders.member(host) for host in self.trackers]
        return builders.view(members, self.revision)

    def push_view(self) -> None:
        for host, tracker in self.trackers.items():
            tracker.record_view(self.view(), self.now_ms)
            router = self.fabric.routers_by_id[host]
            router.set_view(self.view(), self.now_ms)

    def prepare(self, host: str) -> None:
        router = self.fabric.routers_by_id[host]
        router.prepare(self.configuration, self.now_ms)
        tracker = self.trackers[host]
        tracker.record_configuration(self.configuration, self.now_ms)

    def activate(self, configuration: records.Configuration) -> None:
        self.configuration = configuration
        self.push_view()
        for host in self.trackers:
            self.prepare(host)
        self.revision = configuration.revision
        self.push_view()

    def send(
        self, host: str, flow: int, is_opening: bool = False
    ) -> fake_fabric.Outcome:
        return self.fabric.send(
            host,
            KEY,
            flow,
            is_opening=is_opening,
            is_closing=False,
            now_ms=self.now_ms,
        )

    def open_all(self, flows: range) -> Flows:
        opened = {}
        for flow in flows:
            outcome = self.send(HOSTS[0], flow, is_opening=True)
            if isinstance(outcome, data.Forward):
                opened[flow] = outcome.upstream.name
        return opened

    def broken(self, flows: Flows) -> list[int]:
        found = []
        hosts = list(self.trackers)
        for flow, name in flows.items():
            outcome = self.send(hosts[flow % len(hosts)], flow)
            if not isinstance(outcome, data.Forward):
                found.append(flow)
                continue
            if outcome.upstream.name != name:
                found.append(flow)
        return found

    def truncations(self) -> list[dict[str, int]]:
        permits = {}
        for host, tracker in self.trackers.items():
            router = self.fabric.routers_by_id[host]
            usages = router.history_usage_reports(self.now_ms)
            permits[host] = tracker.report(
                self.configuration, usages, self.now_ms
            )
        found = []
        for decider in self.deciders.values():
            truncation = decider.decide(
                self.configuration, self.view(), permits, self.now_ms
            )
            if truncation:
                found.append(truncation)
        return found

    def run(self, minutes: int, used: Flows) -> list[dict[str, int]]:
        """Sends a packet of each flow in `used` every ten minutes.

        Returns:
            The first truncations that are decided; empty if there are none
            within the given minutes.
        """
        for step in range(minutes * MINUTE_MS // STEP_MS):
            self.now_ms += STEP_MS
            self.push_view()
            self.fabric.tick_hosts(self.now_ms)
            if step % (10 * MINUTE_MS // STEP_MS) == 0:
                assert not self.broken(used)
            if step % (MINUTE_MS // STEP_MS) == 0:
                truncations = self.truncations()
                if truncations:
                    return truncations
        return []


def changed_fleet(
    new_flows: range = range(9_000, 9_400),
) -> tuple[Fleet, Flows, Flows]:
    """Returns a fleet after a change of pool, with its old and new flows."""
    fleet = Fleet()
    fleet.activate(builders.configuration(1, [FIRST]))
    old = fleet.open_all(range(1_000, 1_400))
    # After this time a report of the router alone would permit a truncation.
    fleet.run(40, {})
    fleet.activate(builders.configuration(2, [SECOND]))
    # The slow start of the new upstream is over by then.
    assert not fleet.run(5, {})
    return fleet, old, fleet.open_all(new_flows)


def answered_only_by(host: str, flows: Flows) -> Flows:
    """Returns flows of the removed upstream whose packets one host decides.

    The host is their entry host and the primary replica host of their bucket.
    """
    orders = rendezvous.RendezvousOrders()
    orders.set_members({item: builders.member(item) for item in HOSTS})
    kept = {}
    for flow, name in flows.items():
        primary = orders.primary_host("rota", flow % builders.BUCKETS)
        # The other replica host decides about packets that enter there.
        entry = HOSTS[flow % len(HOSTS)]
        if name == "a" and primary == entry == host:
            kept[flow] = name
    return kept


class HistoryScenarioTest(testtools.TestCase):
    def test_a_truncation_right_after_the_change_would_break_flows(
        self,
    ) -> None:
        fleet, old, _ = changed_fleet()
        fleet.activate(merge.truncate_history(fleet.configuration, {"rota": 2}))
        self.assertNotEqual([], fleet.broken(old))

    def test_nothing_is_truncated_while_an_old_flow_sends_packets(self) -> None:
        fleet, old, new = changed_fleet()
        self.assertEqual([], fleet.run(150, old | new))
        self.assertEqual([], fleet.broken(old | new))

    def test_an_old_flow_is_kept_after_its_replica_host_stops(self) -> None:
        fleet, old, _ = changed_fleet(range(0))
        kept = answered_only_by("h3", old)
        self.assertNotEqual({}, kept)
        # By then the primary replica host of a bucket decides alone.
        fleet.run(105, kept)
        fleet.stop("h3")
        fleet.push_view()
        # The two other hosts have not decided about packets of these flows.
        self.assertEqual([], fleet.run(9, {}))
        self.assertEqual([], fleet.broken(kept))
        self.assertEqual([], fleet.run(60, kept))

    def test_flows_of_the_new_pool_are_kept_by_the_truncation(self) -> None:
        fleet, old, new = changed_fleet()
        fleet.run(10, old | new)
        truncations = fleet.run(150, new)
        self.assertEqual([{"rota": 2}], truncations)
        fleet.configuration = merge.truncate_history(
            fleet.configuration, truncations[0]
        )
        for host in HOSTS:
            fleet.push_view()
            fleet.prepare(host)
            self.assertEqual([], fleet.broken(new))
            new.update(fleet.open_all(range(20_000, 20_100)))
        fleet.revision = fleet.configuration.revision
        fleet.run(1, new)
        self.assertEqual([], fleet.broken(new))
        service = fleet.configuration.services_by_name["rota"]
        self.assertEqual([2], [item.number for item in service.generations])
