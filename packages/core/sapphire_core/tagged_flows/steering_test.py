import testtools

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import steering
from sapphire_core.tagged_flows import tags
from sapphire_lab.tagged_flows import builders

WAIT_MS = steering.ANSWER_TIMEOUT_MS


def target(action: data.Action | None) -> str:
    """Returns the upstream that a packet was sent to."""
    if not isinstance(action, data.Forward):
        return ""
    return action.upstream.upstream_id


class OpeningTest(testtools.TestCase):
    def test_the_tag_of_the_chosen_upstream_goes_with_the_packet(self) -> None:
        bench = builders.SteeringBench(builders.upstream("i-1"))
        action = bench.open(1, 0)
        assert isinstance(action, data.Forward)
        self.assertEqual(tags.tag_of("i-1"), action.tag)

    def test_a_tag_on_an_opening_packet_is_not_believed(self) -> None:
        bench = builders.SteeringBench(
            builders.upstream("i-1"), builders.upstream("i-2", "intake")
        )
        forged = builders.opening(1, tag=tags.tag_of("i-2"))
        self.assertEqual("i-1", target(bench.steering.handle(forged, 0)))

    def test_without_route_or_upstream_the_caller_is_told_at_once(self) -> None:
        bench = builders.SteeringBench()
        no_route = bench.steering.handle(builders.opening(1, port=9), 0)
        self.assertEqual(
            data.Reset(builders.opening(1, port=9), data.Verdict.NO_ROUTE),
            no_route,
        )
        no_upstream = bench.open(2, 0)
        self.assertEqual(
            data.Reset(builders.opening(2), data.Verdict.NO_UPSTREAM),
            no_upstream,
        )

    def test_a_silent_upstream_is_left_before_the_caller_asks_again(
        self,
    ) -> None:
        bench = builders.SteeringBench(
            builders.upstream("i-1"), builders.upstream("i-2")
        )
        first = target(bench.open(1, 0))
        self.assertEqual([], bench.steering.tick(WAIT_MS - 1))
        actions = bench.steering.tick(WAIT_MS)
        self.assertEqual(1, len(actions))
        self.assertNotIn(target(actions[0]), ("", first))

    def test_what_one_opening_learned_serves_the_next(self) -> None:
        bench = builders.SteeringBench(
            builders.upstream("i-1"), builders.upstream("i-2")
        )
        silent = target(bench.open(1, 0))
        bench.steering.tick(WAIT_MS)
        for number in range(2, 10):
            action = bench.open(number, WAIT_MS + number)
            self.assertNotEqual(silent, target(action))
            bench.answer(number, action, WAIT_MS + number + 5)

    def test_a_single_upstream_gets_the_copies_too(self) -> None:
        bench = builders.SteeringBench(builders.upstream("i-1"))
        bench.open(1, 0)
        self.assertEqual([], bench.steering.tick(WAIT_MS))
        self.assertEqual("i-1", target(bench.open(1, 200, retransmissions=1)))
        self.assertEqual("i-1", target(bench.open(1, 600, retransmissions=2)))

    def test_tries_are_bounded(self) -> None:
        # Most often it is the caller that is silent.
        upstreams = [builders.upstream(f"i-{n}") for n in range(9)]
        bench = builders.SteeringBench(*upstreams)
        bench.open(1, 0)
        sent = [
            action
            for now_ms in range(10, 1_400, 10)
            for action in bench.steering.tick(now_ms)
        ]
        self.assertEqual(steering.MAX_TRIES - 1, len(sent))
        self.assertIsInstance(
            bench.open(1, 1_400, retransmissions=1), data.Forward
        )

    def test_draining_out_and_cold_upstreams_get_no_new_flow(self) -> None:
        draining = data.UpstreamState.DRAINING
        bench = builders.SteeringBench(
            builders.upstream("i-1"),
            builders.upstream("i-2", state=draining),
            builders.upstream("i-3", data_centre="salem"),
            builders.upstream("i-4", cold_ms=2_000),
        )
        bench.steering.upstream_table.set_out_of_rotation("salem", is_out=True)
        chosen = {target(bench.open(n, 0)) for n in range(50)}
        self.assertEqual({"i-1"}, chosen)


