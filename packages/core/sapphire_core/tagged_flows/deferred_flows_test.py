"""The load pattern: many callers come back at the same moment.

Hosts were away for a second or more. All requests of that time come at once,
as later copies of their openings, beside those that begin just now.
"""

import testtools

from sapphire_core.tagged_flows import data
from sapphire_lab.tagged_flows import builders

SLOTS = 3


class ReturnOfAllTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.bench = builders.SteeringBench(
            builders.upstream("i-1", slots=SLOTS)
        )
        self.steering = self.bench.steering

    def begin(self, number: int, now_ms: int) -> None:
        """A fresh request that is being worked on."""
        action = self.bench.open(number, now_ms)
        self.assertIsInstance(action, data.Forward)
        self.bench.answer(number, action, now_ms)

    def finish(self, number: int, now_ms: int) -> None:
        """The response to it has been taken."""
        end = builders.packet(
            number,
            tag=self.steering.upstream_table.by_id["i-1"].tag,
            sequence=302,
            acknowledged=900,
            payload_bytes=0,
            is_closing=True,
        )
        self.steering.handle(end, now_ms)

    def test_late_openings_give_way_while_there_is_no_free_slot(self) -> None:
        for number in range(SLOTS):
            self.begin(number, 0)
        late = self.bench.open(50, 1, retransmissions=1)
        self.assertIsInstance(late, data.Defer)
        # One that begins just now goes past it.
        self.begin(10, 2)
        self.assertEqual([], self.steering.tick(10))
        for number in (0, 1):
            self.finish(number, 20)
        sent = self.steering.tick(30)
        self.assertEqual([50], [numbers_of(action) for action in sent])

    def test_with_free_slots_nobody_waits(self) -> None:
        self.assertIsInstance(
            self.bench.open(1, 0, retransmissions=2), data.Forward
        )

    def wait(self, copy: int) -> tuple[int, list[data.Action]]:
        """Returns when a late opening stops to wait, and what is sent then."""
        bench = builders.SteeringBench(builders.upstream("i-1", slots=1))
        tag = bench.steering.upstream_table.by_id["i-1"].tag
        self.assertIsInstance(
            bench.open(1, 0, retransmissions=copy), data.Forward
        )
        self.assertIsInstance(
            bench.open(2, 0, retransmissions=copy), data.Defer
        )
        for now_ms in range(10, 1_400, 10):
            bench.steering.record_membership_change(now_ms)
            bench.steering.apply_peer_reports({tag: 9.0}, {}, 9, now_ms)
            sent = bench.steering.tick(now_ms)
            if bench.steering.deferred_count == 0:
                return now_ms, sent
        raise AssertionError("it waits for ever")

    def test_no_wait_lasts_until_the_next_copy(self) -> None:
        # That copy may reach another host, which opens the flow too.
        ended_ms, sent = self.wait(copy=1)
        self.assertLess(200 + ended_ms, 600)
        self.assertEqual([], sent)

    def test_the_last_copy_is_sent_before_its_caller_gives_up(self) -> None:
        ended_ms, sent = self.wait(copy=2)
        self.assertLess(600 + ended_ms, 1_400)
        self.assertEqual(1, len(sent))

    def test_a_further_copy_changes_nothing(self) -> None:
        for number in range(SLOTS):
            self.begin(number, 0)
        self.bench.open(50, 1, retransmissions=1)
        self.assertIsInstance(
            self.bench.open(50, 401, retransmissions=2), data.Defer
        )
        for number in range(SLOTS):
            self.finish(number, 410)
        self.assertEqual(1, len(self.steering.tick(420)))
        self.assertEqual([], self.steering.tick(430))

    def test_openings_that_can_meet_their_objective_do_not_wait(self) -> None:
        for number in range(SLOTS):
            self.begin(number, 0)
        self.assertIsInstance(self.bench.open(50, 0), data.Forward)

    def test_one_whose_upstreams_have_gone_is_told_so(self) -> None:
        for number in range(SLOTS):
            self.begin(number, 0)
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


def numbers_of(action: data.Action) -> int:
    """Returns the number of the flow that an action is about."""
    return action.packet.flow_id.caller_port - 40_000
