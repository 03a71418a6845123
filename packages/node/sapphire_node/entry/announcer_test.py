import anyio
import testtools

from sapphire_core.peers import data as peer_data
from sapphire_core.replication import data
from sapphire_core.tagged_flows import data as flow_data
from sapphire_data import clock as clock_lib
from sapphire_data import failures
from sapphire_lab.tagged_flows import builders
from sapphire_lab.tagged_flows import host_builders
from sapphire_lab.tagged_flows import scripted_store
from sapphire_node.entry import announcer as announcer_lib
from sapphire_node.entry import messages
from sapphire_node.entry import replica_task
from sapphire_wire import peer_messages

CONTACT = peer_data.Contact("edge-1", "tacoma", "10.1.0.1", 7720)
VALUE = peer_messages.encode_contact(CONTACT)
LISTED = data.Announcement(101, 20)
BUSY = data.SourceUnavailable("status 429")


class AnnouncerFixture(testtools.TestCase):
    """An announcer with a scripted store."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = clock_lib.ManualClock(1_000)
        self.state = host_builders.state()
        self.state.startup_revision = 9
        self.store = scripted_store.ScriptedStore([])
        self.announcer = announcer_lib.Announcer(
            CONTACT,
            scripted_store.ScriptedPlatform(self.store),
            self.state,
            self.clock,
        )

    def step(
        self, *answers: scripted_store.Answer, after_ms: int = 0
    ) -> list[int | str]:
        """Runs one step after some time; returns the calls that it made."""
        self.clock.advance(after_ms)
        self.store.answers = list(answers)
        self.store.calls = []
        anyio.run(self.announcer.step)
        return self.store.calls


class AnnouncerTest(AnnouncerFixture):
    def adopt(self, value: bytes, lease: int) -> None:
        """Starts with an entry of a former process in the host list."""
        self.state.startup_listing = data.HostListing(value, lease)
        self.announcer.adopt_listing()

    def test_a_host_announces_itself_once_and_renews_rarely(self) -> None:
        self.assertEqual(["announce"], self.step(LISTED))
        self.assertEqual([], self.step(after_ms=60_000))
        renewed = self.step(None, after_ms=announcer_lib.RENEW_INTERVAL_MS)
        self.assertEqual(["renew 101"], renewed)

    def test_a_restarted_host_keeps_its_entry(self) -> None:
        """Pattern: all hosts return at once; none of them has to write."""
        self.adopt(VALUE, 55)
        self.assertEqual([], self.step())
        renewed = self.step(None, after_ms=announcer_lib.RENEW_INTERVAL_MS)
        self.assertEqual(["renew 55"], renewed)

    def test_an_entry_that_does_not_fit_is_replaced(self) -> None:
        for value, lease in ((b"other address", 55), (VALUE, 0)):
            self.adopt(value, lease)
            self.assertEqual(["announce"], self.step(BUSY))
            self.clock.advance(announcer_lib.RETRY_MAX_MS * 2)

    def test_a_host_that_the_list_lacks_announces_itself_again(self) -> None:
        """Pattern: the store takes keys away and no call shows it."""
        self.step(LISTED)
        for unlisted_as_of in (None, LISTED.revision - 1, LISTED.revision):
            self.state.unlisted_as_of = unlisted_as_of
            self.assertEqual([], self.step(after_ms=5_000))
        self.state.unlisted_as_of = LISTED.revision + 1
        self.step()
        again = data.Announcement(102, 30)
        spread_ms = announcer_lib.REANNOUNCE_SPREAD_MS
        self.assertEqual(["announce"], self.step(again, after_ms=spread_ms))
        # The list is older than the new announcement.
        self.assertEqual([], self.step(after_ms=60_000))

    def test_a_lease_that_has_ended_is_replaced_at_once(self) -> None:
        self.step(LISTED)
        ended = data.LeaseEnded("ended")
        self.step(ended, after_ms=announcer_lib.RENEW_INTERVAL_MS)
        self.assertEqual(["announce"], self.step(LISTED))

    def test_a_store_that_fails_is_called_less_and_less(self) -> None:
        calls = 0
        for _ in range(60):
            calls += len(self.step(BUSY, after_ms=1_000))
        # After 1, 2, 4, 8, 16, 16 s, with jitter.
        self.assertLessEqual(calls, 9)
        self.assertGreaterEqual(calls, 5)
        self.assertEqual(calls, self.state.counts["announce_failures"])


class NoItemDecoder:
    """A decoder of a host that has no items but the host list."""

    def decode(self, item: data.Item) -> flow_data.Change | failures.Failure:
        raise NotImplementedError


class OlderCopyTest(AnnouncerFixture):
    """Guards against a host that stays out of the list of a restored store.

    The store was at revision 20 and comes back from a copy of revision 12,
    which has neither the entry of the host nor its lease.
    """

    def setUp(self) -> None:
        super().setUp()
        _, batches = anyio.create_memory_object_stream[messages.ReplicaMessage](
            10
        )
        changes, _ = anyio.create_memory_object_stream[
            messages.PacketTaskMessage
        ](10)
        peers, received = anyio.create_memory_object_stream[
            messages.HostListChanged
            | messages.ScopeUpdated
            | messages.OwnUpstreamReports
        ](10)
        self.addCleanup(received.close)
        self.task = replica_task.ReplicaTask(
            NoItemDecoder(),
            state=self.state,
            clock=self.clock,
            batches=batches,
            changes=changes,
            peers=peers,
        )

    def read_list(self, batch: data.Batch) -> None:
        """Merges the host list."""
        received = messages.BatchReceived(data.Scope.HOSTS, batch, "store")
        anyio.run(self.task._apply_batch, received)

    def test_a_host_that_the_copy_lacks_is_listed_again_within_two_seconds(
        self,
    ) -> None:
        self.step(LISTED)
        listed = builders.item("hosts/edge-1", LISTED.revision, VALUE)
        before = builders.batch(listed, as_of=LISTED.revision, is_full=True)
        self.read_list(before)
        self.read_list(builders.copy_batch(as_of=12))
        again = data.Announcement(7, 14)
        calls: list[int | str] = []
        for after_ms in (0, 1_000, 1_000):
            calls.extend(self.step(again, after_ms=after_ms))
        self.assertEqual(1, calls.count("announce"))

    def test_a_lease_of_a_former_era_is_made_anew(self) -> None:
        # The copy has the entry; another host may have the number of the lease.
        self.step(LISTED)
        self.state.record_store_era(builders.COPY_ERA, self.clock.now_ms())
        again = data.Announcement(7, 14, builders.COPY_ERA)
        interval_ms = announcer_lib.RENEW_INTERVAL_MS
        self.assertEqual(["announce"], self.step(again, after_ms=interval_ms))
        self.assertEqual(["renew 7"], self.step(None, after_ms=interval_ms))
