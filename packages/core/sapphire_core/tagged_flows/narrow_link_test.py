"""Open flows of live upstreams behind a host whose own link is at fault."""

import dataclasses

import testtools

from sapphire_lab.tagged_flows import narrow_link_simulation

SEEDS = range(10)
SECONDS = 30


class NarrowLinkTest(testtools.TestCase):
    """All upstreams are alive, so the host must not reset any open flow."""

    def assert_no_reset(self, load: narrow_link_simulation.Load) -> None:
        """Runs the load with all seeds; callers must have repeated data."""
        resets = 0
        retransmissions = 0
        for seed in SEEDS:
            simulation = narrow_link_simulation.NarrowLinkSimulation(load, seed)
            simulation.run(SECONDS)
            resets += len(simulation.resets)
            retransmissions += simulation.retransmissions
        self.assertGreater(retransmissions, 0)
        self.assertEqual(0, resets)

    # Guards against resets of open flows by a host whose link is full: data
    # and opening packets wait there, which looks like a dead upstream.
    def test_flows_survive_uploads_that_fill_the_link(self) -> None:
        self.assert_no_reset(narrow_link_simulation.Load(uploads=3))

    # As before, with more uploads than the link can carry.
    def test_flows_survive_uploads_that_overload_the_link(self) -> None:
        self.assert_no_reset(narrow_link_simulation.Load(uploads=5))

    # As before, with a link of 5 Mbit/s.
    def test_flows_survive_many_uploads_on_a_wider_link(self) -> None:
        self.assert_no_reset(
            narrow_link_simulation.Load(
                uploads=8, bytes_per_ms=625.0, openings_per_s=15
            )
        )

    # Guards against resets of open flows by a host whose link loses packets.
    def test_flows_survive_a_link_that_loses_packets(self) -> None:
        self.assert_no_reset(narrow_link_simulation.Load(uploads=0, loss=0.4))


class LapsedEntryTest(NarrowLinkTest):
    """As before, while the registry lacks one upstream though it is alive."""

    def assert_no_reset(self, load: narrow_link_simulation.Load) -> None:
        """Runs the load with the entry of one upstream removed after 5 s."""
        super().assert_no_reset(dataclasses.replace(load, lapse_ms=5_000))
