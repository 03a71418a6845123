import random

import testtools

from sapphire_core.peers import data as peer_data
from sapphire_core.peers import heartbeat_targets
from sapphire_core.peers import peer_table as peer_table_lib
from sapphire_core.peers import store_followers
from sapphire_lab.tagged_flows import builders

STEP_MS = 250
CONTACT_MS = 4_000


class Fleet:
    """Hosts that get all heartbeats of each other without delay.

    Attributes:
        peer_tables: The peer table of each host, by its name.
        with_store_access: The hosts whose calls to the store succeed.
        crashed: The hosts that send no heartbeats.
        following: The hosts that follow the store.
        now_ms: The current time.
        sequence: The sequence number of the last heartbeats.
    """

    def __init__(self, names: list[str]) -> None:
        self.peer_tables = {
            name: peer_table_lib.PeerTable(
                builders.heartbeat(name).contact, random.Random(1), CONTACT_MS
            )
            for name in names
        }
        self.with_store_access = set(names)
        self.crashed: set[str] = set()
        self.following: set[str] = set()
        self.now_ms = 0
        self.sequence = 0

    def step(self) -> None:
        """Runs one heartbeat interval."""
        self.now_ms += STEP_MS
        self.sequence += 1
        for name, own in self.peer_tables.items():
            must_follow = own.must_follow(self.now_ms, is_leaving=False)
            if must_follow and name in self.with_store_access:
                self.following.add(name)
            else:
                self.following.discard(name)
        for name, own in self.peer_tables.items():
            if name in self.crashed:
                continue
            claims = own.followers.claims(self.now_ms)
            if name in self.following:
                claims[name] = peer_data.FollowerClaim(0, self.now_ms)
            heartbeat = builders.heartbeat(
                name, sequence=self.sequence, followers=claims
            )
            for receiver, peer_table in self.peer_tables.items():
                if receiver != name:
                    peer_table.record_heartbeat(heartbeat, self.now_ms)

    def run(self, seconds: float) -> None:
        """Runs heartbeat intervals for some time."""
        for _ in range(int(seconds * 1_000 / STEP_MS)):
            self.step()


class FollowersTest(testtools.TestCase):
    def fleet(self, size: int = 9) -> Fleet:
        fleet = Fleet([f"host-{number}" for number in range(size)])
        fleet.run(1)
        return fleet

    def test_two_hosts_follow_the_store_in_a_fleet_of_any_size(self) -> None:
        for size in (2, 3, 9, 66):
            self.assertEqual(2, len(self.fleet(size).following))

    def test_a_host_without_peers_follows_at_once(self) -> None:
        alone = peer_table_lib.PeerTable(
            builders.heartbeat("a").contact, random.Random(1), CONTACT_MS
        )
        self.assertTrue(alone.must_follow(0, is_leaving=False))

    def test_other_hosts_take_over_from_followers_that_the_store_rejects(
        self,
    ) -> None:
        fleet = self.fleet()
        fleet.with_store_access -= fleet.following
        fleet.run(1)
        self.assertGreaterEqual(
            len(fleet.following & fleet.with_store_access), 2
        )
        self.assertLessEqual(len(fleet.following), 4)

    def test_other_hosts_take_over_from_crashed_followers(self) -> None:
        fleet = self.fleet()
        crashed = set(fleet.following)
        fleet.crashed |= crashed
        # A configuration has to be in force within 3 s.
        fleet.run(2.5)
        self.assertGreaterEqual(len(fleet.following - crashed), 2)

    def test_a_store_that_is_down_is_not_called_by_all_hosts(self) -> None:
        fleet = self.fleet(66)
        fleet.with_store_access.clear()
        fleet.run(3)
        due = [
            own
            for own in fleet.peer_tables.values()
            if own.must_follow(fleet.now_ms, is_leaving=False)
        ]
        self.assertLess(len(due), 33)
        fleet.with_store_access |= set(fleet.peer_tables)
        fleet.run(2)
        self.assertEqual(2, len(fleet.following))

    def test_each_part_of_a_partition_has_followers(self) -> None:
        fleet = self.fleet()
        minority = {"host-0", "host-4", "host-7"}
        majority = set(fleet.peer_tables) - minority
        for part in (minority, majority):
            isolated = Fleet(sorted(part))
            isolated.peer_tables = {
                name: fleet.peer_tables[name] for name in part
            }
            isolated.now_ms = fleet.now_ms
            isolated.sequence = fleet.sequence
            isolated.run(2.5)
            self.assertEqual(2, len(isolated.following))

    def test_a_leaving_host_does_not_follow(self) -> None:
        own = peer_table_lib.PeerTable(
            builders.heartbeat("a").contact, random.Random(1), CONTACT_MS
        )
        self.assertFalse(own.must_follow(0, is_leaving=True))


class PeerTableTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        own = builders.heartbeat("own").contact
        self.peer_table = peer_table_lib.PeerTable(
            own, random.Random(1), CONTACT_MS
        )

    def test_a_listed_host_that_sends_heartbeats_is_counted_once(self) -> None:
        listed = [
            builders.heartbeat(name).contact for name in ("own", "a", "b")
        ]
        self.peer_table.set_host_list(listed, 0)
        self.peer_table.record_heartbeat(builders.heartbeat("b"), 0)
        self.peer_table.record_heartbeat(builders.heartbeat("c"), 0)
        self.assertEqual(4, self.peer_table.host_count(0))

    def test_silence_of_other_data_centres_is_that_of_the_last_heard(
        self,
    ) -> None:
        self.assertIsNone(self.peer_table.remote_silence_ms(0))
        for host, data_centre, heard_ms in (
            ("a", "salem", 100),
            ("b", "spokane", 300),
            ("c", builders.DATA_CENTRE, 900),
        ):
            self.peer_table.record_heartbeat(
                builders.heartbeat(host, data_centre=data_centre), heard_ms
            )
        self.assertEqual(700, self.peer_table.remote_silence_ms(1_000))

    def test_silence_of_other_data_centres_begins_with_the_host_list(
        self,
    ) -> None:
        """Pattern: a host starts behind a cut and has heard nobody."""
        listed = builders.heartbeat("a", data_centre="salem").contact
        self.peer_table.set_host_list([listed], 200)
        self.assertEqual(800, self.peer_table.remote_silence_ms(1_000))

    def test_a_peer_is_evicted_when_neither_listed_nor_live(self) -> None:
        self.peer_table.record_heartbeat(builders.heartbeat("a"), 0)
        self.peer_table.evict_expired(60_000, frozenset({"a"}))
        self.assertIsNotNone(self.peer_table.contact("a"))
        self.peer_table.evict_expired(60_000, frozenset())
        self.assertIsNone(self.peer_table.contact("a"))

    def test_a_listed_host_that_is_silent_stops_counting(self) -> None:
        listed = [builders.heartbeat(name).contact for name in ("a", "b")]
        self.peer_table.set_host_list(listed, 0)
        self.peer_table.record_heartbeat(builders.heartbeat("a"), 1_000)
        for now_ms, expected in (
            (CONTACT_MS, 3),
            (CONTACT_MS + 1, 2),
            (CONTACT_MS + 1_000, 2),
            (CONTACT_MS + 1_001, 1),
        ):
            self.assertEqual(expected, self.peer_table.host_count(now_ms))

    def test_a_heartbeat_older_than_the_last_one_is_ignored(self) -> None:
        newer = builders.heartbeat("a", sequence=5, revision=9)
        self.assertTrue(self.peer_table.record_heartbeat(newer, 0))
        self.assertFalse(
            self.peer_table.record_heartbeat(
                builders.heartbeat("a", sequence=4), 1
            )
        )
        live = [each.heartbeat for each in self.peer_table.live_heartbeats(2)]
        self.assertEqual([newer], live)

    def test_a_restart_of_a_peer_is_reported(self) -> None:
        self.peer_table.record_heartbeat(
            builders.heartbeat("a", sequence=50), 0
        )
        restarted = builders.heartbeat("a", start_id=2)
        self.assertTrue(self.peer_table.record_heartbeat(restarted, 1))

    def test_all_peers_of_a_small_fleet_get_heartbeats(self) -> None:
        for number in range(heartbeat_targets.MAX_FANOUT):
            data_centre = builders.DATA_CENTRE if number % 2 else "salem"
            heartbeat = builders.heartbeat(
                f"h{number}", data_centre=data_centre
            )
            self.peer_table.record_heartbeat(heartbeat, 0)
        targets = self.peer_table.near_targets()
        targets += self.peer_table.remote_targets(0, is_follower=False)
        self.assertEqual(
            {f"h{number}" for number in range(heartbeat_targets.MAX_FANOUT)},
            {contact.host for contact in targets},
        )

    def test_followers_that_rank_first_are_named_and_the_sender(self) -> None:
        names = {f"h{number}": 10 * number for number in range(20)}
        self.peer_table.record_heartbeat(
            builders.heartbeat("h0", followers=builders.claims(names)), 0
        )
        named = self.peer_table.followers.reported_claims(
            0, peer_data.FollowerClaim(0, 1_000)
        )
        self.assertIn("own", named)
        self.assertLessEqual(
            len(named), store_followers.MAX_REPORTED_FOLLOWERS + 1
        )
        by_rank = sorted(names, key=store_followers.rank)
        self.assertTrue(set(by_rank[:2]) <= set(named))


class NearHostAwayTest(testtools.TestCase):
    """Whether a peer of the same data centre is away."""

    def setUp(self) -> None:
        super().setUp()
        self.peer_table = peer_table_lib.PeerTable(
            builders.heartbeat("edge-1").contact, random.Random(1), CONTACT_MS
        )

    def test_a_live_peer_is_not_away(self) -> None:
        self.peer_table.record_heartbeat(
            builders.heartbeat("edge-2", sequence=1), 0
        )
        self.assertFalse(self.peer_table.is_near_host_away(250))

    def test_a_leaving_peer_is_away(self) -> None:
        heartbeat = builders.heartbeat("edge-2", sequence=1, is_leaving=True)
        self.peer_table.record_heartbeat(heartbeat, 0)
        self.assertTrue(self.peer_table.is_near_host_away(250))

    def test_a_peer_that_timed_out_is_away_for_the_grace_period(self) -> None:
        self.peer_table.record_heartbeat(
            builders.heartbeat("edge-2", sequence=1), 0
        )
        self.assertTrue(
            self.peer_table.is_near_host_away(
                peer_table_lib.PEER_TIMEOUT_MS + 1
            )
        )
        self.assertFalse(
            self.peer_table.is_near_host_away(
                peer_table_lib.RESTART_GRACE_MS + 1
            )
        )

    def test_a_restarted_peer_is_not_away(self) -> None:
        leaving = builders.heartbeat("edge-2", sequence=9, is_leaving=True)
        self.peer_table.record_heartbeat(leaving, 0)
        self.peer_table.record_heartbeat(
            builders.heartbeat("edge-2", start_id=2), 1_500
        )
        self.assertFalse(self.peer_table.is_near_host_away(1_600))
