"""Faults of routing: each line a fault, its moment and the promise."""

from collections.abc import Callable

import testtools

from sapphire_core.flows import data
from sapphire_core.flows import failures
from sapphire_core.flows import router as router_lib
from sapphire_data import records
from sapphire_lab.flows import builders
from sapphire_lab.flows import fabric as fabric_lib

HOSTS = ("h0", "h1", "h2", "h3")
CENTRES = ("tacoma", "salem", "spokane")
EARLY = range(1_000, 1_400)
LATE = range(5_000, 5_400)


class Cluster:
    """Four hosts; every test says which of them know what."""

    def __init__(self) -> None:
        self.fabric = fabric_lib.Fabric()
        self.now_ms = 10_000
        self.prepared = 1
        self.fresh = dict.fromkeys(HOSTS, True)
        for host in HOSTS:
            self.fabric.routers_by_id[host] = router_lib.Router(host)
        self.wait(3_500)

    def wait(self, delta_ms: int) -> None:
        for _ in range(delta_ms // 100):
            self.now_ms += 100
            self.push()
            self.fabric.carry_ticks(self.now_ms)

    def push(self) -> None:
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

    def change(self, configuration: records.Configuration) -> None:
        self.prepare(configuration)
        self.prepared = configuration.revision
        self.push()

    def send(
        self,
        flow: int,
        host: str | None = None,
        is_opening: bool = False,
        key: bytes | None = None,
    ) -> fabric_lib.Outcome:
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
        placed = {}
        for flow in flows:
            outcome = self.send(flow, is_opening=True)
            if isinstance(outcome, data.Forward):
                placed[flow] = outcome.upstream.name
        return placed

    def ends(self, placed: dict[int, str]) -> dict[str, int]:
        ends = {"kept": 0, "told": 0, "lost": 0, "broken": 0}
        for flow, name in placed.items():
            for host in self.fabric.routers_by_id:
                outcome = self.send(flow, host)
                if isinstance(outcome, data.Forward):
                    is_kept = outcome.upstream.name == name
                    ends["kept" if is_kept else "broken"] += 1
                elif isinstance(outcome, data.Reset):
                    ends["told"] += 1
                else:
                    ends["lost"] += 1
        return ends


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


KEY = builders.key_of(rota("a"))
FIRST = builders.configuration(1, [rota("abc")])
SECOND = builders.configuration(2, [rota("abc", "bcd", drained="a")])


def changed() -> tuple[Cluster, dict[int, str]]:
    """Returns a cluster after a change, with flows of before and after."""
    cluster = Cluster()
    cluster.change(FIRST)
    placed = cluster.open(EARLY)
    cluster.change(SECOND)
    cluster.wait(6_000)
    placed.update(cluster.open(LATE))
    return cluster, placed


def kill(cluster: Cluster, *hosts: str) -> None:
    for host in hosts:
        del cluster.fabric.routers_by_id[host]


def die_one(cluster: Cluster) -> None:
    kill(cluster, "h0")
    cluster.push()


def die_in_turn(cluster: Cluster) -> None:
    kill(cluster, "h0")
    cluster.wait(8_000)
    kill(cluster, "h1")
    cluster.wait(8_000)


def die_amid_change(cluster: Cluster) -> None:
    third = builders.configuration(3, [rota("abc", "bcd", "bce")])
    cluster.prepare(third, "h1", "h2")
    kill(cluster, "h0")
    cluster.push()
    cluster.prepare(third, "h3")
    cluster.wait(3_000)


def join_twice(cluster: Cluster) -> None:
    for host in ("h5", "h6"):
        cluster.fabric.routers_by_id[host] = router_lib.Router(host)
        cluster.fresh[host] = True
        cluster.prepare(SECOND, host)
        cluster.push()


def cut_off(cluster: Cluster) -> None:
    cluster.fresh["h2"] = False
    cluster.push()


def learn_of_newer(cluster: Cluster) -> None:
    router = cluster.fabric.routers_by_id["h1"]
    router.record_newer_revision(9, cluster.now_ms)
    cluster.wait(2_000)


def fail_upstream(cluster: Cluster) -> None:
    overlay = data.UpstreamObservation("b", data.ObservedState.FAILED, "x", 1)
    for router in cluster.fabric.routers_by_id.values():
        router.apply_observation(overlay, cluster.now_ms)
    cluster.wait(3_000)


# Each line: the fault, its moment, the promise for flows that were open.
KEPT_FAULTS: tuple[tuple[str, Callable[[Cluster], None]], ...] = (
    ("one keeper dies after a change", die_one),
    ("keepers die one after the other", die_in_turn),
    ("a keeper dies while a change spreads", die_amid_change),
    ("two hosts join before any handover", join_twice),
    ("a host is not confirmed by its peers", cut_off),
    ("a host knows of a revision that it cannot fetch", learn_of_newer),
    ("an upstream fails for new flows", fail_upstream),
)


class KeptFlowsTest(testtools.TestCase):
    def test_open_flows_are_kept(self) -> None:
        for fault, bring_about in KEPT_FAULTS:
            cluster, placed = changed()
            self.assertIn("d", placed.values(), fault)
            bring_about(cluster)
            ends = cluster.ends(placed)
            self.assertEqual(0, ends["broken"] + ends["told"], fault)
            self.assertEqual(0, ends["lost"], fault)

    def test_death_of_both_keepers_breaks_only_flows_of_new_owners(
        self,
    ) -> None:
        cluster, placed = changed()
        kill(cluster, "h0", "h1")
        cluster.push()
        early = {flow: name for flow, name in placed.items() if flow < 5_000}
        self.assertEqual(0, cluster.ends(early)["broken"])


class JoinTest(testtools.TestCase):
    def test_flows_placed_by_a_host_that_one_does_not_know_yet(self) -> None:
        for unaware in HOSTS:
            cluster, _ = changed()
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
            placed = {}
            for flow in range(9_000, 9_400):
                outcome = cluster.send(flow, "h5", is_opening=True)
                if isinstance(outcome, data.Forward):
                    placed[flow] = outcome.upstream.name
            self.assertIn("d", placed.values())
            self.assertEqual(0, cluster.ends(placed)["broken"], unaware)

    def test_a_host_that_knows_no_peers_does_not_guess(self) -> None:
        _, placed = changed()
        router = router_lib.Router("h9")
        router.prepare(SECOND, 20_000)
        alone = builders.view([builders.member("h9")], is_fresh=False)
        router.set_view(alone, 20_000)
        for flow, name in placed.items():
            decision = router.route(KEY, flow, False, False, 20_100)
            if isinstance(decision, data.Forward):
                self.assertEqual(name, decision.upstream.name)
                continue
            assert isinstance(decision, data.Drop), decision
            self.assertIsInstance(decision.reason, failures.NotJoined)

    def test_a_host_that_stays_alone_serves_what_it_can(self) -> None:
        _, placed = changed()
        router = router_lib.Router("h9")
        router.prepare(SECOND, 20_000)
        alone = builders.view([builders.member("h9")], is_fresh=False)
        for now_ms in range(20_000, 26_000, 500):
            router.set_view(alone, now_ms)
            router.tick(now_ms)
        for flow in placed:
            decision = router.route(KEY, flow, False, False, 25_600)
            self.assertIsInstance(decision, data.Forward)


class DrainTest(testtools.TestCase):
    def test_a_draining_upstream_keeps_flows_and_gets_no_new_ones(
        self,
    ) -> None:
        cluster, placed = changed()
        late = [name for flow, name in placed.items() if flow in LATE]
        self.assertNotIn("a", late)
        early = {flow: name for flow, name in placed.items() if name == "a"}
        self.assertNotEqual({}, early)
        ends = cluster.ends(early)
        self.assertEqual(len(early) * len(HOSTS), ends["kept"])

    def test_drain_takes_effect_without_full_preparation(self) -> None:
        cluster = Cluster()
        cluster.change(FIRST)
        cluster.prepare(SECOND, "h0", "h1", "h2")
        cluster.wait(2_600)
        hosts = ("h0", "h1", "h2")
        for flow in LATE:
            outcome = cluster.send(flow, hosts[flow % 3], is_opening=True)
            if isinstance(outcome, data.Forward):
                self.assertNotEqual("a", outcome.upstream.name)


class DataCentreTest(testtools.TestCase):
    def taken_out(self, cluster: Cluster) -> records.Configuration:
        out = builders.upstream("a", CENTRES[ord("a") % 3]).data_centre
        names = [name for name in "abc" if CENTRES[ord(name) % 3] != out]
        return builders.configuration(
            2, [rota("abc", "".join(names))], CENTRES, out=[out]
        )

    def test_packets_stop_at_once_and_callers_are_told(self) -> None:
        cluster = Cluster()
        cluster.change(FIRST)
        placed = cluster.open(EARLY)
        second = self.taken_out(cluster)
        cluster.prepare(second, "h0")
        lost = [flow for flow, name in placed.items() if name == "a"]
        for flow in lost:
            router = cluster.fabric.routers_by_id["h0"]
            outcome = router.route(KEY, flow, False, False, cluster.now_ms)
            self.assertNotIsInstance(outcome, data.Forward)
        cluster.change(second)
        ends = cluster.ends(dict.fromkeys(lost, "a"))
        self.assertEqual(len(lost) * len(HOSTS), ends["told"])
        rest = {flow: name for flow, name in placed.items() if name != "a"}
        ends = cluster.ends(rest)
        self.assertEqual(len(rest) * len(HOSTS), ends["kept"])

    def test_records_of_given_up_flows_do_not_outlive_a_return(self) -> None:
        cluster, placed = changed()
        out = builders.upstream("d", CENTRES[ord("d") % 3]).data_centre
        third = builders.configuration(
            3, [rota("abc", "bcd", "bc", drained="a")], CENTRES, out=[out]
        )
        cluster.change(third)
        back = builders.configuration(
            4, [rota("abc", "bcd", "bc", "bcd", drained="a")], CENTRES
        )
        cluster.change(back)
        gone = [flow for flow, name in placed.items() if name == "d"]
        self.assertNotEqual([], gone)
        for router in cluster.fabric.routers_by_id.values():
            for flow in gone:
                self.assertIsNone(router.recorded_flows("rota").get(flow))

    def test_a_host_cut_off_from_peers_obeys_too(self) -> None:
        cluster = Cluster()
        cluster.change(FIRST)
        placed = cluster.open(EARLY)
        cut_off(cluster)
        cluster.prepare(self.taken_out(cluster), "h2")
        router = cluster.fabric.routers_by_id["h2"]
        for flow, name in placed.items():
            outcome = router.route(KEY, flow, False, False, cluster.now_ms)
            if name == "a":
                self.assertNotIsInstance(outcome, data.Forward)


class MisroutingTest(testtools.TestCase):
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

    def test_an_address_that_moved_gets_no_packet_of_its_old_service(
        self,
    ) -> None:
        cluster = Cluster()
        cluster.change(builders.configuration(1, self.services("rota")))
        placed = cluster.open(EARLY)
        self.assertIn("x", placed.values())
        second = builders.configuration(2, self.services("desk"))
        cluster.prepare(second)
        for flow, name in placed.items():
            outcome = cluster.send(flow)
            if name != "x":
                continue
            assert isinstance(outcome, data.Reset), outcome
            self.assertIsInstance(outcome.reason, failures.UpstreamGone)

    def test_a_service_address_serves_nobody_while_it_moves(self) -> None:
        cluster = Cluster()
        cluster.change(FIRST)
        placed = cluster.open(EARLY)
        desk = builders.service(
            "desk", [builders.upstream("z")], ["z"], first_number=1
        )
        second = builders.configuration(2, [desk])
        cluster.prepare(second, "h0", "h1")
        for flow in placed:
            self.assertIsInstance(cluster.send(flow, "h0"), data.Reset)
        outcome = cluster.send(7_000, "h0", is_opening=True)
        self.assertIsInstance(outcome, data.Drop)
        cluster.change(second)
        cluster.wait(4_000)
        outcome = cluster.send(7_000, is_opening=True)
        assert isinstance(outcome, data.Forward), outcome
        self.assertEqual("z", outcome.upstream.name)

    def test_a_relay_for_a_foreign_upstream_is_dropped(self) -> None:
        cluster = Cluster()
        cluster.change(FIRST)
        header = data.RelayHeader(("h1",), "stranger", 1)
        outcome = cluster.fabric.routers_by_id["h0"].route_relayed(
            header, KEY, 5, False, False, cluster.now_ms
        )
        assert isinstance(outcome, data.Drop), outcome
        self.assertIsInstance(outcome.reason, failures.ForeignUpstream)


class ColdWithoutWarningTest(testtools.TestCase):
    def test_new_flows_stay_within_the_ramp(self) -> None:
        cluster = Cluster()
        cluster.change(FIRST)
        cluster.wait(3_000)
        overlay = data.UpstreamObservation(
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
        cluster.change(cold)
        for router in cluster.fabric.routers_by_id.values():
            router.apply_observation(overlay, cluster.now_ms)
        cluster.wait(3_000)
        counts: list[int] = []
        for second in range(5):
            placed = cluster.open(range(10_000 * second, 10_000 * second + 600))
            counts.append(list(placed.values()).count("a"))
            self.assertEqual(600, len(placed))
            cluster.wait(1_100)
        self.assertTrue(sum(counts) > 0, counts)
        self.assertTrue(max(counts) <= 12, counts)
