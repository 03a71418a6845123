import testtools
from testtools import matchers

from sapphire_core.flows import data
from sapphire_core.flows import failures
from sapphire_core.flows import revisions
from sapphire_core.flows import router
from sapphire_data import records
from sapphire_lab.flows import builders
from sapphire_lab.flows import fake_fabric

HOSTS = ("h1", "h2", "h3")
HOME = {"h1": "tacoma", "h2": "salem", "h3": "spokane"}
FLOWS = range(1_000, 1_600)


def members(
    hosts: tuple[str, ...] = HOSTS,
) -> list[records.Member]:
    return [builders.member(host, HOME.get(host, "salem")) for host in hosts]


class Cluster:
    """Three hosts with the same knowledge, unless a test changes that."""

    def __init__(self) -> None:
        self.fabric = fake_fabric.FakeFabric()
        self.now_ms = 10_000
        self.prepared = 0
        for host in HOSTS:
            self.fabric.routers_by_id[host] = router.Router(host)
        self.push_view()

    def push_view(self, hosts: tuple[str, ...] | None = None) -> None:
        names = hosts or tuple(self.fabric.routers_by_id)
        view = builders.view(members(names), self.prepared)
        for item in self.fabric.routers_by_id.values():
            item.set_view(view, self.now_ms)

    def prepare(
        self, configuration: records.Configuration, *hosts: str
    ) -> None:
        for host in hosts or tuple(self.fabric.routers_by_id):
            self.fabric.routers_by_id[host].prepare(configuration, self.now_ms)

    def pass_barrier(self, revision: int) -> None:
        self.prepared = revision
        self.push_view()

    def advance(self, delta_ms: int) -> None:
        for _ in range(delta_ms // 100):
            self.now_ms += 100
            self.push_view()
            self.fabric.tick_hosts(self.now_ms)

    def send(
        self,
        host: str,
        flow: int,
        is_opening: bool = False,
        key: bytes | None = None,
    ) -> fake_fabric.Outcome:
        return self.fabric.send(
            host,
            key or KEY,
            flow,
            is_opening=is_opening,
            is_closing=False,
            now_ms=self.now_ms,
        )

    def open_all(self, flows: range = FLOWS) -> dict[int, str]:
        upstream_by_flow = {}
        for flow in flows:
            outcome = self.send(HOSTS[flow % 3], flow, is_opening=True)
            if isinstance(outcome, data.Forward):
                upstream_by_flow[flow] = outcome.upstream.name
        return upstream_by_flow

    def broken(self, upstream_by_flow: dict[int, str]) -> list[int]:
        broken = []
        for flow, name in upstream_by_flow.items():
            for host in self.fabric.routers_by_id:
                outcome = self.send(host, flow)
                kept = (
                    isinstance(outcome, data.Forward)
                    and outcome.upstream.name == name
                )
                if not kept:
                    broken.append(flow)
        return broken


def rota(*generations: str, **options: object) -> records.Service:
    names = sorted(set("".join(generations)))
    centres = ("tacoma", "salem", "spokane")
    upstreams = [
        builders.upstream(name, centres[ord(name) % 3]) for name in names
    ]
    return builders.service("rota", upstreams, generations)


KEY = builders.service_key(rota("a"))


class SettledBucketTest(testtools.TestCase):
    def test_settled_bucket_needs_no_relay_and_no_new_decision(self) -> None:
        cluster = Cluster()
        cluster.prepare(builders.configuration(1, [rota("abc")]))
        cluster.pass_barrier(1)
        upstream_by_flow = cluster.open_all()
        self.assertThat(upstream_by_flow, matchers.HasLength(len(FLOWS)))
        self.assertEqual([], cluster.broken(upstream_by_flow))
        self.assertThat(cluster.fabric.relay_count, matchers.Equals(0))
        host_router = cluster.fabric.routers_by_id["h1"]
        first = host_router.route(KEY, 7, False, False, cluster.now_ms)
        second = host_router.route(KEY, 7, False, False, cluster.now_ms)
        self.assertIs(first, second)

    def test_unknown_address_is_dropped(self) -> None:
        cluster = Cluster()
        cluster.prepare(builders.configuration(1, [rota("abc")]))
        outcome = cluster.send("h1", 5, key=b"\1\1\1\1\0\1")
        assert isinstance(outcome, data.Drop)
        self.assertIsInstance(outcome.reason, failures.UnknownService)


class BarrierTest(testtools.TestCase):
    def test_flows_are_kept_while_hosts_prepare_a_change_one_by_one(
        self,
    ) -> None:
        cluster = Cluster()
        cluster.prepare(builders.configuration(1, [rota("abc")]))
        cluster.pass_barrier(1)
        upstream_by_flow = cluster.open_all()
        second = builders.configuration(2, [rota("abc", "bcd")])
        for step, host in enumerate(HOSTS):
            cluster.prepare(second, host)
            flows = range(2_000 + 1_000 * step, 2_300 + 1_000 * step)
            upstream_by_flow.update(cluster.open_all(flows))
            self.assertEqual([], cluster.broken(upstream_by_flow))
        cluster.pass_barrier(2)
        cluster.advance(40_000)
        later = cluster.open_all(range(9_000, 9_600))
        self.assertIn("d", later.values())
        self.assertNotIn("a", later.values())
        upstream_by_flow.update(later)
        self.assertEqual([], cluster.broken(upstream_by_flow))


class ActivationTest(testtools.TestCase):
    def test_each_revision_is_reported_as_activated_exactly_once(self) -> None:
        """The first revision too, which is active without a barrier."""
        host_router = router.Router("h1")
        activated: list[int] = []
        for revision in (1, 2):
            service = rota("abc", "bcd") if revision > 1 else rota("abc")
            host_router.prepare(builders.configuration(revision, [service]), 0)
            view = builders.view(members(), revision)
            host_router.set_view(view, 0)
            for now_ms in (0, 100):
                activated.extend(
                    action.revision
                    for action in host_router.tick(now_ms)
                    if isinstance(action, data.RevisionActivated)
                )
            self.assertThat(activated[-1:], matchers.Equals([revision]))
        self.assertThat(activated, matchers.Equals([1, 2]))


class DataCentreTest(testtools.TestCase):
    def test_flows_are_kept_while_hosts_bring_a_data_centre_back_one_by_one(
        self,
    ) -> None:
        cluster = Cluster()
        steps = (
            (1, rota("abc"), ()),
            (2, rota("abc", "bc"), ("salem",)),
        )
        for revision, service, out in steps:
            cluster.prepare(
                builders.configuration(revision, [service], out=out)
            )
            cluster.pass_barrier(revision)
            cluster.advance(40_000)
        back = rota("abc", "bc", "abc")
        cluster.prepare(builders.configuration(3, [back]))
        view = builders.view(members(), 3)
        cluster.fabric.routers_by_id["h1"].set_view(view, cluster.now_ms)
        # For `RETRANSMISSION_MS` after an activation the default owner of a
        # bucket gets its new flows.
        cluster.advance(revisions.RETRANSMISSION_MS + 100)
        active = [
            one.active_revision for one in cluster.fabric.routers_by_id.values()
        ]
        self.assertEqual([3, 2, 2], active)
        upstream_by_flow = cluster.open_all(range(5_000, 8_000))
        self.assertIn("a", upstream_by_flow.values())
        self.assertEqual([], cluster.broken(upstream_by_flow))


class HostChangeTest(testtools.TestCase):
    def test_flows_are_kept_while_all_hosts_are_replaced_after_a_change(
        self,
    ) -> None:
        cluster = Cluster()
        cluster.prepare(builders.configuration(1, [rota("abc")]))
        cluster.pass_barrier(1)
        upstream_by_flow = cluster.open_all()
        second = builders.configuration(2, [rota("abc", "bcd")])
        cluster.prepare(second)
        cluster.pass_barrier(2)
        cluster.advance(40_000)
        upstream_by_flow.update(cluster.open_all(range(9_000, 9_600)))
        for number, old in enumerate(HOSTS):
            new = f"n{number}"
            cluster.fabric.routers_by_id[new] = router.Router(new)
            cluster.prepare(second, new)
            cluster.push_view()
            self.assertEqual([], cluster.broken(upstream_by_flow))
            cluster.advance(20_000)
            del cluster.fabric.routers_by_id[old]
            cluster.push_view()
            self.assertEqual([], cluster.broken(upstream_by_flow))
            cluster.advance(20_000)
        self.assertEqual([], cluster.broken(upstream_by_flow))
