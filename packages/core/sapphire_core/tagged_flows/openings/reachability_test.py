"""Load pattern: a data centre that is out of rotation is cut off as well."""

import random

import testtools

from sapphire_core.peers import peer_table
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


class StartBehindCutTest(testtools.TestCase):
    """A host starts in a data centre that is out and cut off."""

    def setUp(self) -> None:
        super().setUp()
        self.peers = peer_table.PeerTable(
            builders.heartbeat("edge-1").contact, random.Random(1), 5_000
        )
        bench = builders.SteeringBench(
            builders.upstream("near-1"),
            *(
                builders.upstream(f"far-{n}", data_centre=REMOTE)
                for n in range(6)
            ),
        )
        self.table = bench.steering.upstream_table
        self.table.set_out_of_rotation(builders.DATA_CENTRE, is_out=True)
        self.reachability = bench.steering.reachability

    def hear(self, host: str, now_ms: int, *, is_cut_off: bool) -> None:
        data_centre = REMOTE if host == "far" else builders.DATA_CENTRE
        heartbeat = builders.heartbeat(
            host,
            sequence=now_ms + 1,
            data_centre=data_centre,
            is_cut_off=is_cut_off,
        )
        self.peers.record_heartbeat(heartbeat, now_ms)

    def is_cut_off(self, now_ms: int) -> bool:
        return self.reachability.is_cut_off(
            self.peers.remote_silence_ms(now_ms),
            now_ms,
            starts_cut_off=self.peers.starts_cut_off(now_ms),
        )

    def test_it_is_out_of_rotation_from_its_start(self) -> None:
        self.hear("edge-2", 10, is_cut_off=True)
        self.assertTrue(self.is_cut_off(10))
        # What it goes by is not told on as its own finding.
        self.assertFalse(self.reachability.has_found_cut)

    def test_it_returns_when_its_peer_does(self) -> None:
        self.hear("edge-2", 10, is_cut_off=True)
        self.hear("edge-2", 260, is_cut_off=False)
        self.assertFalse(self.is_cut_off(260))

    def test_it_returns_when_the_peer_is_gone(self) -> None:
        self.hear("edge-2", 10, is_cut_off=True)
        self.assertFalse(
            self.is_cut_off(11 + peer_table.PEER_TIMEOUT_MS),
        )

    def test_it_returns_when_it_hears_another_data_centre(self) -> None:
        self.hear("edge-2", 10, is_cut_off=True)
        self.hear("far", 20, is_cut_off=False)
        self.hear("edge-2", 260, is_cut_off=True)
        self.assertFalse(self.is_cut_off(260))

    def test_what_another_data_centre_says_of_itself_is_no_sign(self) -> None:
        self.hear("far", 10, is_cut_off=True)
        self.assertFalse(self.is_cut_off(10))

    def test_a_forged_sign_takes_no_host_with_upstreams_out(self) -> None:
        self.table.set_out_of_rotation(builders.DATA_CENTRE, is_out=False)
        self.hear("edge-2", 10, is_cut_off=True)
        self.assertFalse(self.is_cut_off(10))
