from collections.abc import Callable
import dataclasses

import testtools
from testtools import matchers

from sapphire_core.membership import data
from sapphire_core.membership import failures
from sapphire_core.membership import membership
from sapphire_data import records
from sapphire_lab.membership import builders
from sapphire_lab.membership import network

_ALL = frozenset(
    f"h{centre}-{index}" for centre in range(3) for index in range(3)
)
_DC0 = frozenset(name for name in _ALL if name.startswith("h0"))


def _members_known_to(net: network.Network, host_id: str) -> frozenset[str]:
    view = net.hosts_by_id[host_id].core.view()
    return frozenset(view.members_by_id)


def _drop_tenth_of_messages(net: network.Network) -> None:
    def link(source: str, target: str, now_ms: int) -> tuple[int, ...]:
        return () if net.rng.random() < 0.1 else (1,)

    net.link = link


def _delay_and_duplicate(net: network.Network) -> None:
    def link(source: str, target: str, now_ms: int) -> tuple[int, ...]:
        return (1 + net.rng.randrange(100), 1 + net.rng.randrange(2_000))

    net.link = link


def _drop_one_direction(net: network.Network) -> None:
    def link(source: str, target: str, now_ms: int) -> tuple[int, ...]:
        return () if (source, target) == ("h0-0", "h0-1") else (1,)

    net.link = link


def _partition_data_centre(net: network.Network) -> None:
    def link(source: str, target: str, now_ms: int) -> tuple[int, ...]:
        return () if (source in _DC0) != (target in _DC0) else (1,)

    net.link = link


def _partition_host(net: network.Network) -> None:
    def link(source: str, target: str, now_ms: int) -> tuple[int, ...]:
        return () if "h0-0" in (source, target) else (1,)

    net.link = link


def _crash(*host_ids: str) -> Callable[[network.Network], None]:
    def fault(net: network.Network) -> None:
        for host_id in host_ids:
            net.stop(host_id)

    return fault


def _leave(net: network.Network) -> None:
    net.apply_actions("h0-0", net.hosts_by_id["h0-0"].core.leave(net.now_ms))
    net.run(200)
    net.stop("h0-0")


def _restart(net: network.Network) -> None:
    net.stop("h0-0")
    old = builders.addresses(3, 3)[0]
    seeds = builders.seeds(builders.addresses(3, 3)[1:2])
    net.start(dataclasses.replace(old, host_id="new"), seeds)


def _restart_with_earlier_clock(net: network.Network) -> None:
    later = dataclasses.replace(builders.addresses(3, 3)[0], host_id="later")
    net.stop("h0-0")
    seeds = builders.seeds(builders.addresses(3, 3)[1:2])
    simulated_host = net.start(later, seeds)
    simulated_host.core = membership.Membership(later, 1, seeds, 5)


@dataclasses.dataclass(frozen=True, slots=True)
class _Case:
    name: str
    fault: Callable[[network.Network], None]
    wait_ms: int
    expected_by_id: dict[str, frozenset[str]]


def _all_know_each_other(host_ids: frozenset[str]) -> dict[str, frozenset[str]]:
    return dict.fromkeys(host_ids, host_ids)


# Each case: a fault, and which members each host knows once the time is over.
_CASES = (
    _Case(
        "a tenth of messages lost",
        _drop_tenth_of_messages,
        10_000,
        _all_know_each_other(_ALL),
    ),
    _Case(
        "messages delayed and duplicated",
        _delay_and_duplicate,
        10_000,
        _all_know_each_other(_ALL),
    ),
    _Case(
        "one direction between two hosts lost",
        _drop_one_direction,
        10_000,
        _all_know_each_other(_ALL),
    ),
    _Case(
        "one host crashed",
        _crash("h0-0"),
        5_000,
        _all_know_each_other(_ALL - {"h0-0"}),
    ),
    _Case(
        "three hosts crashed",
        _crash("h0-0", "h1-1", "h2-2"),
        5_000,
        _all_know_each_other(_ALL - {"h0-0", "h1-1", "h2-2"}),
    ),
    _Case(
        "two hosts of one data centre crashed",
        _crash("h0-0", "h0-1"),
        6_000,
        _all_know_each_other(_ALL - {"h0-0", "h0-1"}),
    ),
    _Case(
        "data centre crashed",
        _crash(*_DC0),
        5_000,
        _all_know_each_other(_ALL - _DC0),
    ),
    _Case(
        "data centre partitioned",
        _partition_data_centre,
        5_000,
        _all_know_each_other(_ALL - _DC0) | _all_know_each_other(_DC0),
    ),
    _Case(
        "host partitioned",
        _partition_host,
        8_000,
        _all_know_each_other(_ALL - {"h0-0"}) | {"h0-0": frozenset({"h0-0"})},
    ),
    _Case("host leaving", _leave, 2_500, _all_know_each_other(_ALL - {"h0-0"})),
    _Case(
        "host restarted",
        _restart,
        2_000,
        _all_know_each_other(_ALL - {"h0-0"} | {"new"}),
    ),
    _Case(
        "host restarted with an earlier clock",
        _restart_with_earlier_clock,
        3_000,
        _all_know_each_other(_ALL - {"h0-0"} | {"later"}),
    ),
)


