"""Load pattern: a data centre that is out of rotation is cut off as well."""

import testtools

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows.openings import answer_timeout
from sapphire_core.tagged_flows.openings import reachability
from sapphire_lab.tagged_flows import builders

REMOTE = "salem"
SILENCE_MS = reachability.MIN_REMOTE_SILENCE_MS


class ReachabilityTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.bench = builders.SteeringBench(
            *(builders.upstream(f"near-{n}") for n in range(2)),
            *(
                builders.upstream(f"far-{n}", data_centre=REMOTE)
                for n in range(6)
            ),
        )
        self.steering = self.bench.steering
        self.now_ms = 5_000
        self.number = 0

    def take_out(self) -> None:
        self.steering.upstream_table.set_out_of_rotation(
            builders.DATA_CENTRE, is_out=True
        )

    def open_flows(self, count: int, *, are_answered: bool = False) -> None:
        """Opens flows, and waits until unanswered ones have timed out."""
        for _ in range(count):
            self.number += 1
            action = self.bench.open(self.number, self.now_ms)
            if are_answered:
                self.bench.answer(self.number, action, self.now_ms + 3)
            for _ in range(answer_timeout.MIN_TIMEOUT_MS // 10 + 1):
                self.now_ms += 10
                self.steering.tick(self.now_ms)
                self.steering.sweep(self.now_ms)

    def is_cut_off(self, remote_silence_ms: int | None = SILENCE_MS) -> bool:
        return self.steering.reachability.is_cut_off(
            remote_silence_ms, self.now_ms
        )

    def test_three_signs_together_show_a_cut(self) -> None:
        self.take_out()
        self.assertFalse(self.is_cut_off())
        self.open_flows(6)
        self.assertTrue(self.is_cut_off())

    def test_no_two_signs_are_enough(self) -> None:
        """A full link, a silent service and lost heartbeats are no cut."""
        self.open_flows(8)
        self.assertFalse(self.is_cut_off())
        self.take_out()
        self.open_flows(6)
        self.assertFalse(self.is_cut_off(remote_silence_ms=SILENCE_MS - 1))
        self.assertFalse(self.is_cut_off(remote_silence_ms=None))
        self.open_flows(1, are_answered=True)
        self.assertFalse(self.is_cut_off())

    def test_two_crashed_upstreams_are_no_cut(self) -> None:
        self.take_out()
        self.open_flows(1)
        self.assertFalse(self.is_cut_off())

    def test_a_host_without_openings_returns_when_a_sign_ends(self) -> None:
        self.take_out()
        self.open_flows(6)
        self.assertTrue(self.is_cut_off())
        self.now_ms += 30_000
        self.assertTrue(self.is_cut_off())
        self.assertFalse(self.is_cut_off(remote_silence_ms=10))
        self.assertFalse(self.is_cut_off())

    def test_a_host_returns_when_its_own_data_centre_does(self) -> None:
        self.take_out()
        self.open_flows(6)
        self.assertTrue(self.is_cut_off())
        self.steering.upstream_table.set_out_of_rotation(
            builders.DATA_CENTRE, is_out=False
        )
        self.assertFalse(self.is_cut_off())

    def test_openings_are_forwarded_all_the_same(self) -> None:
        """The fabric may have nobody else to send them to."""
        self.take_out()
        self.open_flows(6)
        self.assertTrue(self.is_cut_off())
        self.number += 1
        self.assertIsInstance(
            self.bench.open(self.number, self.now_ms), data.Forward
        )
