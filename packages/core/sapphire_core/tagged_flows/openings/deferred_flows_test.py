"""Load pattern: all hosts return after an outage of a second or more.

The requests of that time arrive at once, as retransmissions of their opening
packets, and compete with new ones for the same slots.
"""

import testtools

from sapphire_core.tagged_flows import data
from sapphire_lab.tagged_flows import builders

SLOTS = 3


class DeferredFlowsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.bench = builders.SteeringBench(
            builders.upstream("i-1", slots=SLOTS)
        )
        self.steering = self.bench.steering
        # The host has no peers.
        self.steering.apply_peer_reports({}, {}, 1, 0)

    def start_request(self, number: int, now_ms: int) -> None:
        """Opens a new flow whose request occupies a slot."""
        action = self.bench.open(number, now_ms)
        self.assertIsInstance(action, data.Forward)
        self.bench.answer(number, action, now_ms)

    def finish_request(self, number: int, now_ms: int) -> None:
        """Closes a flow after its response, which frees the slot."""
        closing = builders.packet(
            number,
            tag=self.steering.upstream_table.by_id["i-1"].tag,
            sequence=302,
            acknowledged=900,
            payload_bytes=0,
            is_closing=True,
        )
        self.steering.handle(closing, now_ms)

    def test_late_flows_are_deferred_while_there_is_no_free_slot(self) -> None:
        for number in range(SLOTS):
            self.start_request(number, 0)
        late = self.bench.open(50, 1, retransmissions=1)
        self.assertIsInstance(late, data.Defer)
        # A new flow is sent ahead of the deferred one.
        self.start_request(10, 2)
        self.assertEqual([], self.steering.tick(10))
        for number in (0, 1):
            self.finish_request(number, 20)
        sent = self.steering.tick(30)
        self.assertEqual([50], [flow_number(action) for action in sent])

    # Guards against an opening packet, and a reset, of a flow that is open at
    # an upstream that a peer has selected.
    def test_a_flow_that_a_peer_has_opened_is_not_opened_again(self) -> None:
        for number in range(SLOTS):
            self.start_request(number, 0)
        late = self.bench.open(50, 1, retransmissions=1)
        self.assertIsInstance(late, data.Defer)
        tag = self.steering.upstream_table.by_id["i-1"].tag
        packet = builders.packet(50, tag=tag)
        self.assertIsInstance(self.steering.handle(packet, 5), data.Forward)
        for number in range(SLOTS):
            self.finish_request(number, 20)
        self.assertEqual([], self.steering.tick(30))

    # Guards against the same if the packets of the flow pass the peer only.
    def test_a_flow_that_a_peer_may_have_opened_is_not_reset(self) -> None:
        for number in range(SLOTS):
            self.start_request(number, 0)
        self.bench.open(50, 1, retransmissions=1)
        self.steering.record_membership_change(5)
        draining = builders.upstream("i-1", state=data.UpstreamState.DRAINING)
        self.steering.upstream_table.put(draining, 9, 10)
        self.assertEqual([], self.steering.tick(30))
        self.assertEqual(0, self.steering.deferred_count)

    def test_late_flows_are_not_deferred_with_free_slots(self) -> None:
        self.assertIsInstance(
            self.bench.open(1, 0, retransmissions=2), data.Forward
        )

    def test_late_flows_keep_to_the_share_of_the_host(self) -> None:
        """All hosts have just returned, and no peer has reported its load."""
        bench = builders.SteeringBench(
            *[builders.upstream(f"i-{n}", slots=SLOTS) for n in range(3)]
        )
        for host_count, late_flows in ((1, 9), (3, 3), (9, 1), (300, 1)):
            bench.steering.apply_peer_reports({}, {}, host_count, 0)
            now_ms = host_count * 2_000
            base = host_count * 100
            opened = 0
            for number in range(base, base + 12):
                action = bench.open(number, now_ms, retransmissions=1)
                opened += isinstance(action, data.Forward)
            self.assertEqual(late_flows, opened)
            # New flows do not wait for a share.
            action = bench.open(base + 50, now_ms)
            self.assertIsInstance(action, data.Forward)
            # All of them time out before the next case.
            for later_ms in range(now_ms, now_ms + 1_990, 10):
                bench.steering.tick(later_ms)

    def defer_until_end(
        self, retransmissions: int
    ) -> tuple[int, list[data.Action]]:
        """Defers a flow until its deadline; no slot becomes free.

        Returns:
            When the deferral ends, and the actions of that tick.
        """
        bench = builders.SteeringBench(builders.upstream("i-1", slots=1))
        tag = bench.steering.upstream_table.by_id["i-1"].tag
        self.assertIsInstance(
            bench.open(1, 0, retransmissions=retransmissions), data.Forward
        )
        self.assertIsInstance(
            bench.open(2, 0, retransmissions=retransmissions), data.Defer
        )
        for now_ms in range(10, 1_400, 10):
            bench.steering.record_membership_change(now_ms)
            bench.steering.apply_peer_reports({tag: 9.0}, {}, 9, now_ms)
            sent = bench.steering.tick(now_ms)
            if bench.steering.deferred_count == 0:
                return now_ms, sent
        raise AssertionError("the flow is still deferred at 1,390 ms")

    def test_a_deferral_ends_before_the_next_retransmission(self) -> None:
        # The retransmission may reach another host, which also opens the flow.
        end_ms, sent = self.defer_until_end(retransmissions=1)
        self.assertLess(200 + end_ms, 600)
        self.assertEqual([], sent)

    def test_the_last_retransmission_is_sent_before_its_caller_times_out(
        self,
    ) -> None:
        end_ms, sent = self.defer_until_end(retransmissions=2)
        self.assertLess(600 + end_ms, 1_400)
        self.assertEqual(1, len(sent))

    def test_a_retransmission_does_not_end_the_deferral(self) -> None:
        for number in range(SLOTS):
            self.start_request(number, 0)
        self.bench.open(50, 1, retransmissions=1)
        self.assertIsInstance(
            self.bench.open(50, 401, retransmissions=2), data.Defer
        )
        for number in range(SLOTS):
            self.finish_request(number, 410)
        self.assertEqual(1, len(self.steering.tick(420)))
        self.assertEqual([], self.steering.tick(430))

    def test_flows_that_can_meet_their_objective_are_not_deferred(self) -> None:
        for number in range(SLOTS):
            self.start_request(number, 0)
        self.assertIsInstance(self.bench.open(50, 0), data.Forward)

    def test_a_deferred_flow_without_an_upstream_is_reset(self) -> None:
        for number in range(SLOTS):
            self.start_request(number, 0)
        self.bench.open(50, 0, retransmissions=1)
        self.steering.upstream_table.remove(
            "i-1", 5, data.RemovalCause.UPSTREAM_STOPPED
        )
        self.assertEqual(
            [
                data.Reset(
                    builders.opening(50, retransmissions=1),
                    data.Verdict.NO_UPSTREAM,
                )
            ],
            self.steering.tick(10),
        )


def flow_number(action: data.Action) -> int:
    """Returns the number of the flow of an action."""
    return action.packet.flow_id.caller_port - 40_000