class FaultTableTest(testtools.TestCase):
    def test_each_fault_leads_to_the_expected_views_in_time(self) -> None:
        for case in _CASES:
            for seed in (1, 2):
                net = builders.joined_fleet(seed)
                case.fault(net)
                net.run(case.wait_ms)
                for host_id, expected in case.expected_by_id.items():
                    seen = _members_known_to(net, host_id)
                    reason = f"{case.name}, seed {seed}, {host_id}: {seen}"
                    self.assertThat(
                        seen == expected, matchers.Equals(True), reason
                    )

    def test_all_hosts_know_each_other_again_after_the_fault(self) -> None:
        for fault in (
            _partition_data_centre,
            _partition_host,
            _drop_tenth_of_messages,
        ):
            net = builders.joined_fleet(3)
            fault(net)
            net.run(20_000)
            net.link = lambda source, target, now_ms: (1,)
            net.run(8_000)
            for host_id in _ALL:
                self.assertThat(
                    _members_known_to(net, host_id), matchers.Equals(_ALL)
                )

    def test_message_loss_never_removes_a_live_host(self) -> None:
        for fault in (_drop_tenth_of_messages, _drop_one_direction):
            net = builders.joined_fleet(4)
            fault(net)
            net.run(30_000)
            for simulated_host in net.hosts_by_id.values():
                for time_ms, view in simulated_host.views:
                    if time_ms < 5_000:
                        continue
                    seen = frozenset(view.members_by_id)
                    self.assertThat(seen, matchers.Equals(_ALL))


class StallTest(testtools.TestCase):
    def test_stalled_host_is_not_fresh_at_once_and_rejoins(self) -> None:
        net = builders.joined_fleet(1)
        core = net.hosts_by_id["h0-0"].core
        net.stop("h0-0")
        net.run(10_000)
        self.assertThat(
            core.fresh_until_ms(net.now_ms), matchers.LessThan(net.now_ms)
        )
        actions = core.tick(net.now_ms)
        views = [a.view for a in actions if isinstance(a, data.ViewChanged)]
        self.assertThat(views[0].is_fresh, matchers.Equals(False))
        net.apply_actions("h0-0", actions)
        net.resume("h0-0")
        net.run(3_000)
        self.assertThat(core.view().is_fresh, matchers.Equals(True))
        for host_id in _ALL:
            self.assertThat(
                _members_known_to(net, host_id), matchers.Equals(_ALL)
            )

    def test_answer_to_a_probe_from_before_a_stall_is_ignored(
        self,
    ) -> None:
        net = builders.joined_fleet(1)
        core = net.hosts_by_id["h0-0"].core
        net.stop("h0-0")
        net.run(1_200)
        origin = data.MemberEntry(
            builders.addresses(3, 3)[1], 2_000_000, records.MemberState.ALIVE
        )
        for number in range(60):
            ack = data.GossipMessage(data.MessageKind.ACK, number, origin)
            core.receive(ack, "h0-1", net.now_ms)
        self.assertThat(core.view().is_fresh, matchers.Equals(False))

    def test_rejoin_delay_grows_with_each_stall(self) -> None:
        net = builders.joined_fleet(1)
        delays: list[int] = []
        for _ in range(3):
            net.stop("h0-0")
            net.run(6_000)
            net.resume("h0-0")
            resumed_ms = net.now_ms
            while "h0-0" not in _members_known_to(net, "h0-1"):
                net.run(50)
            delays.append(net.now_ms - resumed_ms)
            net.run(500)
        self.assertThat(delays[2] - delays[1], matchers.GreaterThan(500))


