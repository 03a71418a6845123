import random
from typing import Any

import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from sapphire_core.configuration import data
from sapphire_core.configuration import propagation
from sapphire_core.configuration import propagation_data as messages
from sapphire_core.configuration import store_followers

BOOTED_MS = messages.DEFAULT_SETTINGS.boot_wait_ms
FLEET = {f"h{index}": f"dc{index % 3}" for index in range(9)}
STORE_FOLLOWER = min(store_followers.select(FLEET))
NON_FOLLOWER = min(set(FLEET) - store_followers.select(FLEET))
FIRST, SECOND, THIRD = sorted(set(FLEET) - {STORE_FOLLOWER, NON_FOLLOWER})[:3]


def version(revision: int, digest: str = "") -> data.Version:
    """Returns a version; its default digest is unique to the revision."""
    return data.Version(revision, digest or f"d{revision}")


def host(host_id: str) -> propagation.Propagation:
    """Returns the state machine of a host that knows the whole fleet."""
    machine = propagation.Propagation(
        host_id, FLEET[host_id], random.Random(1), 0
    )
    machine.handle(messages.ViewChanged(FLEET), 0)
    return machine


def done(revision: int, source: str, requested: int = 0) -> messages.FetchDone:
    """Returns a finished fetch from a source.

    Args:
        revision: The revision that the source delivered.
        source: The peer.
        requested: The revision that was requested; 0 for the delivered one.
    """
    fetch = messages.Fetch(version(requested or revision), source)
    return messages.FetchDone(version(revision), fetch)


def of_type(actions: list[Any], kind: type) -> list[Any]:
    """Returns the actions of one type."""
    return [action for action in actions if isinstance(action, kind)]


def booted(host_id: str, revision: int = 1) -> propagation.Propagation:
    """Returns the state machine of a host that has fetched a revision."""
    machine = host(host_id)
    machine.handle(
        messages.PeerVersionReceived(FIRST, version(revision)), BOOTED_MS
    )
    machine.handle(done(revision, FIRST), BOOTED_MS)
    return machine


