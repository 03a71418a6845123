"""Both store followers are cut off from the store, or killed."""

import testtools

from sapphire_core.peers import heartbeat_targets
from sapphire_core.peers import notice_schedule
from sapphire_core.peers import peer_table
from sapphire_core.peers import store_followers
from sapphire_lab.tagged_flows import heartbeat_simulation
from sapphire_lab.tagged_flows import store_cut_simulation
from sapphire_node.entry import change_puller
from sapphire_node.entry import peer_task

# The shortest bounds of the platform on a change of the configuration and on
# an upstream that leaves.
BOUND_MS = 3_000
# The hosts, and how often the fleet is cut off.
RUNS_BY_SIZE = {9: 12, 66: 4, 300: 1}
# Longest ways, with what a busy host adds: a datagram between data centres, a
# call over a new connection.
LINK_MS = 10
CALL_MS = 50


class StoreCutTest(testtools.TestCase):
    def slowest_ms(
        self, size: int, seed: int, *, further: int = 0, kills: bool = False
    ) -> int:
        """Returns when the last host in touch got a change.

        The change is acknowledged directly after the cut.

        Args:
            size: How many hosts there are.
            seed: Seeds the phases of all hosts.
            further: How many of those that follow next are cut off as well.
            kills: Whether the followers are killed in place of being cut off.
        """
        fleet = store_cut_simulation.StoreCutSimulation(size, seed)
        fleet.run(5_000 + seed * 83 % 1_000)
        followers = fleet.followers()
        self.assertGreaterEqual(len(followers), 2)
        fleet.cut_off(followers + fleet.next_to_follow(further))
        for host in followers:
            host.is_dead = kills
        fleet.run(20)
        fleet.change()
        changed_ms = fleet.now_ms
        fleet.run(4_500)
        return fleet.slowest_ms() - changed_ms

    def test_a_change_is_known_in_time_while_both_followers_are_cut_off(
        self,
    ) -> None:
        """Guards against: hosts go by a former configuration, or send work to
        an upstream that leaves, until a silent follower gives up."""
        for size, runs in RUNS_BY_SIZE.items():
            for seed in range(runs):
                self.assertLess(self.slowest_ms(size, seed), BOUND_MS)

    def test_a_change_is_known_in_time_while_both_followers_are_killed(
        self,
    ) -> None:
        for seed in range(4):
            self.assertLess(self.slowest_ms(9, seed, kills=True), BOUND_MS)

    def test_a_change_is_known_in_time_while_the_next_two_are_cut_off_too(
        self,
    ) -> None:
        for size in (9, 66):
            for seed in range(4):
                slowest_ms = self.slowest_ms(size, seed, further=2)
                self.assertLess(slowest_ms, BOUND_MS)

    def test_few_calls_are_made_while_nothing_happens(self) -> None:
        """A scope is answered once a second at each of two followers."""
        for size in (9, 66):
            fleet = store_cut_simulation.StoreCutSimulation(size, 1)
            fleet.run(6_000)
            before = fleet.calls
            fleet.run(10_000)
            self.assertLess(fleet.calls - before, 1.5 * 2 * 2 * 10)


class BudgetTest(testtools.TestCase):
    """The longest way of a change from the cut to the last host."""

    def test_the_sum_of_all_steps_is_below_the_bound(self) -> None:
        read_ms = peer_task.HEARTBEAT_READ_INTERVAL_MS + LINK_MS
        pull_ms = change_puller.PULL_POLL_MS + CALL_MS
        for size, data_centres in ((9, 3), (66, 3), (300, 3)):
            near = size // data_centres
            # How many hosts in turn pass a notice on until all have it.
            levels = 1
            reached = heartbeat_targets.MAX_FANOUT
            while size > heartbeat_targets.MAX_FANOUT and reached < near:
                levels += 1
                reached *= heartbeat_targets.MAX_FANOUT
            steps_ms = (
                store_followers.FOLLOWER_TIMEOUT_MS,
                # The age of the answer lacks the time under way.
                levels * read_ms,
                peer_table.HEARTBEAT_INTERVAL_MS,
                CALL_MS,
                levels * (read_ms + pull_ms),
                (levels - 1) * notice_schedule.NOTICE_INTERVAL_MS,
            )
            self.assertLess(sum(steps_ms), BOUND_MS)

    def test_claims_of_followers_in_touch_rarely_time_out(self) -> None:
        for size in (9, 66):
            fleet = store_cut_simulation.StoreCutSimulation(size, 2)
            fleet.run(6_000)
            most = 0
            for _ in range(40):
                fleet.run(heartbeat_simulation.STEP_MS * 25)
                most = max(most, len(fleet.followers()))
            self.assertLessEqual(most, store_followers.TARGET_FOLLOWERS + 1)
