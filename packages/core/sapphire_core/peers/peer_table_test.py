import random

import testtools

from sapphire_core.peers import data
from sapphire_core.peers import peer_table as peer_table_lib
from sapphire_lab.tagged_flows import builders

STEP_MS = 250


class Fleet:
    """Hosts that hear all beats of each other at once.

    Attributes:
        working: The hosts whose calls to the store succeed.
        silent: The hosts that tell nothing.
    """

    def __init__(self, names: list[str]) -> None:
        self.peer_tables = {
            name: peer_table_lib.PeerTable(
                builders.heartbeat(name).contact, random.Random(1)
            )
            for name in names
        }
        self.working = set(names)
        self.silent: set[str] = set()
        self.following: set[str] = set()
        self.now_ms = 0
        self.sequence = 0

    def step(self) -> None:
        """Passes one interval of beats."""
        self.now_ms += STEP_MS
        self.sequence += 1
        for name, own in self.peer_tables.items():
            is_due = own.must_follow(self.now_ms, is_leaving=False)
            if is_due and name in self.working:
                self.following.add(name)
            else:
                self.following.discard(name)
        for name, own in self.peer_tables.items():
            if name in self.silent:
                continue
            ages_ms = own.follower_ages_ms(self.now_ms)
            if name in self.following:
                ages_ms[name] = 0
            beat = builders.heartbeat(
                name, sequence=self.sequence, followers=ages_ms
            )
            for other, peer in self.peer_tables.items():
                if other != name:
                    peer.record_heartbeat(beat, self.now_ms)

    def run(self, seconds: float) -> None:
        """Passes time."""
        for _ in range(int(seconds * 1_000 / STEP_MS)):
            self.step()


class FollowersTest(testtools.TestCase):
    def fleet(self, size: int = 9) -> Fleet:
        fleet = Fleet([f"host-{number}" for number in range(size)])
        fleet.run(1)
        return fleet

    def test_two_of_any_number_of_hosts_follow(self) -> None:
        for size in (2, 3, 9, 66):
            self.assertEqual(2, len(self.fleet(size).following))

    def test_a_host_that_hears_nobody_follows_at_once(self) -> None:
        alone = peer_table_lib.PeerTable(
            builders.heartbeat("a").contact, random.Random(1)
        )
        self.assertTrue(alone.must_follow(0, is_leaving=False))

    def test_others_step_in_for_followers_that_the_store_turns_away(
        self,
    ) -> None:
        fleet = self.fleet()
        fleet.working -= fleet.following
        fleet.run(1)
        self.assertGreaterEqual(len(fleet.following & fleet.working), 2)
        self.assertLessEqual(len(fleet.following), 4)

    def test_others_step_in_for_followers_that_died(self) -> None:
        fleet = self.fleet()
        dead = set(fleet.following)
        fleet.silent |= dead
        # The bound for configurations is 3 s.
        fleet.run(2.5)
        self.assertGreaterEqual(len(fleet.following - dead), 2)

    def test_a_store_that_is_down_for_all_is_not_called_by_all(self) -> None:
        fleet = self.fleet(66)
        fleet.working.clear()
        fleet.run(3)
        due = [
            own
            for own in fleet.peer_tables.values()
            if own.must_follow(fleet.now_ms, is_leaving=False)
        ]
        self.assertLess(len(due), 33)
        fleet.working |= set(fleet.peer_tables)
        fleet.run(2)
        self.assertEqual(2, len(fleet.following))

    def test_each_part_of_a_partition_has_followers(self) -> None:
        fleet = self.fleet()
        cut_off = {"host-0", "host-4", "host-7"}
        rest = set(fleet.peer_tables) - cut_off
        for part in (cut_off, rest):
            alone = Fleet(sorted(part))
            alone.peer_tables = {name: fleet.peer_tables[name] for name in part}
            alone.now_ms = fleet.now_ms
            alone.sequence = fleet.sequence
            alone.run(2.5)
            self.assertEqual(2, len(alone.following))

    def test_a_leaving_host_does_not_follow(self) -> None:
        own = peer_table_lib.PeerTable(
            builders.heartbeat("a").contact, random.Random(1)
        )
        self.assertFalse(own.must_follow(0, is_leaving=True))


class PeerTableTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        own = builders.heartbeat("own").contact
        self.peer_table = peer_table_lib.PeerTable(own, random.Random(1))

    def test_listed_and_heard_hosts_are_counted_once(self) -> None:
        listed = [
            builders.heartbeat(name).contact for name in ("own", "a", "b")
        ]
        self.peer_table.set_host_list(listed)
        self.peer_table.record_heartbeat(builders.heartbeat("b"), 0)
        self.peer_table.record_heartbeat(builders.heartbeat("c"), 0)
        self.assertEqual(4, self.peer_table.host_count())

    def test_a_host_is_forgotten_when_neither_listed_nor_heard(self) -> None:
        self.peer_table.record_heartbeat(builders.heartbeat("a"), 0)
        self.peer_table.evict_expired(60_000, frozenset({"a"}))
        self.assertEqual(2, self.peer_table.host_count())
        self.peer_table.evict_expired(60_000, frozenset())
        self.assertEqual(1, self.peer_table.host_count())

    def test_a_beat_that_comes_late_changes_nothing(self) -> None:
        newer = builders.heartbeat("a", sequence=5, revision=9)
        self.assertTrue(self.peer_table.record_heartbeat(newer, 0))
        self.assertFalse(
            self.peer_table.record_heartbeat(
                builders.heartbeat("a", sequence=4), 1
            )
        )
        self.assertEqual([newer], self.peer_table.live_heartbeats(2))

    def test_a_new_start_of_a_host_is_told(self) -> None:
        self.peer_table.record_heartbeat(
            builders.heartbeat("a", sequence=50), 0
        )
        again = builders.heartbeat("a", start_id=2)
        self.assertTrue(self.peer_table.record_heartbeat(again, 1))

    def test_receivers_are_bounded_and_mostly_near(self) -> None:
        for number in range(100):
            place = builders.DATA_CENTRE if number % 2 else "salem"
            one = builders.heartbeat(f"h{number}", data_centre=place)
            self.peer_table.record_heartbeat(one, 0)
        receivers = self.peer_table.heartbeat_targets()
        self.assertEqual(peer_table_lib.MAX_RECEIVERS, len(receivers))
        far = [c for c in receivers if c.data_centre == "salem"]
        self.assertEqual(peer_table_lib.REMOTE_RECEIVERS, len(far))

    def test_reports_of_a_part_of_the_hosts_stand_for_all(self) -> None:
        beats = [
            builders.heartbeat(
                f"h{n}", upstreams=(data.UpstreamReport(5, 1.0, 100 * n),)
            )
            for n in range(4)
        ]
        busy, silent_ms = peer_table_lib.aggregate_upstream_reports(beats, 8)
        self.assertEqual({5: 8.0}, busy)
        self.assertEqual({5: 300}, silent_ms)


class NearHostAwayTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.peer_table = peer_table_lib.PeerTable(
            builders.heartbeat("edge-1").contact, random.Random(1)
        )

    def test_a_host_that_is_heard_is_not_away(self) -> None:
        self.peer_table.record_heartbeat(
            builders.heartbeat("edge-2", sequence=1), 0
        )
        self.assertFalse(self.peer_table.is_near_host_away(250))

    def test_a_host_that_is_leaving_is_away(self) -> None:
        beat = builders.heartbeat("edge-2", sequence=1, is_leaving=True)
        self.peer_table.record_heartbeat(beat, 0)
        self.assertTrue(self.peer_table.is_near_host_away(250))

    def test_a_silent_host_is_away_for_some_time(self) -> None:
        self.peer_table.record_heartbeat(
            builders.heartbeat("edge-2", sequence=1), 0
        )
        self.assertTrue(
            self.peer_table.is_near_host_away(
                peer_table_lib.CONTACT_LIFE_MS + 1
            )
        )
        self.assertFalse(
            self.peer_table.is_near_host_away(peer_table_lib.AWAY_LIFE_MS + 1)
        )

    def test_a_host_that_is_back_is_not_away(self) -> None:
        leaving = builders.heartbeat("edge-2", sequence=9, is_leaving=True)
        self.peer_table.record_heartbeat(leaving, 0)
        self.peer_table.record_heartbeat(
            builders.heartbeat("edge-2", start_id=2), 1_500
        )
        self.assertFalse(self.peer_table.is_near_host_away(1_600))