class PropagationTest(testtools.TestCase):
    def test_newer_revision_is_fetched_prepared_and_sent_to_peers(self) -> None:
        machine = booted(NON_FOLLOWER)
        offer = messages.PeerVersionReceived(FIRST, version(2))
        self.assertEqual(
            [messages.Fetch(version(2), FIRST)],
            of_type(machine.handle(offer, 1_000), messages.Fetch),
        )
        actions = machine.handle(done(2, FIRST), 1_010)
        self.assertEqual(
            [messages.Prepare(version(2))],
            of_type(actions, messages.Prepare),
        )
        notices = of_type(actions, messages.Notify)[0]
        self.assertThat(notices.version, matchers.Equals(version(2)))
        data_centres = {FLEET[host_id] for host_id in notices.host_ids}
        self.assertThat(len(data_centres), matchers.Equals(2))

    def test_older_revision_is_never_prepared(self) -> None:
        machine = booted(STORE_FOLLOWER, revision=5)
        for event in (
            messages.StoreHeadReceived(version(4)),
            messages.PeerVersionReceived(FIRST, version(3)),
            done(4, FIRST),
            done(5, FIRST),
        ):
            actions = machine.handle(event, 1_000)
            self.assertEqual([], of_type(actions, messages.Fetch))
            self.assertEqual([], of_type(actions, messages.Prepare))
        self.assertThat(machine.version, matchers.Equals(version(5)))

    def test_host_without_configuration_fetches_the_newest_offer(self) -> None:
        machine = host(NON_FOLLOWER)
        for source, revision in ((FIRST, 3), (SECOND, 7), (THIRD, 5)):
            offer = messages.PeerVersionReceived(source, version(revision))
            actions = machine.handle(offer, BOOTED_MS - 1)
            self.assertEqual([], of_type(actions, messages.Fetch))
        actions = machine.handle(messages.Tick(), BOOTED_MS)
        self.assertEqual(
            [messages.Fetch(version(7), SECOND)],
            of_type(actions, messages.Fetch),
        )

    def test_failed_source_does_not_delay_an_older_revision(self) -> None:
        machine = booted(NON_FOLLOWER)
        machine.handle(messages.PeerVersionReceived(FIRST, version(9)), 1_000)
        machine.handle(messages.PeerVersionReceived(SECOND, version(2)), 1_000)
        actions = machine.handle(
            messages.FetchFailed(messages.Fetch(version(9), FIRST)), 1_100
        )
        self.assertEqual(
            [messages.Fetch(version(2), SECOND)],
            of_type(actions, messages.Fetch),
        )
        actions = machine.handle(
            messages.PeerVersionReceived(FIRST, version(9)), 1_150
        )
        self.assertEqual([], of_type(actions, messages.Fetch))

    def test_fetch_that_timed_out_is_repeated_from_two_sources(self) -> None:
        machine = booted(NON_FOLLOWER)
        machine.handle(messages.PeerVersionReceived(FIRST, version(2)), 1_000)
        machine.handle(messages.PeerVersionReceived(SECOND, version(2)), 1_000)
        timeout_ms = messages.DEFAULT_SETTINGS.fetch_timeout_min_ms
        actions = machine.handle(messages.Tick(), 1_000 + timeout_ms)
        fetches = of_type(actions, messages.Fetch)
        self.assertThat(
            fetches[0], matchers.Equals(messages.Fetch(version(2), SECOND))
        )
        # The source that timed out is asked again, beside the second one.
        self.assertThat(fetches, matchers.HasLength(2))

    def test_source_that_delivers_an_older_revision_is_ranked_lower(
        self,
    ) -> None:
        machine = booted(NON_FOLLOWER)
        machine.handle(messages.PeerVersionReceived(FIRST, version(9)), 1_000)
        machine.handle(messages.PeerVersionReceived(SECOND, version(9)), 1_000)
        actions = machine.handle(done(4, FIRST, requested=9), 1_100)
        self.assertEqual([version(4)], [actions[0].version])  # type: ignore[union-attr]
        self.assertEqual(
            [messages.Fetch(version(9), SECOND)],
            of_type(actions, messages.Fetch),
        )

    def test_different_content_of_the_same_revision_is_a_fork(self) -> None:
        machine = booted(NON_FOLLOWER)
        offered = version(1, "other")
        machine.handle(messages.PeerVersionReceived(FIRST, offered), 1_000)
        self.assertEqual(
            [messages.RevisionForked(version(1), offered, FIRST)], machine.forks
        )
        self.assertThat(machine.version, matchers.Equals(version(1)))

    def test_store_follower_reads_the_head_and_reopens_its_watch(self) -> None:
        machine = host(STORE_FOLLOWER)
        actions = machine.handle(messages.Tick(), 0)
        actions += machine.handle(messages.WatchStarted(), 1)
        self.assertThat(
            of_type(actions, messages.ReadStoreHead), matchers.HasLength(1)
        )
        machine.handle(messages.WatchEnded(), 100)
        retry_ms = messages.DEFAULT_SETTINGS.watch_retry_max_ms
        actions = machine.handle(messages.Tick(), 100 + retry_ms)
        self.assertThat(
            of_type(actions, messages.StartWatch), matchers.HasLength(1)
        )

    def test_watch_stops_once_the_host_is_no_store_follower(self) -> None:
        machine = host(STORE_FOLLOWER)
        alone = {STORE_FOLLOWER: FLEET[STORE_FOLLOWER]}
        machine.handle(messages.ViewChanged(alone), 10)
        self.assertThat(machine.is_store_follower, matchers.Equals(True))
        machine = host(NON_FOLLOWER)
        actions = machine.handle(
            messages.ViewChanged({NON_FOLLOWER: FLEET[NON_FOLLOWER]}), 10
        )
        self.assertThat(
            of_type(actions, messages.StartWatch), matchers.HasLength(1)
        )
        actions = machine.handle(messages.ViewChanged(FLEET), 20)
        self.assertThat(
            of_type(actions, messages.StopWatch), matchers.HasLength(1)
        )

    def test_host_reads_the_store_only_while_no_peer_sends_its_version(
        self,
    ) -> None:
        machine = booted(NON_FOLLOWER)
        reads = 0
        for now_ms in range(1_000, 60_000, 100):
            event = messages.PeerVersionReceived(FIRST, version(1))
            actions = machine.handle(event, now_ms)
            reads += len(of_type(actions, messages.ReadStoreHead))
        self.assertThat(reads, matchers.Equals(0))
        for now_ms in range(60_000, 180_000, 100):
            actions = machine.handle(messages.Tick(), now_ms)
            reads += len(of_type(actions, messages.ReadStoreHead))
        self.assertThat(reads, matchers.GreaterThan(3))
        # With jitter the longest interval is 15 to 30 seconds; the first few
        # reads are closer together.
        self.assertThat(reads, matchers.LessThan(120 // 15 + 6))


REVISIONS = strategies.integers(0, 6)
SOURCES = strategies.sampled_from([FIRST, SECOND, THIRD])
DRAWN_EVENTS = strategies.one_of(
    strategies.builds(
        lambda source, revision: messages.PeerVersionReceived(
            source, version(revision)
        ),
        SOURCES,
        REVISIONS,
    ),
    strategies.builds(
        lambda revision: messages.StoreHeadReceived(version(revision)),
        REVISIONS,
    ),
    strategies.builds(done, REVISIONS, SOURCES, strategies.integers(1, 6)),
    strategies.builds(
        lambda source, revision: messages.FetchFailed(
            messages.Fetch(version(revision), source)
        ),
        SOURCES,
        REVISIONS,
    ),
    strategies.sampled_from(
        [
            messages.Tick(),
            messages.WatchStarted(),
            messages.WatchEnded(),
            messages.StoreReadFailed(),
            messages.ViewChanged(FLEET),
            messages.ViewChanged({}),
        ]
    ),
)


class AnyOrderTest(testtools.TestCase):
    """Events arrive late, repeatedly, reordered and after long pauses."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(
        strategies.sampled_from([STORE_FOLLOWER, NON_FOLLOWER]),
        strategies.lists(
            strategies.tuples(DRAWN_EVENTS, strategies.integers(0, 20_000)),
            max_size=40,
        ),
    )
    def test_revision_never_goes_back_and_the_newest_is_fetched(
        self, host_id: str, steps: list[tuple[messages.Event, int]]
    ) -> None:
        machine = host(host_id)
        now_ms = 0
        prepared = [0]
        for event, pause_ms in steps:
            now_ms += pause_ms
            for action in machine.handle(event, now_ms):
                if isinstance(action, messages.Prepare):
                    prepared.append(action.version.revision)
        self._deliver_newest(machine, now_ms, prepared)
        self.assertEqual(sorted(set(prepared)), prepared)
        self.assertThat(machine.version.revision, matchers.Equals(9))

    def _deliver_newest(
        self, machine: propagation.Propagation, now_ms: int, prepared: list[int]
    ) -> None:
        """Lets one peer offer and deliver revision 9; other fetches fail."""
        for _ in range(400):
            now_ms += 50
            event: messages.Event = messages.PeerVersionReceived(
                SECOND, version(9)
            )
            for action in machine.handle(event, now_ms):
                if not isinstance(action, messages.Fetch):
                    continue
                outcome: messages.Event = messages.FetchFailed(action)
                if action.host_id == SECOND and action.version.revision == 9:
                    outcome = messages.FetchDone(version(9), action)
                for next_action in machine.handle(outcome, now_ms):
                    if isinstance(next_action, messages.Prepare):
                        prepared.append(next_action.version.revision)


class StoreFollowersTest(testtools.TestCase):
    def test_each_data_centre_has_a_store_follower_and_the_fleet_three(
        self,
    ) -> None:
        for hosts, data_centres, expected in (
            (1, 1, 1),
            (2, 1, 2),
            (9, 1, 3),
            (9, 3, 3),
            (1_000, 10, 10),
        ):
            fleet = {
                f"h{index}": f"dc{index % data_centres}"
                for index in range(hosts)
            }
            selected = store_followers.select(fleet)
            self.assertThat(len(selected), matchers.Equals(expected))
            covered = {fleet[host_id] for host_id in selected}
            self.assertThat(len(covered), matchers.Equals(data_centres))

    def test_departure_of_another_host_keeps_the_selection(self) -> None:
        smaller = dict(FLEET)
        del smaller[NON_FOLLOWER]
        self.assertEqual(
            store_followers.select(FLEET), store_followers.select(smaller)
        )
