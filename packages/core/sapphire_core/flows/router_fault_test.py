"""Which flows are kept, reset or lost after faults and changes."""

from collections.abc import Callable

import testtools

from sapphire_core.flows import data
from sapphire_core.flows import failures
from sapphire_core.flows import router as router_lib
from sapphire_data import records
from sapphire_lab.flows import builders
from sapphire_lab.flows import fake_fabric

HOSTS = ("h0", "h1", "h2", "h3")
CENTRES = ("tacoma", "salem", "spokane")
EARLY = range(1_000, 1_400)
LATE = range(5_000, 5_400)


class Cluster:
    """Four hosts; each test determines what each of them knows."""

    def __init__(self) -> None:
        self.fabric = fake_fabric.FakeFabric()
        self.now_ms = 10_000
        self.prepared = 1
        self.fresh = dict.fromkeys(HOSTS, True)
        for host in HOSTS:
            self.fabric.routers_by_id[host] = router_lib.Router(host)
        self.wait(3_500)

    def wait(self, delta_ms: int) -> None:
        for _ in range(delta_ms // 100):
            self.now_ms += 100
            self.push_views()
            self.fabric.tick_hosts(self.now_ms)

    def push_views(self) -> None:
        members = []
        for host in self.fabric.routers_by_id:
            centre = CENTRES[int(host[1:]) % 3]
            members.append(builders.member(host, centre))
        for host, router in self.fabric.routers_by_id.items():
            view = builders.view(members, self.prepared, self.fresh[host])
            router.set_view(view, self.now_ms)

    def prepare(
        self, configuration: records.Configuration, *hosts: str
    ) -> None:
        for host in hosts or tuple(self.fabric.routers_by_id):
            self.fabric.routers_by_id[host].prepare(configuration, self.now_ms)

    def activate(self, configuration: records.Configuration) -> None:
        self.prepare(configuration)
        self.prepared = configuration.revision
        self.push_views()

    def send(
        self,
        flow: int,
        host: str | None = None,
        is_opening: bool = False,
        key: bytes | None = None,
    ) -> fake_fabric.Outcome:
        hosts = list(self.fabric.routers_by_id)
        return self.fabric.send(
            host or hosts[flow % len(hosts)],
            key or KEY,
            flow,
            is_opening=is_opening,
            is_closing=False,
            now_ms=self.now_ms,
        )

    def open(self, flows: range) -> dict[int, str]:
        upstream_by_flow = {}
        for flow in flows:
            outcome = self.send(flow, is_opening=True)
            if isinstance(outcome, data.Forward):
                upstream_by_flow[flow] = outcome.upstream.name
        return upstream_by_flow

    def count_outcomes(
        self, upstream_by_flow: dict[int, str]
    ) -> dict[str, int]:
        """Counts what becomes of a packet of each flow at each host.

        A packet is "kept" if it reaches the upstream of its flow, "broken" if
        it reaches another one, "reset" if its caller gets a reset and "lost" if
        the caller gets no answer.
        """
        outcomes = {"kept": 0, "reset": 0, "lost": 0, "broken": 0}
        for flow, name in upstream_by_flow.items():
            for host in self.fabric.routers_by_id:
                outcome = self.send(flow, host)
                if isinstance(outcome, data.Forward):
                    is_kept = outcome.upstream.name == name
                    outcomes["kept" if is_kept else "broken"] += 1
                elif isinstance(outcome, data.Reset):
                    outcomes["reset"] += 1
                else:
                    outcomes["lost"] += 1
        return outcomes


def rota(*pools: str, drained: str = "") -> records.Service:
    upstreams = []
    for name in "abcdef":
        intent = records.UpstreamIntent.SERVE
        if name in drained:
            intent = records.UpstreamIntent.DRAIN
        upstreams.append(
            builders.upstream(
                name, CENTRES[ord(name) % 3], intent=intent, warm_up_ms=500
            )
        )
    return builders.service("rota", upstreams, pools)


KEY = builders.service_key(rota("a"))
FIRST = builders.configuration(1, [rota("abc")])
SECOND = builders.configuration(2, [rota("abc", "bcd", drained="a")])


def changed_cluster() -> tuple[Cluster, dict[int, str]]:
    """Returns a cluster after a change of the pool, and its open flows.

    The flows `EARLY` were opened before the change, the flows `LATE` after it.
    """
    cluster = Cluster()
    cluster.activate(FIRST)
    upstream_by_flow = cluster.open(EARLY)
    cluster.activate(SECOND)
    cluster.wait(6_000)
    upstream_by_flow.update(cluster.open(LATE))
    return cluster, upstream_by_flow


def crash(cluster: Cluster, *hosts: str) -> None:
    for host in hosts:
        del cluster.fabric.routers_by_id[host]


def crash_one(cluster: Cluster) -> None:
    crash(cluster, "h0")
    cluster.push_views()


def crash_in_turn(cluster: Cluster) -> None:
    crash(cluster, "h0")
    cluster.wait(8_000)
    crash(cluster, "h1")
    cluster.wait(8_000)


def crash_during_change(cluster: Cluster) -> None:
    third = builders.configuration(3, [rota("abc", "bcd", "bce")])
    cluster.prepare(third, "h1", "h2")
    crash(cluster, "h0")
    cluster.push_views()
    cluster.prepare(third, "h3")
    cluster.wait(3_000)


def join_two(cluster: Cluster) -> None:
    for host in ("h5", "h6"):
        cluster.fabric.routers_by_id[host] = router_lib.Router(host)
        cluster.fresh[host] = True
        cluster.prepare(SECOND, host)
        cluster.push_views()


def lose_peers(cluster: Cluster) -> None:
    cluster.fresh["h2"] = False
    cluster.push_views()


def miss_newer_revision(cluster: Cluster) -> None:
    router = cluster.fabric.routers_by_id["h1"]
    router.record_newer_revision(9, cluster.now_ms)
    cluster.wait(2_000)


def fail_upstream(cluster: Cluster) -> None:
    observation = data.UpstreamObservation(
        "b", data.ObservedState.FAILED, "x", 1
    )
    for router in cluster.fabric.routers_by_id.values():
        router.apply_observation(observation, cluster.now_ms)
    cluster.wait(3_000)


# Faults that must not break flows that are open. Each entry: the fault, and the
# function that causes it.
KEPT_FAULTS: tuple[tuple[str, Callable[[Cluster], None]], ...] = (
    ("one replica host crashes after a change", crash_one),
    ("replica hosts crash one after the other", crash_in_turn),
    (
        "a replica host crashes while hosts prepare a change",
        crash_during_change,
    ),
    ("two hosts join before any handover", join_two),
    ("a host is not confirmed by its peers", lose_peers),
    ("a host knows of a revision that it cannot fetch", miss_newer_revision),
    ("an upstream fails for new flows", fail_upstream),
)


class KeptFlowsTest(testtools.TestCase):
    def test_open_flows_are_kept(self) -> None:
        for fault, cause in KEPT_FAULTS:
            cluster, upstream_by_flow = changed_cluster()
            self.assertIn("d", upstream_by_flow.values(), fault)
            cause(cluster)
            outcomes = cluster.count_outcomes(upstream_by_flow)
            self.assertEqual(0, outcomes["broken"] + outcomes["reset"], fault)
            self.assertEqual(0, outcomes["lost"], fault)

    def test_crash_of_both_replica_hosts_breaks_no_flows_of_old_owners(
        self,
    ) -> None:
        cluster, upstream_by_flow = changed_cluster()
        crash(cluster, "h0", "h1")
        cluster.push_views()
        early = {
            flow: name
            for flow, name in upstream_by_flow.items()
            if flow < 5_000
        }
        self.assertEqual(0, cluster.count_outcomes(early)["broken"])


class JoinTest(testtools.TestCase):
    def test_flows_opened_at_a_host_that_one_peer_does_not_know_yet_are_kept(
        self,
    ) -> None:
        for unaware in HOSTS:
            cluster, _ = changed_cluster()
            joiner = router_lib.Router("h5")
            cluster.fabric.routers_by_id["h5"] = joiner
            joiner.prepare(SECOND, cluster.now_ms)
            members = []
            for host in cluster.fabric.routers_by_id:
                centre = CENTRES[int(host[1:]) % 3]
                members.append(builders.member(host, centre))
            view = builders.view(members, prepared_everywhere=2)
            for host, router in cluster.fabric.routers_by_id.items():
                if host != unaware:
                    router.set_view(view, cluster.now_ms)
            upstream_by_flow = {}
            for flow in range(9_000, 9_400):
                outcome = cluster.send(flow, "h5", is_opening=True)
                if isinstance(outcome, data.Forward):
                    upstream_by_flow[flow] = outcome.upstream.name
            self.assertIn("d", upstream_by_flow.values())
            self.assertEqual(
                0, cluster.count_outcomes(upstream_by_flow)["broken"], unaware
            )

    def test_a_host_without_peers_drops_packets_of_ambiguous_buckets(
        self,
    ) -> None:
        _, upstream_by_flow = changed_cluster()
        router = router_lib.Router("h9")
        router.prepare(SECOND, 20_000)
        alone = builders.view([builders.member("h9")], is_fresh=False)
        router.set_view(alone, 20_000)
        for flow, name in upstream_by_flow.items():
            decision = router.route(KEY, flow, False, False, 20_100)
            if isinstance(decision, data.Forward):
                self.assertEqual(name, decision.upstream.name)
                continue
            assert isinstance(decision, data.Drop), decision
            self.assertIsInstance(decision.reason, failures.NotJoined)

    def test_a_host_that_stays_without_peers_forwards_after_a_timeout(
        self,
    ) -> None:
        _, upstream_by_flow = changed_cluster()
        router = router_lib.Router("h9")
        router.prepare(SECOND, 20_000)
        alone = builders.view([builders.member("h9")], is_fresh=False)
        for now_ms in range(20_000, 26_000, 500):
            router.set_view(alone, now_ms)
            router.tick(now_ms)
        for flow in upstream_by_flow:
            decision = router.route(KEY, flow, False, False, 25_600)
            self.assertIsInstance(decision, data.Forward)


class DrainTest(testtools.TestCase):
    def test_a_draining_upstream_keeps_its_flows_and_gets_no_new_ones(
        self,
    ) -> None:
        cluster, upstream_by_flow = changed_cluster()
        late = [name for flow, name in upstream_by_flow.items() if flow in LATE]
        self.assertNotIn("a", late)
        early = {
            flow: name for flow, name in upstream_by_flow.items() if name == "a"
        }
        self.assertNotEqual({}, early)
        outcomes = cluster.count_outcomes(early)
        self.assertEqual(len(early) * len(HOSTS), outcomes["kept"])

    def test_a_drain_takes_effect_though_one_host_has_not_prepared_it(
        self,
    ) -> None:
        cluster = Cluster()
        cluster.activate(FIRST)
        cluster.prepare(SECOND, "h0", "h1", "h2")
        cluster.wait(2_600)
        hosts = ("h0", "h1", "h2")
        for flow in LATE:
            outcome = cluster.send(flow, hosts[flow % 3], is_opening=True)
            if isinstance(outcome, data.Forward):
                self.assertNotEqual("a", outcome.upstream.name)

    def test_a_restarted_host_with_an_older_revision_drains_too(self) -> None:
        # Guards against an upstream that was withdrawn, in use again after the
        # restart of a host that knows of the newer revision and can't fetch it.
        cluster, _ = changed_cluster()
        router = router_lib.Router("h3")
        cluster.fabric.routers_by_id["h3"] = router
        cluster.prepare(FIRST, "h3")
        router.record_newer_revision(SECOND.revision, cluster.now_ms)
        cluster.wait(5_000)
        for flow in range(9_000, 9_400):
            outcome = cluster.send(flow, "h3", is_opening=True)
            if isinstance(outcome, data.Forward):
                self.assertNotEqual("a", outcome.upstream.name)


class DataCentreTest(testtools.TestCase):
    def out_of_rotation(self, cluster: Cluster) -> records.Configuration:
        out = builders.upstream("a", CENTRES[ord("a") % 3]).data_centre
        names = [name for name in "abc" if CENTRES[ord(name) % 3] != out]
        return builders.configuration(
            2, [rota("abc", "".join(names))], CENTRES, out=[out]
        )

    def test_packets_to_a_data_centre_out_stop_and_its_flows_are_reset(
        self,
    ) -> None:
        cluster = Cluster()
        cluster.activate(FIRST)
        upstream_by_flow = cluster.open(EARLY)
        second = self.out_of_rotation(cluster)
        cluster.prepare(second, "h0")
        stopped = [
            flow for flow, name in upstream_by_flow.items() if name == "a"
        ]
        for flow in stopped:
            router = cluster.fabric.routers_by_id["h0"]
            outcome = router.route(KEY, flow, False, False, cluster.now_ms)
            self.assertNotIsInstance(outcome, data.Forward)
        cluster.activate(second)
        outcomes = cluster.count_outcomes(dict.fromkeys(stopped, "a"))
        self.assertEqual(len(stopped) * len(HOSTS), outcomes["reset"])
        rest = {
            flow: name for flow, name in upstream_by_flow.items() if name != "a"
        }
        outcomes = cluster.count_outcomes(rest)
        self.assertEqual(len(rest) * len(HOSTS), outcomes["kept"])

    def test_records_of_reset_flows_are_discarded_when_a_data_centre_returns(
        self,
    ) -> None:
        cluster, upstream_by_flow = changed_cluster()
        out = builders.upstream("d", CENTRES[ord("d") % 3]).data_centre
        third = builders.configuration(
            3, [rota("abc", "bcd", "bc", drained="a")], CENTRES, out=[out]
        )
        cluster.activate(third)
        back = builders.configuration(
            4, [rota("abc", "bcd", "bc", "bcd", drained="a")], CENTRES
        )
        cluster.activate(back)
        reset = [flow for flow, name in upstream_by_flow.items() if name == "d"]
        self.assertNotEqual([], reset)
        for router in cluster.fabric.routers_by_id.values():
            for flow in reset:
                self.assertIsNone(router.recorded_flows("rota").get(flow))

    def test_a_host_without_peers_stops_packets_to_a_data_centre_out_too(
        self,
    ) -> None:
        cluster = Cluster()
        cluster.activate(FIRST)
        upstream_by_flow = cluster.open(EARLY)
        lose_peers(cluster)
        cluster.prepare(self.out_of_rotation(cluster), "h2")
        router = cluster.fabric.routers_by_id["h2"]
        for flow, name in upstream_by_flow.items():
            outcome = router.route(KEY, flow, False, False, cluster.now_ms)
            if name == "a":
                self.assertNotIsInstance(outcome, data.Forward)


class ReassignmentTest(testtools.TestCase):
    def services(self, owner: str) -> list[records.Service]:
        moved = builders.upstream("x", address="10.9.9.9")
        renamed = builders.upstream("y", address="10.9.9.9")
        pools = {"rota": ["a"], "desk": ["b"]}
        upstreams = {
            "rota": [builders.upstream("a")],
            "desk": [builders.upstream("b")],
        }
        item = moved if owner == "rota" else renamed
        pools[owner].append(item.name)
        upstreams[owner].append(item)
        return [
            builders.service(
                name,
                upstreams[name],
                [pools[name]],
                address=f"192.0.2.{number}",
                first_number=1 if owner == "rota" else 2,
            )
            for number, name in enumerate(("rota", "desk"), start=1)
        ]

    def test_a_reassigned_address_gets_no_packet_of_its_former_service(
        self,
    ) -> None:
        cluster = Cluster()
        cluster.activate(builders.configuration(1, self.services("rota")))
        upstream_by_flow = cluster.open(EARLY)
        self.assertIn("x", upstream_by_flow.values())
        second = builders.configuration(2, self.services("desk"))
        cluster.prepare(second)
        for flow, name in upstream_by_flow.items():
            outcome = cluster.send(flow)
            if name != "x":
                continue
            assert isinstance(outcome, data.Reset), outcome
            self.assertIsInstance(outcome.reason, failures.UpstreamGone)

    def test_a_service_address_is_not_served_while_it_moves(self) -> None:
        cluster = Cluster()
        cluster.activate(FIRST)
        upstream_by_flow = cluster.open(EARLY)
        desk = builders.service(
            "desk", [builders.upstream("z")], ["z"], first_number=1
        )
        second = builders.configuration(2, [desk])
        cluster.prepare(second, "h0", "h1")
        for flow in upstream_by_flow:
            self.assertIsInstance(cluster.send(flow, "h0"), data.Reset)
        outcome = cluster.send(7_000, "h0", is_opening=True)
        self.assertIsInstance(outcome, data.Drop)
        cluster.activate(second)
        cluster.wait(4_000)
        outcome = cluster.send(7_000, is_opening=True)
        assert isinstance(outcome, data.Forward), outcome
        self.assertEqual("z", outcome.upstream.name)

    def test_a_relayed_packet_with_an_unknown_upstream_is_dropped(self) -> None:
        cluster = Cluster()
        cluster.activate(FIRST)
        header = data.RelayHeader(("h1",), "stranger", 1)
        outcome = cluster.fabric.routers_by_id["h0"].route_relayed(
            header, KEY, 5, False, False, cluster.now_ms
        )
        assert isinstance(outcome, data.Drop), outcome
        self.assertIsInstance(outcome.reason, failures.ForeignUpstream)


class ObservedColdTest(testtools.TestCase):
    def test_new_flows_stay_within_the_rate_of_slow_start(self) -> None:
        cluster = Cluster()
        cluster.activate(FIRST)
        cluster.wait(3_000)
        observation = data.UpstreamObservation(
            "a", data.ObservedState.COLD, "second", 1
        )
        cold = builders.configuration(
            2,
            [
                builders.service(
                    "rota",
                    [builders.upstream(name) for name in "abc"],
                    ["abc"],
                )
            ],
        )
        cluster.activate(cold)
        for router in cluster.fabric.routers_by_id.values():
            router.apply_observation(observation, cluster.now_ms)
        cluster.wait(3_000)
        counts: list[int] = []
        for second in range(5):
            upstream_by_flow = cluster.open(
                range(10_000 * second, 10_000 * second + 600)
            )
            counts.append(list(upstream_by_flow.values()).count("a"))
            self.assertEqual(600, len(upstream_by_flow))
            cluster.wait(1_100)
        self.assertTrue(sum(counts) > 0, counts)
        self.assertTrue(max(counts) <= 12, counts)
