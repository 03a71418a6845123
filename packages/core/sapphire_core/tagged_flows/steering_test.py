import testtools

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import tags
from sapphire_core.tagged_flows.openings import answer_timeout
from sapphire_core.tagged_flows.openings import failovers
from sapphire_core.tagged_flows.openings import openings
from sapphire_lab.tagged_flows import builders

TIMEOUT_MS = answer_timeout.MIN_TIMEOUT_MS


def target(action: data.Action | None) -> str:
    """Returns the upstream that gets the packet, empty if none does."""
    if not isinstance(action, data.Forward):
        return ""
    return action.upstream.upstream_id


class OpeningTest(testtools.TestCase):
    def test_the_tag_of_the_selected_upstream_is_written_into_the_packet(
        self,
    ) -> None:
        bench = builders.SteeringBench(builders.upstream("i-1"))
        action = bench.open(1, 0)
        assert isinstance(action, data.Forward)
        self.assertEqual(tags.tag_of("i-1"), action.tag)

    def test_a_tag_on_an_opening_packet_is_ignored(self) -> None:
        bench = builders.SteeringBench(
            builders.upstream("i-1"), builders.upstream("i-2", "intake")
        )
        forged = builders.opening(1, tag=tags.tag_of("i-2"))
        self.assertEqual("i-1", target(bench.steering.handle(forged, 0)))

    def test_a_flow_without_route_or_upstream_is_reset(self) -> None:
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

    def test_an_unresponsive_upstream_is_failed_over_before_a_retransmission(
        self,
    ) -> None:
        bench = builders.SteeringBench(
            builders.upstream("i-1"), builders.upstream("i-2")
        )
        first = target(bench.open(1, 0))
        self.assertEqual([], bench.steering.tick(TIMEOUT_MS - 1))
        actions = bench.steering.tick(TIMEOUT_MS)
        self.assertEqual(1, len(actions))
        self.assertNotIn(target(actions[0]), ("", first))

    def test_new_flows_avoid_an_unresponsive_upstream(self) -> None:
        bench = builders.SteeringBench(
            builders.upstream("i-1"), builders.upstream("i-2")
        )
        unresponsive = target(bench.open(1, 0))
        bench.steering.tick(TIMEOUT_MS)
        for number in range(2, 10):
            action = bench.open(number, TIMEOUT_MS + number)
            self.assertNotEqual(unresponsive, target(action))
            bench.answer(number, action, TIMEOUT_MS + number + 5)

    def test_a_single_upstream_gets_the_retransmissions(self) -> None:
        bench = builders.SteeringBench(builders.upstream("i-1"))
        bench.open(1, 0)
        self.assertEqual([], bench.steering.tick(TIMEOUT_MS))
        self.assertEqual("i-1", target(bench.open(1, 200, retransmissions=1)))
        self.assertEqual("i-1", target(bench.open(1, 600, retransmissions=2)))

    def test_attempts_are_bounded(self) -> None:
        # If no upstream answers, most often the caller itself has gone.
        upstreams = [builders.upstream(f"i-{n}") for n in range(9)]
        bench = builders.SteeringBench(*upstreams)
        bench.open(1, 0)
        sent = [
            action
            for now_ms in range(10, 1_400, 10)
            for action in bench.steering.tick(now_ms)
        ]
        self.assertEqual(failovers.MAX_ATTEMPTS - 1, len(sent))
        self.assertIsInstance(
            bench.open(1, 1_400, retransmissions=1), data.Forward
        )

    def test_only_ready_warm_upstreams_in_rotation_get_new_flows(self) -> None:
        draining = data.UpstreamState.DRAINING
        bench = builders.SteeringBench(
            builders.upstream("i-1"),
            builders.upstream("i-2", state=draining),
            builders.upstream("i-3", data_centre="salem"),
            builders.upstream("i-4", cold_ms=2_000),
        )
        bench.steering.upstream_table.set_out_of_rotation("salem", is_out=True)
        selected = {target(bench.open(n, 0)) for n in range(50)}
        self.assertEqual({"i-1"}, selected)


