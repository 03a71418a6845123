"""Several hosts while the store comes back from an older copy, without network.

The hosts, and what they pass on, are real; calls and heartbeats are made by the
tests, one after another.
"""

from sapphire_core.replication import carried_items
from sapphire_core.replication import data
from sapphire_lab.tagged_flows import restored_hosts

INTENT = data.Scope.INTENT
REGISTRY = data.Scope.REGISTRY
CONFIGURATION = restored_hosts.CONFIGURATION


class RestoreTest(restored_hosts.RestoreTestCase):
    def test_one_reader_is_enough_for_all_hosts(self) -> None:
        self.store.restore(self.copy)
        self.hosts[0].read()
        self.exchange()
        self.check_unchanged()
        self.write_again()
        self.hosts[0].read()
        self.exchange()
        self.check_settled()

    def test_two_restores_in_a_row(self) -> None:
        for _ in range(2):
            self.store.restore(self.copy)
            self.hosts[0].read()
            self.exchange()
            self.check_unchanged()
        self.write_again()
        self.hosts[0].read()
        self.exchange()
        self.check_settled()

    def test_a_host_cut_off_from_the_store_hears_of_it_from_peers(
        self,
    ) -> None:
        self.hosts[2].set_reachable(is_reachable=False)
        self.store.restore(self.copy)
        self.hosts[0].read()
        self.write_again()
        # Seconds later; peers of both eras are heard.
        self.hosts[2].hear(self.hosts[1])
        self.check_unchanged()
        self.clock.advance(3_000)
        self.hosts[0].read()
        self.exchange()
        self.check_settled()

    def test_a_host_that_stops_does_not_bring_back_what_was(self) -> None:
        # It has not read the restored store and names higher revisions.
        self.store.restore(self.copy)
        self.store.put(REGISTRY, "d")
        started = self.start("edge-4")
        started.hear(self.hosts[0])
        self.assertEqual(self.store.era, started.state.position(INTENT).era)
        self.assertEqual(["a", "b", "d"], started.eligible())
        # What the copy lacks counts at hosts that ran before, for a time.
        self.hosts[0].hear(started)
        self.assertEqual(["a", "c", "d"], self.hosts[0].eligible())

    # Guards against an upstream that has left and is in use after a restart.
    def test_a_host_that_starts_hears_which_upstreams_have_left(self) -> None:
        self.store.restore(self.copy)
        self.hosts[0].read()
        started = self.start("edge-4")
        self.assertEqual(["a", "b"], started.eligible())
        started.hear_removed(self.hosts[0])
        self.assertEqual(["a"], started.eligible())
        # It registers again.
        self.store.put(REGISTRY, "b")
        started.read()
        self.assertEqual(["a", "b"], started.eligible())

    def test_a_return_of_all_hosts(self) -> None:
        self.store.restore(self.copy)
        self.hosts = [self.start(host.name) for host in self.hosts]
        self.exchange()
        positions = {host.state.newest_position(INTENT) for host in self.hosts}
        self.assertEqual(1, len(positions))
        self.write_again()
        self.hosts[2].read()
        self.exchange()
        self.check_settled()

    def test_a_configuration_acknowledged_just_before(self) -> None:
        # One host has it already, and the others never get it from there.
        self.store.put(INTENT, CONFIGURATION, b"7")
        self.hosts[0].read()
        self.store.restore(self.copy)
        self.hosts[1].read()
        self.exchange()
        self.assertEqual([7, 5, 5], [host.version for host in self.hosts])
        self.write_again(b"7")
        self.hosts[1].read()
        self.exchange()
        self.check_unchanged(7)

    def test_what_was_known_before_counts_for_a_bounded_time(self) -> None:
        self.store.restore(self.copy)
        self.hosts[0].read()
        self.clock.advance(carried_items.CARRIED_MS)
        self.hosts[0].read()
        self.assertFalse(self.hosts[0].is_out("salem"))
        self.assertEqual(["a", "b"], self.hosts[0].eligible())
        self.assertEqual(5, self.hosts[0].version)
