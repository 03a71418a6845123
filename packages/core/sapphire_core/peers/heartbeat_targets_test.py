import random

import testtools

from sapphire_core.peers import heartbeat_targets
from sapphire_core.peers import peer_table
from sapphire_core.peers import store_followers
from sapphire_lab.tagged_flows import builders
from sapphire_lab.tagged_flows import heartbeat_simulation as simulation_lib

FLEET_SIZES = (9, 76, 195)
LARGE_FLEET_SIZES = (76, 195)
THOUSAND = 1_000
SEED = 3
TAG = 77


class HeartbeatTargetsTest(testtools.TestCase):
    def test_each_near_peer_gets_its_turn(self) -> None:
        targets = heartbeat_targets.HeartbeatTargets(random.Random(1))
        contacts = [builders.heartbeat(f"h{n}").contact for n in range(40)]
        intervals = heartbeat_targets.cycle_intervals(len(contacts))
        for _ in range(5):
            heard: set[str] = set()
            for _ in range(intervals):
                selected = targets.next_near(contacts)
                self.assertEqual(heartbeat_targets.MAX_FANOUT, len(selected))
                heard |= {contact.host for contact in selected}
            self.assertEqual(len(contacts), len(heard))

    def test_peers_that_are_gone_lose_their_turn(self) -> None:
        targets = heartbeat_targets.HeartbeatTargets(random.Random(1))
        contacts = [builders.heartbeat(f"h{n}").contact for n in range(40)]
        targets.next_near(contacts)
        left = contacts[:20]
        for _ in range(3):
            selected = {contact.host for contact in targets.next_near(left)}
            self.assertTrue(selected <= {contact.host for contact in left})


class FleetSizeTest(testtools.TestCase):
    """Pattern: fleets of hundreds of hosts; what grows with their number."""

    def test_what_a_host_sends_within_its_data_centre_is_bounded(self) -> None:
        for size in FLEET_SIZES:
            fleet = simulation_lib.HeartbeatSimulation(size, SEED)
            fleet.run(4_000)
            per_host_and_s = fleet.near_datagrams / size / 4
            self.assertLessEqual(per_host_and_s, 4 * 16 + 1)

    def test_traffic_between_data_centres_does_not_grow(self) -> None:
        # One heartbeat an interval from each data centre to each other one,
        # and one more from each follower.
        others = simulation_lib.DATA_CENTRES - 1
        expected_per_s = 4 * (simulation_lib.DATA_CENTRES + 2) * others
        for size in LARGE_FLEET_SIZES:
            fleet = simulation_lib.HeartbeatSimulation(size, SEED)
            # After a common start more hosts follow the store for a while.
            fleet.run(3_000)
            before = fleet.remote_datagrams
            fleet.run(4_000)
            sent = fleet.remote_datagrams - before
            self.assertLess(sent / 4, expected_per_s * 1.25)

    def test_a_report_reaches_nine_of_ten_hosts_within_300_ms(self) -> None:
        for size in LARGE_FLEET_SIZES:
            fleet = simulation_lib.HeartbeatSimulation(size, SEED)
            fleet.run(2_000)
            fleet.report_unresponsive(TAG, 600)
            fleet.run(300)
            self.assertGreaterEqual(fleet.near_share_with_report(TAG), 0.9)

    def test_every_host_counts_all_hosts_of_all_data_centres(self) -> None:
        for size in FLEET_SIZES:
            fleet = simulation_lib.HeartbeatSimulation(size, SEED)
            fleet.run(5_000)
            self.assertEqual({size}, set(fleet.host_counts()))

    def test_a_dead_host_stops_counting_within_the_contact_time(self) -> None:
        for size in (9, 76, 195):
            fleet = simulation_lib.HeartbeatSimulation(size, SEED)
            fleet.run(2_000)
            fleet.kill(7)
            # The count of another data centre arrives up to 2 s later.
            fleet.run(simulation_lib.CONTACT_MS + 2_000)
            self.assertEqual({size - 1}, set(fleet.host_counts()))

    def test_two_hosts_follow_the_store_in_a_fleet_of_any_size(self) -> None:
        for size in FLEET_SIZES:
            fleet = simulation_lib.HeartbeatSimulation(size, SEED)
            fleet.run(4_000)
            self.assertEqual(
                store_followers.TARGET_FOLLOWERS, fleet.follower_count()
            )

    def test_a_thousand_hosts_send_no_more_each(self) -> None:
        fleet = simulation_lib.HeartbeatSimulation(THOUSAND, SEED)
        fleet.run(1_000)
        self.assertLessEqual(fleet.near_datagrams / THOUSAND, 4 * 16 + 16)
        fleet.report_unresponsive(TAG, 600)
        before = fleet.remote_datagrams
        fleet.run(300)
        self.assertGreaterEqual(fleet.near_share_with_report(TAG), 0.9)
        # A host that does not know two followers yet follows the store, and
        # sends to each data centre; all others together send a few.
        self.assertLess(fleet.remote_datagrams - before, 2 * THOUSAND)

    def test_live_hosts_of_a_large_data_centre_keep_counting(self) -> None:
        """Pattern: the turns of all near peers take longer than the contact
        time."""
        own = builders.heartbeat("own").contact
        table = peer_table.PeerTable(own, random.Random(1), contact_ms=4_000)
        near = 700
        contacts = [builders.heartbeat(f"h{n}").contact for n in range(near)]
        table.set_host_list(contacts, 0)
        turn_ms = (
            heartbeat_targets.cycle_intervals(near)
            * peer_table.HEARTBEAT_INTERVAL_MS
        )
        for sequence in range(1, 4):
            for number in range(near):
                heartbeat = builders.heartbeat(f"h{number}", sequence=sequence)
                heard_ms = sequence * turn_ms + number * turn_ms // near
                table.record_heartbeat(heartbeat, heard_ms)
            now_ms = (sequence + 1) * turn_ms
            self.assertEqual(near + 1, table.near_host_count(now_ms))
            self.assertEqual(near, len(table.live_heartbeats(now_ms)))