class FreshnessTest(testtools.TestCase):
    def test_partitioned_host_is_not_fresh_once_peers_declare_it_dead(
        self,
    ) -> None:
        net = builders.joined_fleet(1)
        core = net.hosts_by_id["h0-0"].core
        _partition_host(net)
        while "h0-0" in _members_known_to(net, "h0-1"):
            net.run(10)
        self.assertThat(
            core.fresh_until_ms(net.now_ms), matchers.LessThan(net.now_ms)
        )

    def test_host_without_peers_waits_only_if_others_are_listed(self) -> None:
        host = builders.addresses(1, 1)[0]
        other = data.Seed("10.9.9.9", 7_000)
        table = (((), 0, True), ((other,), 0, False), ((other,), 3_000, True))
        for seeds, wait_ms, expected in table:
            net = network.Network(1)
            simulated_host = net.start(host, seeds)
            net.run(200 + wait_ms)
            self.assertThat(
                simulated_host.core.view().is_fresh, matchers.Equals(expected)
            )


class HostListTest(testtools.TestCase):
    def test_unknown_host_on_the_list_is_discovered(self) -> None:
        net = builders.joined_fleet(1)
        lone = network.host_address("lone", "dc0", "10.7.0.1")
        net.start(lone)
        net.run(1_000)
        core = net.hosts_by_id["h2-2"].core
        listed = (data.Seed("10.7.0.1", 7_000), data.Seed("10.7.0.2", 7_000))
        net.apply_actions("h2-2", core.set_host_list(listed, net.now_ms))
        net.run(15_000)
        for host_id in _ALL | {"lone"}:
            self.assertThat(
                _members_known_to(net, host_id),
                matchers.Equals(_ALL | {"lone"}),
            )

    def test_live_host_missing_from_the_list_is_not_removed(self) -> None:
        net = builders.joined_fleet(1)
        for host_id, simulated_host in net.hosts_by_id.items():
            net.apply_actions(
                host_id, simulated_host.core.set_host_list((), net.now_ms)
            )
        net.run(5_000)
        self.assertThat(_members_known_to(net, "h0-0"), matchers.Equals(_ALL))


class FactTest(testtools.TestCase):
    def test_newest_version_reaches_all_hosts_within_a_second(self) -> None:
        net = builders.joined_fleet(1)
        _drop_tenth_of_messages(net)
        for host_id, version in (("h0-0", 3), ("h2-1", 4), ("h1-1", 2)):
            core = net.hosts_by_id[host_id].core
            actions = core.set_fact("head", version, b"x", net.now_ms)
            net.apply_actions(host_id, actions.ok)
        net.run(1_000)
        for simulated_host in net.hosts_by_id.values():
            fact = simulated_host.core.facts(net.now_ms)["head"]
            self.assertThat(fact.version, matchers.Equals(4))

    def test_urgent_fact_overtakes_a_backlog_of_other_facts(self) -> None:
        net = builders.joined_fleet(1, hosts_each=8)
        for index, (host_id, simulated_host) in enumerate(
            net.hosts_by_id.items()
        ):
            fact = simulated_host.core.set_fact(
                f"overlay/{index}", 1, b"x" * 400, net.now_ms
            )
            net.apply_actions(host_id, fact.ok)
        net.run(1_000)
        core = net.hosts_by_id["h1-1"].core
        head = core.set_fact("urgent/head", 1, b"x" * 40, net.now_ms)
        net.apply_actions("h1-1", head.ok)
        net.run(1_000)
        for simulated_host in net.hosts_by_id.values():
            self.assertThat(
                "urgent/head" in simulated_host.core.facts(net.now_ms),
                matchers.Equals(True),
            )

    def test_expired_fact_is_gone_on_all_hosts(self) -> None:
        net = builders.joined_fleet(1)
        core = net.hosts_by_id["h0-0"].core
        actions = core.set_fact("o", 1, b"x", net.now_ms, ttl_ms=2_000)
        net.apply_actions("h0-0", actions.ok)
        net.run(1_000)
        self.assertThat(
            "o" in net.hosts_by_id["h2-2"].core.facts(net.now_ms),
            matchers.Equals(True),
        )
        net.run(2_000)
        for simulated_host in net.hosts_by_id.values():
            self.assertThat(
                "o" in simulated_host.core.facts(net.now_ms),
                matchers.Equals(False),
            )

    def test_stale_and_too_large_facts_are_typed_failures(self) -> None:
        core = builders.joined_fleet(1).hosts_by_id["h0-0"].core
        core.set_fact("k", 5, b"", 9_000)
        stale = core.set_fact("k", 5, b"", 9_000)
        expected = failures.StaleFact("k", 5, 5)
        self.assertThat(stale.error == expected, matchers.Equals(True))
        large = core.set_fact("k", 6, b"x" * 2_000, 9_000)
        self.assertThat(large.error.code, matchers.Equals("FactTooLarge"))

    def test_fact_bypasses_a_partition_between_two_data_centres(self) -> None:
        net = builders.joined_fleet(1)

        def link(source: str, target: str, now_ms: int) -> tuple[int, ...]:
            ends = {source[:2], target[:2]}
            return () if ends == {"h0", "h1"} else (1,)

        net.link = link
        core = net.hosts_by_id["h0-0"].core
        net.apply_actions("h0-0", core.set_fact("head", 1, b"", net.now_ms).ok)
        net.run(4_000)
        for simulated_host in net.hosts_by_id.values():
            self.assertThat(
                "head" in simulated_host.core.facts(net.now_ms),
                matchers.Equals(True),
            )