class RefusedOpeningTest(testtools.TestCase):
    """Load pattern: an upstream that does not listen resets its new flows.

    The host does not see the resets. A caller opens a second flow within
    milliseconds and gives up if that is reset as well.
    """

    def test_the_next_flow_of_a_refused_caller_gets_another_upstream(
        self,
    ) -> None:
        for _ in range(20):
            bench = builders.SteeringBench(
                builders.upstream("i-1"),
                builders.upstream("i-2", data_centre="salem"),
            )
            first = target(bench.open(1, 0))
            second = target(bench.open(2, 5))
            self.assertEqual({"i-1", "i-2"}, {first, second})

    def test_a_single_upstream_gets_the_next_flow_too(self) -> None:
        bench = builders.SteeringBench(builders.upstream("i-1"))
        bench.open(1, 0)
        self.assertEqual("i-1", target(bench.open(2, 5)))

    def test_only_the_first_upstream_of_a_refused_flow_is_avoided(
        self,
    ) -> None:
        # The caller has been reset and answers none of the later upstreams, so
        # their timeouts say nothing about them.
        bench = builders.SteeringBench(
            builders.upstream("i-1"),
            builders.upstream("i-2", data_centre="salem"),
            builders.upstream("i-3", data_centre="salem"),
        )
        self.assertEqual("i-1", target(bench.open(1, 0)))
        for now_ms in range(10, 200, 10):
            bench.steering.tick(now_ms)
        unresponsive = [
            report.tag
            for report in bench.steering.selector.upstream_reports(200)
            if report.silent_ms > 0
        ]
        self.assertEqual([tags.tag_of("i-1")], unresponsive)

    def test_an_unresponsive_upstream_is_reported_to_peers_at_once(
        self,
    ) -> None:
        bench = builders.SteeringBench(builders.upstream("i-1"))
        bench.open(1, 0)
        self.assertFalse(bench.steering.selector.has_urgent_report)
        bench.steering.tick(TIMEOUT_MS)
        self.assertTrue(bench.steering.selector.has_urgent_report)


class MembershipChangeTest(testtools.TestCase):
    """Hosts join or leave, and callers' next packets reach other hosts."""

    def test_a_missing_packet_after_a_membership_change_is_no_timeout(
        self,
    ) -> None:
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

    def test_flows_that_are_half_open_at_the_change_never_time_out(
        self,
    ) -> None:
        bench = builders.SteeringBench(
            builders.upstream("i-1"), builders.upstream("i-2")
        )
        bench.open(1, 0)
        bench.steering.record_membership_change(10)
        for now_ms in range(10, 1_600, 10):
            self.assertEqual([], bench.steering.tick(now_ms))

    def test_flows_opened_after_the_grace_period_fail_over_again(self) -> None:
        bench = builders.SteeringBench(
            builders.upstream("i-1"), builders.upstream("i-2")
        )
        bench.steering.record_membership_change(0)
        now_ms = openings.MEMBERSHIP_GRACE_MS
        bench.steering.tick(now_ms)
        bench.open(1, now_ms)
        self.assertEqual(1, len(bench.steering.tick(now_ms + TIMEOUT_MS)))