class RefusalTest(testtools.TestCase):
    """The load pattern: an upstream that does not listen resets openings.

    Its callers open another flow within milliseconds, and give up after two.
    """

    def test_the_next_try_of_a_caller_goes_to_another_upstream(self) -> None:
        for _ in range(20):
            bench = builders.SteeringBench(
                builders.upstream("i-1"),
                builders.upstream("i-2", data_centre="salem"),
            )
            first = target(bench.open(1, 0))
            second = target(bench.open(2, 5))
            self.assertEqual({"i-1", "i-2"}, {first, second})

    def test_with_one_upstream_it_goes_there_again(self) -> None:
        bench = builders.SteeringBench(builders.upstream("i-1"))
        bench.open(1, 0)
        self.assertEqual("i-1", target(bench.open(2, 5)))

    def test_only_the_first_upstream_of_such_an_opening_is_avoided(
        self,
    ) -> None:
        # The caller has gone and answers none of the others.
        bench = builders.SteeringBench(
            builders.upstream("i-1"),
            builders.upstream("i-2", data_centre="salem"),
            builders.upstream("i-3", data_centre="salem"),
        )
        self.assertEqual("i-1", target(bench.open(1, 0)))
        for now_ms in range(10, 200, 10):
            bench.steering.tick(now_ms)
        silent = [
            report.tag
            for report in bench.steering.selector.upstream_reports(200)
            if report.silent_ms > 0
        ]
        self.assertEqual([tags.tag_of("i-1")], silent)

    def test_peers_are_to_know_at_once(self) -> None:
        bench = builders.SteeringBench(builders.upstream("i-1"))
        bench.open(1, 0)
        self.assertFalse(bench.steering.selector.has_urgent_report)
        bench.steering.tick(WAIT_MS)
        self.assertTrue(bench.steering.selector.has_urgent_report)


class ShiftTest(testtools.TestCase):
    """Hosts join or leave, and callers' answers pass through others."""

    def test_an_answer_that_passed_elsewhere_is_not_silence(self) -> None:
        bench = builders.SteeringBench(
            builders.upstream("i-1"), builders.upstream("i-2")
        )
        bench.steering.record_membership_change(0)
        first = target(bench.open(1, 0))
        for now_ms in range(10, 200, 10):
            self.assertEqual([], bench.steering.tick(now_ms))
        self.assertEqual((), bench.steering.selector.upstream_reports(200))
        self.assertNotIn(
            target(bench.open(1, 200, retransmissions=1)), ("", first)
        )

    def test_it_holds_for_openings_on_the_way_when_it_begins_and_ends(
        self,
    ) -> None:
        bench = builders.SteeringBench(
            builders.upstream("i-1"), builders.upstream("i-2")
        )
        bench.open(1, 0)
        bench.steering.record_membership_change(10)
        for now_ms in range(10, 1_600, 10):
            self.assertEqual([], bench.steering.tick(now_ms))

    def test_it_ends_once_the_fabric_has_settled(self) -> None:
        bench = builders.SteeringBench(
            builders.upstream("i-1"), builders.upstream("i-2")
        )
        bench.steering.record_membership_change(0)
        now_ms = steering.MEMBERSHIP_GRACE_MS
        bench.steering.tick(now_ms)
        bench.open(1, now_ms)
        self.assertEqual(1, len(bench.steering.tick(now_ms + WAIT_MS)))


class ColdStartTest(testtools.TestCase):
    """All hosts and all upstreams of a service have just started."""

    def flows(self, hosts: int, rate: float) -> int:
        """Returns how many flows one host gives a cold upstream in 1 s."""
        bench = builders.SteeringBench(builders.upstream("i-1", cold_ms=60_000))
        bench.steering.configure(
            builders.configuration(2, cold_flows_per_s=rate)
        )
        bench.steering.record_membership_change(0)
        if hosts:
            after_ms = steering.MEMBERSHIP_GRACE_MS
            bench.steering.apply_peer_reports({}, {}, hosts, after_ms)
        started_ms = 2_000
        return sum(
            isinstance(bench.open(n, started_ms + n * 10), data.Forward)
            for n in range(100)
        )

    def test_a_host_that_has_heard_of_none_takes_a_small_part(self) -> None:
        # Else nine hosts that have just started give nine times the rate.
        self.assertLessEqual(self.flows(0, 10.0), 1)

    def test_a_host_that_has_heard_the_others_takes_its_part(self) -> None:
        self.assertGreaterEqual(self.flows(2, 20.0), 4)
        self.assertLessEqual(self.flows(2, 20.0), 10)

    def test_hosts_that_join_are_counted_before_all_are_heard(self) -> None:
        bench = builders.SteeringBench(builders.upstream("i-1", cold_ms=60_000))
        bench.steering.record_membership_change(0)
        # The first beat is of one peer only.
        bench.steering.apply_peer_reports({}, {}, 2, 10)
        sent = [bench.open(n, 20 + n * 10) for n in range(100)]
        forwards = [a for a in sent if isinstance(a, data.Forward)]
        self.assertLessEqual(len(forwards), 1)


class OpenFlowTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.bench = builders.SteeringBench(
            builders.upstream("i-1"), builders.upstream("i-2")
        )
        self.steering = self.bench.steering

    def handle(self, tag: int, now_ms: int = 0, number: int = 1) -> str:
        packet = builders.packet(number, tag=tag)
        return target(self.steering.handle(packet, now_ms))

    def test_a_host_that_never_saw_the_flow_carries_it(self) -> None:
        for number, upstream_id in enumerate(("i-1", "i-2")):
            tag = tags.tag_of(upstream_id)
            self.assertEqual(upstream_id, self.handle(tag, number=number))

    def test_planned_changes_leave_flows_where_they_are(self) -> None:
        tag = tags.tag_of("i-1")
        draining = builders.upstream("i-1", state=data.UpstreamState.DRAINING)
        self.steering.upstream_table.put(draining, 9, 0)
        self.assertEqual("i-1", self.handle(tag))
        self.steering.upstream_table.set_out_of_rotation(
            builders.DATA_CENTRE, is_out=True
        )
        self.assertEqual("i-1", self.handle(tag))
        self.steering.configure(builders.configuration(2, ("other",)))
        self.assertEqual("i-1", self.handle(tag))
        self.steering.upstream_table.remove(
            "i-1", 0, data.RemovalCause.UPSTREAM_STOPPED
        )
        self.assertEqual("i-1", self.handle(tag))

    def test_a_tag_that_no_one_wrote_goes_nowhere(self) -> None:
        action = self.steering.handle(builders.packet(1, tag=12345), 0)
        self.assertIsInstance(action, data.Drop)

    def test_a_flow_whose_address_was_reused_is_ended_at_once(self) -> None:
        upstream = builders.upstream("i-1")
        self.steering.upstream_table.remove(
            "i-1", 0, data.RemovalCause.UPSTREAM_STOPPED
        )
        other = builders.upstream("i-9", "intake", address=upstream.address)
        self.steering.upstream_table.put(other, 9, 2_000)
        packet = builders.packet(1, tag=tags.tag_of("i-1"))
        self.assertEqual(
            data.Reset(packet, data.Verdict.UPSTREAM_GONE),
            self.steering.handle(packet, 2_100),
        )

    def test_an_opening_sent_to_two_stays_with_the_one_that_opened_it(
        self,
    ) -> None:
        # Both answer; the second answer reaches the caller after the first
        # was acknowledged, and its tag is on the packets from then on.
        first = self.bench.open(1, 0)
        second = self.steering.tick(WAIT_MS)[0]
        assert isinstance(first, data.Forward)
        assert isinstance(second, data.Forward)
        name = first.upstream.upstream_id
        self.assertEqual(name, self.handle(first.tag, WAIT_MS + 1))
        self.assertEqual(name, self.handle(second.tag, WAIT_MS + 2))

    def test_a_flow_keeps_its_upstream_at_a_host_that_joined_meanwhile(
        self,
    ) -> None:
        # The host saw neither opening packet, only what came after them.
        self.assertEqual("i-1", self.handle(tags.tag_of("i-1"), 0))
        self.assertEqual("i-1", self.handle(tags.tag_of("i-2"), 1))

    def test_a_port_that_is_used_again_opens_another_flow(self) -> None:
        first = self.bench.open(1, 0)
        assert isinstance(first, data.Forward)
        self.handle(first.tag, 5)
        name = first.upstream.upstream_id
        draining = builders.upstream(name, state=data.UpstreamState.DRAINING)
        self.steering.upstream_table.put(draining, 9, 10)
        again = self.bench.open(1, 5_000)
        self.assertNotIn(target(again), ("", name))

    def test_answers_that_wait_while_the_host_stands_still_count(self) -> None:
        self.bench.open(1, 0)
        self.steering.tick(10)
        self.assertEqual([], self.steering.tick(2_010))
        self.assertEqual([], self.bench.steering.tick(2_020))

    def test_a_late_copy_of_the_opening_goes_where_the_flow_is(self) -> None:
        first = self.bench.open(1, 0)
        assert isinstance(first, data.Forward)
        self.handle(first.tag, 5)
        copy = self.bench.open(1, 200, retransmissions=1)
        self.assertEqual(first.upstream.upstream_id, target(copy))


class ConfigurationTest(testtools.TestCase):
    def test_an_older_configuration_is_not_taken(self) -> None:
        bench = builders.SteeringBench()
        self.assertTrue(bench.steering.configure(builders.configuration(5)))
        for version in (5, 4, 1):
            older = builders.configuration(version, ("other",))
            self.assertFalse(bench.steering.configure(older))
        configuration = bench.steering.configuration
        assert configuration is not None
        self.assertEqual(5, configuration.version)

    def test_copies_of_an_opening_get_the_same_share_of_a_split_route(
        self,
    ) -> None:
        bench = builders.SteeringBench(
            builders.upstream("i-1", "old"), builders.upstream("i-2", "new")
        )
        plain = builders.configuration(2, ("old", "new"))
        shares = (data.ServiceShare("old", 90), data.ServiceShare("new", 10))
        endpoint = (builders.SERVICE_ADDRESS, builders.SERVICE_PORT)
        split = data.Configuration(
            2,
            {endpoint: data.Route("split", shares, 1, 200)},
            plain.services_by_name,
            15_000,
        )
        bench.steering.configure(split)
        chosen = [target(bench.open(n, 0)) for n in range(1_000)]
        self.assertGreater(chosen.count("i-2"), 50)
        self.assertLess(chosen.count("i-2"), 200)
        other = builders.SteeringBench(
            builders.upstream("i-1", "old"), builders.upstream("i-2", "new")
        )
        other.steering.configure(split)
        self.assertEqual(
            chosen, [target(other.open(n, 0)) for n in range(1_000)]
        )
