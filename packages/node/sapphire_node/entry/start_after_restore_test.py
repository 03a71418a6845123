"""Hosts that start after the store has come back from an older copy."""

from sapphire_lab.tagged_flows import restored_hosts


class StartAfterRestoreTest(restored_hosts.RestoreTestCase):
    """A host starts after the return, before the operator writes again.

    Its peers go on by what they knew before; the copy has less.
    """

    def setUp(self) -> None:
        super().setUp()
        self.store.restore(self.copy)
        self.hosts[0].read()

    def start_and_ask(
        self, name: str, *peers: restored_hosts.Host
    ) -> restored_hosts.Host:
        """Starts a host, which asks some peers."""
        started = self.start(name)
        for peer in peers:
            started.ask_at_start(peer)
        return started

    # Guards against CONFIG: a route of before a change that its peers follow.
    def test_it_follows_the_configuration_that_its_peers_follow(self) -> None:
        started = self.start_and_ask("edge-4", self.hosts[0])
        self.assertEqual(5, started.version)

    # Guards against EVAC: new flows to a data centre that was taken out.
    def test_a_data_centre_that_its_peers_take_out_is_out(self) -> None:
        started = self.start_and_ask("edge-4", self.hosts[0])
        self.assertTrue(started.is_out("salem"))

    # Guards against CONFIG: the return is so recent that no peer knows of it.
    def test_peers_need_not_have_read_the_restored_store(self) -> None:
        started = self.start_and_ask("edge-4", self.hosts[1])
        self.assertEqual(5, started.version)
        self.assertTrue(started.is_out("salem"))
        self.assertEqual(["a"], started.eligible())

    # Guards against CONFIG and EVAC after restarts of all hosts in turn.
    def test_a_series_of_restarts_passes_on_what_was_known(self) -> None:
        first = self.start_and_ask("edge-1", self.hosts[0])
        second = self.start_and_ask("edge-2", first)
        self.assertEqual(5, second.version)
        self.assertTrue(second.is_out("salem"))
        self.assertEqual(["a"], second.eligible())

    # Guards against CONFIG: soak, seed 1016, two such peers were enough.
    def test_a_peer_that_knows_no_more_is_no_answer(self) -> None:
        uninformed = self.start("edge-2")
        started = self.start("edge-4")
        self.assertFalse(started.ask_at_start(uninformed))
        self.assertTrue(started.ask_at_start(self.hosts[0]))
        self.assertEqual(5, started.version)


class DrainBeforeRestoreTest(restored_hosts.RestoreTestCase):
    """An upstream began to drain after the copy was made."""

    def setUp(self) -> None:
        super().setUp()
        self.store.put(restored_hosts.REGISTRY, "d", b"ready:4")
        self.copy = self.store.copy()
        self.store.put(restored_hosts.REGISTRY, "d", b"draining:5")
        self.hosts[0].read()
        self.store.restore(self.copy)
        self.hosts[0].read()

    # Guards against DRAIN: new flows to an upstream that peers know to drain.
    def test_a_host_that_starts_knows_that_it_drains(self) -> None:
        self.assertNotIn("d", self.hosts[0].eligible())
        started = self.start("edge-4")
        self.assertIn("d", started.eligible())
        started.ask_at_start(self.hosts[0])
        self.assertNotIn("d", started.eligible())
