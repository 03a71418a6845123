import random

import testtools

from sapphire_core.peers import pull_sources
from sapphire_lab.tagged_flows import builders
from sapphire_lab.tagged_flows import transfer_simulation

# 17 KB, a compressed configuration with 1,640 routes, over 1.6 Mbit/s.
TRANSFER_MS = 85
SLOTS = 3


def source(host: str, *, is_near: bool = True) -> pull_sources.Source:
    """Returns a peer that has changes."""
    return pull_sources.Source(builders.heartbeat(host).contact, is_near, 7)


class PullSourcesTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.sources = pull_sources.PullSources(random.Random(1))

    def selected(self, *sources: pull_sources.Source, now_ms: int) -> str:
        """Returns the name of the selected peer, empty for none."""
        selected = self.sources.select(sources, now_ms)
        return selected.contact.host if selected is not None else ""

    def test_near_peers_come_first(self) -> None:
        far = source("far", is_near=False)
        for now_ms in range(20):
            self.assertEqual(
                "near", self.selected(far, source("near"), now_ms=now_ms)
            )
        self.assertEqual("far", self.selected(far, now_ms=0))

    def test_peers_that_did_not_send_are_left_alone_for_a_time(self) -> None:
        for outcome, backoff_ms in (
            (
                pull_sources.PullOutcome.BUSY,
                pull_sources.BUSY_BACKOFF_MAX_MS,
            ),
            (
                pull_sources.PullOutcome.FAILED,
                pull_sources.FAILURE_BACKOFF_MS,
            ),
            (
                pull_sources.PullOutcome.CONTRADICTED,
                pull_sources.CONTRADICTION_BACKOFF_MS,
            ),
        ):
            self.sources.record_outcome("a", outcome, 0)
            self.assertEqual("", self.selected(source("a"), now_ms=50))
            self.assertEqual(
                "b", self.selected(source("a"), source("b"), now_ms=50)
            )
            self.assertEqual("a", self.selected(source("a"), now_ms=backoff_ms))

    def test_a_peer_that_sent_may_be_asked_at_once(self) -> None:
        self.sources.record_outcome("a", pull_sources.PullOutcome.FAILED, 0)
        self.sources.record_outcome("a", pull_sources.PullOutcome.PULLED, 10)
        self.assertEqual("a", self.selected(source("a"), now_ms=11))

    def test_a_remote_peer_is_asked_while_near_ones_are_busy(self) -> None:
        self.sources.record_outcome("a", pull_sources.PullOutcome.BUSY, 0)
        far = source("far", is_near=False)
        self.assertEqual("far", self.selected(source("a"), far, now_ms=1))


class SpreadTest(testtools.TestCase):
    """Pattern: a configuration with 1,400 more routes on narrow links."""

    def test_a_large_change_reaches_all_hosts_as_a_tree(self) -> None:
        for host_count in (9, 76, 195, 1_000):
            spread = transfer_simulation.TransferSimulation(
                host_count, TRANSFER_MS, SLOTS, seed=5
            )
            # A configuration has to be in force everywhere 4 s after it was
            # accepted; reading it from the store takes half of that here.
            self.assertLess(spread.run_until_all_have_it(10_000), 2_000)
            # No host serves more than a few, however many there are.
            self.assertLessEqual(spread.most_served(), 24)