class PreparedTest(testtools.TestCase):
    def test_barrier_waits_for_the_last_live_host(self) -> None:
        net = builders.joined_fleet(1)
        for host_id in sorted(_ALL - {"h2-2"}):
            core = net.hosts_by_id[host_id].core
            actions = core.set_prepared_revision(7, net.now_ms)
            net.apply_actions(host_id, actions)
        net.run(2_000)
        for simulated_host in net.hosts_by_id.values():
            prepared = simulated_host.core.view().prepared_everywhere
            self.assertThat(prepared, matchers.Equals(0))
        core = net.hosts_by_id["h2-2"].core
        net.apply_actions("h2-2", core.set_prepared_revision(7, net.now_ms))
        net.run(1_000)
        for simulated_host in net.hosts_by_id.values():
            prepared = simulated_host.core.view().prepared_everywhere
            self.assertThat(prepared, matchers.Equals(7))

    def test_partitioned_host_receives_the_barrier_afterwards(
        self,
    ) -> None:
        net = builders.joined_fleet(1)
        for host_id, simulated_host in net.hosts_by_id.items():
            actions = simulated_host.core.set_prepared_revision(7, net.now_ms)
            net.apply_actions(host_id, actions)
            if host_id == "h0-0":
                net.run(100)
                _partition_host(net)
        net.run(1_500)
        net.link = lambda source, target, now_ms: (1,)
        net.run(6_000)
        for simulated_host in net.hosts_by_id.values():
            prepared = simulated_host.core.view().prepared_everywhere
            self.assertThat(prepared, matchers.Equals(7))

    def test_dead_host_does_not_block_the_barrier(self) -> None:
        net = builders.joined_fleet(1)
        net.stop("h2-2")
        for host_id, simulated_host in net.running_hosts().items():
            actions = simulated_host.core.set_prepared_revision(7, net.now_ms)
            net.apply_actions(host_id, actions)
        net.run(5_000)
        for simulated_host in net.running_hosts().values():
            prepared = simulated_host.core.view().prepared_everywhere
            self.assertThat(prepared, matchers.Equals(7))


class MessageTest(testtools.TestCase):
    def test_sender_other_than_the_origin_is_rejected(self) -> None:
        core = builders.joined_fleet(1).hosts_by_id["h0-0"].core
        origin = data.MemberEntry(
            builders.addresses(3, 3)[1], 9, records.MemberState.ALIVE
        )
        ping = data.GossipMessage(data.MessageKind.PING, 1, origin)
        actions = core.receive(ping, "h2-2", 5_010)
        failure = failures.SenderMismatch("h2-2", "h0-1")
        expected = (data.Rejected(failure),)
        self.assertThat(actions == expected, matchers.Equals(True))