class SlowStartTest(testtools.TestCase):
    """All hosts and all upstreams of a service have just started.

    Each host must keep to its part of the cold rate before it knows how many
    other hosts there are.
    """

    def count_flows(self, host_count: int, rate: float) -> int:
        """Returns how many flows one host gives a cold upstream in 1 s.

        Args:
            host_count: The number of hosts as reported after the grace period;
                0 for no report.
            rate: The cold rate in flows a second.
        """
        bench = builders.SteeringBench(builders.upstream("i-1", cold_ms=60_000))
        bench.steering.configure(
            builders.configuration(2, cold_flows_per_s=rate)
        )
        bench.steering.record_membership_change(0)
        if host_count:
            after_ms = openings.MEMBERSHIP_GRACE_MS
            bench.steering.apply_peer_reports({}, {}, host_count, after_ms)
        started_ms = 2_000
        return sum(
            isinstance(bench.open(n, started_ms + n * 10), data.Forward)
            for n in range(100)
        )

    def test_a_host_that_knows_no_peers_uses_a_small_part_of_the_cold_rate(
        self,
    ) -> None:
        # Otherwise nine hosts that have just started would send nine times the
        # rate.
        self.assertLessEqual(self.count_flows(0, 10.0), 1)

    def test_a_host_that_knows_its_peers_uses_its_part_of_the_cold_rate(
        self,
    ) -> None:
        self.assertGreaterEqual(self.count_flows(2, 20.0), 4)
        self.assertLessEqual(self.count_flows(2, 20.0), 10)

    def test_a_partial_host_count_does_not_raise_the_rate(self) -> None:
        bench = builders.SteeringBench(builders.upstream("i-1", cold_ms=60_000))
        bench.steering.record_membership_change(0)
        # The first heartbeat comes from one peer only.
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

    def test_a_host_without_a_record_forwards_by_the_tag(self) -> None:
        for number, upstream_id in enumerate(("i-1", "i-2")):
            tag = tags.tag_of(upstream_id)
            self.assertEqual(upstream_id, self.handle(tag, number=number))

    def test_planned_changes_do_not_move_open_flows(self) -> None:
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

    def test_a_packet_with_an_unknown_tag_is_dropped(self) -> None:
        action = self.steering.handle(builders.packet(1, tag=12345), 0)
        self.assertIsInstance(action, data.Drop)

    def test_a_flow_is_reset_when_the_address_of_its_upstream_is_reused(
        self,
    ) -> None:
        upstream = builders.upstream("i-1")
        self.steering.upstream_table.remove(
            "i-1", 0, data.RemovalCause.UPSTREAM_STOPPED
        )
        other = builders.upstream("i-9", "intake", address=upstream.address)
        self.steering.upstream_table.put(other, 9, 2_000)
        packet = builders.packet(1, tag=tags.tag_of("i-1"))
        for now_ms in (2_100, 2_300):
            # The guard keeps the packet from the upstream that has the address.
            action = self.steering.handle(packet, now_ms)
            assert isinstance(action, data.Forward)
            self.assertEqual(upstream.guard, action.upstream.guard)
        self.assertEqual(
            data.Reset(packet, data.Verdict.UPSTREAM_GONE),
            self.steering.handle(packet, 2_700),
        )

    # Guards against packets of an open flow at an upstream that is not its own:
    # a peer has opened the flow at an upstream that this host does not know.
    def test_an_unknown_tag_is_dropped_at_a_host_that_tried_another(
        self,
    ) -> None:
        self.bench.open(1, 1_000)
        self.steering.record_membership_change(1_010)
        packet = builders.packet(1, tag=tags.tag_of("i-9"))
        self.assertIsInstance(self.steering.handle(packet, 1_300), data.Drop)
        self.steering.upstream_table.put(builders.upstream("i-9"), 9, 1_400)
        self.assertEqual("i-9", self.handle(packet.tag, 1_500))

    def test_a_reset_before_any_answer_reaches_the_upstream_that_was_tried(
        self,
    ) -> None:
        first = self.bench.open(1, 1_000)
        reset = builders.packet(1, tag=data.NO_TAG, is_reset=True)
        self.assertEqual(
            target(first), target(self.steering.handle(reset, 1_010))
        )

    # Guards against packets of an open flow at an upstream that is not its own:
    # the opening was sent to two upstreams, the second answered later, and its
    # tag reaches a host without a record of the flow.
    def test_a_second_answer_does_not_move_the_flow_at_another_host(
        self,
    ) -> None:
        first = self.bench.open(1, 0)
        assert isinstance(first, data.Forward)
        second = self.steering.tick(TIMEOUT_MS)[0]
        assert isinstance(second, data.Forward)
        self.assertEqual(target(first), self.handle(first.tag, TIMEOUT_MS + 5))
        other_host = builders.SteeringBench(
            builders.upstream("i-1"), builders.upstream("i-2")
        )
        self.bench.tell_pins(other_host, TIMEOUT_MS + 10)
        packet = builders.packet(1, tag=second.tag, sequence=302)
        self.assertEqual(
            target(first), target(other_host.steering.handle(packet, 3_000))
        )

    # As before, at the host that opened the flow, if a peer has forwarded the
    # packets that came first.
    def test_a_second_answer_does_not_move_the_flow_at_its_first_host(
        self,
    ) -> None:
        first = self.bench.open(1, 0)
        second = self.steering.tick(TIMEOUT_MS)[0]
        assert isinstance(first, data.Forward)
        assert isinstance(second, data.Forward)
        peer = builders.SteeringBench(
            builders.upstream("i-1"), builders.upstream("i-2")
        )
        self.bench.tell_pins(peer, TIMEOUT_MS + 5)
        peer.steering.handle(builders.packet(1, tag=first.tag), TIMEOUT_MS + 10)
        peer.tell_pins(self.bench, TIMEOUT_MS + 15)
        self.assertEqual(target(first), self.handle(second.tag, 300))

    # As before, if the peer hears of it only after it has forwarded the packets
    # that came first: the first host has tried a second upstream since.
    def test_a_peer_tells_where_a_flow_is_that_became_ambiguous_later(
        self,
    ) -> None:
        first = self.bench.open(1, 0)
        assert isinstance(first, data.Forward)
        peer = builders.SteeringBench(
            builders.upstream("i-1"), builders.upstream("i-2")
        )
        peer.steering.handle(builders.packet(1, tag=first.tag), 5)
        second = self.steering.tick(TIMEOUT_MS)[0]
        assert isinstance(second, data.Forward)
        self.bench.tell_pins(peer, TIMEOUT_MS + 5)
        peer.steering.sweep(TIMEOUT_MS + 10)
        self.assertTrue(peer.steering.flow_pins.has_news)
        peer.tell_pins(self.bench, TIMEOUT_MS + 15)
        self.assertEqual(target(first), self.handle(second.tag, 3_000))

    # Guards against: a third upstream gets the opening of a flow that has gone
    # on at another host, and its answers reach the caller.
    def test_an_opening_that_a_peer_has_pinned_gets_no_further_try(
        self,
    ) -> None:
        first = self.bench.open(1, 0)
        assert isinstance(first, data.Forward)
        self.assertEqual(1, len(self.steering.tick(TIMEOUT_MS)))
        pin = data.FlowPin(builders.flow(1), first.tag, 100)
        self.steering.flow_pins.merge([pin], TIMEOUT_MS + 5)
        self.steering.upstream_table.put(builders.upstream("i-3"), 3, 60)
        for now_ms in range(TIMEOUT_MS + 10, 4 * TIMEOUT_MS, 10):
            self.assertEqual([], self.steering.tick(now_ms))
        self.assertFalse(self.steering.has_pending)

    # Guards against: the same, after a retransmission of the opening packet
    # has reached another host, which has sent it to another upstream.
    def test_a_retransmission_at_another_host_does_not_move_the_flow(
        self,
    ) -> None:
        first = self.bench.open(1, 0)
        assert isinstance(first, data.Forward)
        other = next(
            name
            for name in ("i-1", "i-2")
            if name != first.upstream.upstream_id
        )
        peer = builders.SteeringBench(builders.upstream(other))
        second = peer.open(1, 200, retransmissions=1)
        assert isinstance(second, data.Forward)
        peer.steering.upstream_table.put(first.upstream, 2, 205)
        packet = builders.packet(1, tag=first.tag)
        self.assertEqual(
            target(first), target(peer.steering.handle(packet, 210))
        )
        peer.tell_pins(self.bench, 215)
        self.assertEqual(target(first), self.handle(second.tag, 300))

    def test_a_flow_stays_with_the_first_of_two_upstreams_that_answer(
        self,
    ) -> None:
        # Both answer. The second answer reaches the caller after it has
        # acknowledged the first, and its tag is on all later packets.
        first = self.bench.open(1, 0)
        second = self.steering.tick(TIMEOUT_MS)[0]
        assert isinstance(first, data.Forward)
        assert isinstance(second, data.Forward)
        name = first.upstream.upstream_id
        self.assertEqual(name, self.handle(first.tag, TIMEOUT_MS + 1))
        self.assertEqual(name, self.handle(second.tag, TIMEOUT_MS + 2))

    def test_a_flow_keeps_its_upstream_at_a_host_that_saw_no_opening(
        self,
    ) -> None:
        # The opening packet was sent to two upstreams before this host joined;
        # it sees only the later packets.
        self.assertEqual("i-1", self.handle(tags.tag_of("i-1"), 0))
        self.assertEqual("i-1", self.handle(tags.tag_of("i-2"), 1))

    def test_a_reused_port_opens_a_new_flow(self) -> None:
        first = self.bench.open(1, 0)
        assert isinstance(first, data.Forward)
        self.handle(first.tag, 5)
        name = first.upstream.upstream_id
        draining = builders.upstream(name, state=data.UpstreamState.DRAINING)
        self.steering.upstream_table.put(draining, 9, 10)
        second = self.bench.open(1, 5_000)
        self.assertNotIn(target(second), ("", name))

    def test_a_stall_of_the_host_extends_the_timeout(self) -> None:
        self.bench.open(1, 0)
        self.steering.tick(10)
        self.assertEqual([], self.steering.tick(2_010))
        self.assertEqual([], self.bench.steering.tick(2_020))

    def test_a_late_retransmission_of_the_opening_follows_the_flow(
        self,
    ) -> None:
        first = self.bench.open(1, 0)
        assert isinstance(first, data.Forward)
        self.handle(first.tag, 5)
        retransmission = self.bench.open(1, 200, retransmissions=1)
        self.assertEqual(first.upstream.upstream_id, target(retransmission))


class ConfigurationTest(testtools.TestCase):
    def test_an_older_configuration_is_not_applied(self) -> None:
        bench = builders.SteeringBench()
        self.assertTrue(bench.steering.configure(builders.configuration(5)))
        for version in (5, 4, 1):
            older = builders.configuration(version, ("other",))
            self.assertFalse(bench.steering.configure(older))
        configuration = bench.steering.configuration
        assert configuration is not None
        self.assertEqual(5, configuration.version)

    def test_a_flow_gets_the_same_service_of_a_split_route_on_every_host(
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
        selected = [target(bench.open(n, 0)) for n in range(1_000)]
        self.assertGreater(selected.count("i-2"), 50)
        self.assertLess(selected.count("i-2"), 200)
        other = builders.SteeringBench(
            builders.upstream("i-1", "old"), builders.upstream("i-2", "new")
        )
        other.steering.configure(split)
        self.assertEqual(
            selected, [target(other.open(n, 0)) for n in range(1_000)]
        )
