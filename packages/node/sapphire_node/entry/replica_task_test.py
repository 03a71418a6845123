import anyio
import testtools

from sapphire_core.peers import data as peer_data
from sapphire_core.replication import data
from sapphire_core.tagged_flows import data as flow_data
from sapphire_data import clock as clock_lib
from sapphire_data import failures
from sapphire_lab.tagged_flows import builders
from sapphire_lab.tagged_flows import host_builders
from sapphire_net import event_log
from sapphire_node.entry import messages
from sapphire_node.entry import peer_requests
from sapphire_node.entry import replica_task
from sapphire_node.entry import restore_report
from sapphire_wire import flow_pin_list
from sapphire_wire import peer_messages

REGISTRY = data.Scope.REGISTRY


class FakeItemDecoder:
    """Decodes each item as an upstream whose identity is the key."""

    def decode(self, item: data.Item) -> flow_data.Change | failures.Failure:
        if item.value is None:
            return flow_data.UpstreamRemoval(item.key)
        return flow_data.UpstreamChange(builders.upstream(item.key))


class ReplicaTaskFixture(testtools.TestCase):
    """A replica task and the streams that it reads and writes."""

    def setUp(self) -> None:
        super().setUp()
        self.state = host_builders.state()
        self.clock = clock_lib.ManualClock(1_000)
        _, batches = anyio.create_memory_object_stream[messages.ReplicaMessage](
            10
        )
        changes, self.changes = anyio.create_memory_object_stream[
            messages.PacketTaskMessage
        ](10)
        peers, self.peers = anyio.create_memory_object_stream[
            messages.HostListChanged
            | messages.ScopeUpdated
            | messages.OwnUpstreamReports
        ](10)
        self.task = replica_task.ReplicaTask(
            FakeItemDecoder(),
            state=self.state,
            clock=self.clock,
            batches=batches,
            changes=changes,
            peers=peers,
        )

    def apply(
        self, batch: data.Batch, scope: data.Scope = REGISTRY
    ) -> list[messages.NewChanges]:
        """Merges a batch from the store; returns the changes sent on."""
        received = messages.BatchReceived(scope, batch, "store")
        anyio.run(self.task._apply_batch, received)
        sent_changes: list[messages.NewChanges] = []
        while self.changes.statistics().current_buffer_used:
            sent = self.changes.receive_nowait()
            assert isinstance(sent, messages.NewChanges)
            sent_changes.append(sent)
        return sent_changes


class ReplicaTaskTest(ReplicaTaskFixture):
    def apply_full_batch(self, *keys: str, as_of: int) -> None:
        """Merges a full batch of the registry from the store."""
        items = [builders.item(key, 1) for key in keys]
        batch = builders.batch(*items, as_of=as_of, is_full=True)
        received = messages.BatchReceived(REGISTRY, batch, "store")
        anyio.run(self.task._apply_batch, received)

    def receive_removed(self, *keys: str) -> list[flow_data.Change]:
        """Handles removed items of a peer; returns the changes sent on."""
        while self.changes.statistics().current_buffer_used:
            self.changes.receive_nowait()
        batch = builders.batch(
            *[builders.item(key, 2) for key in keys], as_of=9
        )
        message = messages.RemovedItemsReceived(REGISTRY, batch, "edge-2")
        anyio.run(self.task._send_former_upstreams, message)
        sent_changes: list[flow_data.Change] = []
        while self.changes.statistics().current_buffer_used:
            sent = self.changes.receive_nowait()
            assert isinstance(sent, messages.NewChanges)
            sent_changes = [versioned.change for versioned in sent.changes]
        return sent_changes

    def test_removed_upstreams_are_sent_as_former_upstreams(self) -> None:
        self.apply_full_batch("i-1", as_of=5)
        former = flow_data.FormerUpstream(builders.upstream("i-2"))
        self.assertEqual([former], self.receive_removed("i-2"))

    def test_removed_items_that_the_replica_still_has_are_ignored(self) -> None:
        self.apply_full_batch("i-1", as_of=5)
        self.assertEqual([], self.receive_removed("i-1"))

    def test_removed_items_are_ignored_before_the_registry_is_read(
        self,
    ) -> None:
        self.assertEqual([], self.receive_removed("i-2"))

    def test_removed_items_newer_than_the_replica_are_ignored(self) -> None:
        self.apply_full_batch("i-1", as_of=1)
        self.assertEqual([], self.receive_removed("i-2"))

    def test_flow_pins_are_served_to_peers_before_any_scope_is_known(
        self,
    ) -> None:
        packet = builders.packet(1, tag=7)
        self.state.flow_pins.record_upstream(packet, 7, 0)
        path = peer_requests.FLOW_PINS_PATH
        response = anyio.run(self.task._serve_peer, "GET", path)
        self.assertEqual(
            (flow_data.FlowPin(packet.flow_id, 7, packet.acknowledged),),
            flow_pin_list.decode(response.body),
        )

    def test_removed_items_are_served_to_peers(self) -> None:
        self.apply_full_batch("i-1", "i-2", as_of=5)
        self.apply_full_batch("i-1", as_of=7)
        response = anyio.run(self.task._serve_peer, "GET", "/removed/2")
        batch = peer_messages.decode_batch(response.body)
        assert isinstance(batch, data.Batch)
        self.assertEqual(["i-2"], [item.key for item in batch.items])

    def test_a_body_is_encoded_once_for_all_peers_until_a_change(self) -> None:
        """Pattern: all peers ask for the same large change at once."""
        encoded: list[data.Batch] = []
        encode = peer_messages.encode_batch

        def count_and_encode(batch: data.Batch) -> bytes:
            encoded.append(batch)
            return encode(batch)

        self.patch(peer_messages, "encode_batch", count_and_encode)
        self.apply_full_batch("i-1", as_of=5)
        for _ in range(20):
            anyio.run(self.task._serve_peer, "GET", "/items/2/0")
        self.assertEqual(1, len(encoded))
        self.apply_full_batch("i-1", "i-2", as_of=7)
        response = anyio.run(self.task._serve_peer, "GET", "/items/2/0")
        batch = peer_messages.decode_batch(response.body)
        assert isinstance(batch, data.Batch)
        self.assertEqual(["i-1", "i-2"], [item.key for item in batch.items])


class OlderCopyTest(ReplicaTaskFixture):
    """Guards against what is passed on when revisions go back.

    The store was at revision 20 and comes back from a copy of revision 12.
    """

    def read(self, *items: data.Item, as_of: int) -> None:
        """Merges all items, as read before the copy was restored."""
        self.apply(builders.batch(*items, as_of=as_of, is_full=True))

    def removals(
        self, sent: list[messages.NewChanges]
    ) -> list[flow_data.RemovalCause]:
        """Returns the cause of each removal of an upstream."""
        return [
            message.removal_cause
            for message in sent
            for versioned in message.changes
            if isinstance(versioned.change, flow_data.UpstreamRemoval)
        ]

    # Guards against FLOW: open flows of a live upstream are reset.
    def test_an_upstream_missing_from_the_copy_has_not_stopped(self) -> None:
        # Revision 14 has been given out again, and no call has failed.
        self.read(builders.item("i-1", 14), as_of=20)
        copy = builders.copy_batch(builders.item("i-2", 15), as_of=16)
        self.assertNotIn(
            flow_data.RemovalCause.UPSTREAM_STOPPED,
            self.removals(self.apply(copy)),
        )

    # Right already; must stay so.
    def test_after_a_failed_call_a_missing_upstream_has_not_stopped(
        self,
    ) -> None:
        self.read(builders.item("i-1", 14), as_of=20)
        self.state.last_store_failure_ms = self.clock.now_ms()
        copy = builders.copy_batch(builders.item("i-2", 15), as_of=16)
        self.assertEqual(
            [flow_data.RemovalCause.REGISTRY_UNAVAILABLE],
            self.removals(self.apply(copy)),
        )

    # Right already; must stay so.
    def test_an_upstream_newer_than_the_copy_has_not_stopped(self) -> None:
        self.read(builders.item("i-1", 18), as_of=20)
        copy = builders.copy_batch(builders.item("i-2", 8), as_of=12)
        self.assertNotIn(
            flow_data.RemovalCause.UPSTREAM_STOPPED,
            self.removals(self.apply(copy)),
        )

    # Guards against DRAIN: an upstream that has gone keeps getting new flows.
    def test_an_upstream_that_does_not_register_again_is_removed(self) -> None:
        self.read(builders.item("i-1", 18), as_of=20)
        sent = self.apply(builders.copy_batch(as_of=12))
        for as_of in (13, 21):
            self.clock.advance(5_000)
            sent += self.apply(
                builders.copy_batch(
                    builders.item("i-2", as_of), as_of=as_of, is_full=False
                )
            )
        self.assertEqual(1, len(self.removals(sent)))

    # Guards against pulls for revisions that are gone, and after them.
    def test_the_positions_of_the_host_go_back_with_the_store(self) -> None:
        self.read(builders.item("i-1", 20), as_of=20)
        self.apply(builders.copy_batch(builders.item("i-1", 8), as_of=12))
        self.assertLessEqual(self.state.as_of_by_scope[REGISTRY], 12)
        self.assertLessEqual(self.state.change_revision_by_scope[REGISTRY], 12)

    # Guards against bodies from before the copy for the same request.
    def test_peers_do_not_get_bodies_encoded_before(self) -> None:
        self.read(builders.item("i-1", 20), as_of=20)
        anyio.run(self.task._serve_peer, "GET", "/items/2/0")
        self.apply(builders.copy_batch(builders.item("i-1", 8), as_of=12))
        response = anyio.run(self.task._serve_peer, "GET", "/items/2/0")
        batch = peer_messages.decode_batch(response.body)
        assert isinstance(batch, data.Batch)
        self.assertEqual(12, batch.as_of)

    # Guards against a host that no other host finds after a start.
    def test_a_host_that_the_copy_lacks_knows_that(self) -> None:
        own = peer_messages.encode_contact(
            peer_data.Contact("edge-1", "tacoma", "10.1.0.1", 7720)
        )
        listed = builders.item("hosts/edge-1", 20, own)
        hosts = data.Scope.HOSTS
        self.apply(builders.batch(listed, as_of=20, is_full=True), hosts)
        self.assertIsNone(self.state.unlisted_as_of)
        self.apply(builders.copy_batch(as_of=12), hosts)
        self.assertIsNotNone(self.state.unlisted_as_of)

    # Guards against two contents of one revision.
    def test_peers_of_another_era_get_all_items(self) -> None:
        self.apply(builders.copy_batch(builders.item("i-1", 8), as_of=12))
        for path, is_full in (("/items/2/12", True), ("/items/2/1/12", False)):
            response = anyio.run(self.task._serve_peer, "GET", path)
            batch = peer_messages.decode_batch(response.body)
            assert isinstance(batch, data.Batch)
            self.assertEqual(is_full, batch.is_full)
            self.assertEqual(builders.COPY_ERA, batch.era)

    # Guards against a late answer, or a peer that has not heard of it yet.
    def test_batches_from_before_are_ignored(self) -> None:
        self.apply(builders.copy_batch(builders.item("i-1", 8), as_of=12))
        before = builders.batch(builders.item("i-2", 20), as_of=20)
        self.assertEqual([], self.apply(before))
        self.assertEqual(
            data.Position(builders.COPY_ERA, 12), self.state.position(REGISTRY)
        )

    # Guards against a forged era of a peer that hides what the store says.
    def test_the_store_has_the_last_word_on_its_era(self) -> None:
        self.state.eras.named = builders.COPY_ERA
        forged = data.Batch((builders.item("i-9", 1),), 900, True, 10**6)
        received = messages.BatchReceived(REGISTRY, forged, "edge-2")
        anyio.run(self.task._apply_batch, received)
        self.apply(builders.copy_batch(builders.item("i-1", 8), as_of=12))
        self.assertEqual(
            data.Position(builders.COPY_ERA, 12), self.state.position(REGISTRY)
        )
        again = builders.copy_batch(
            builders.item("i-2", 13), as_of=13, is_full=False
        )
        self.assertEqual(1, len(self.apply(again)))

    # Guards against packets of open flows that are dropped.
    def test_upstreams_removed_before_are_known_to_a_host_that_started(
        self,
    ) -> None:
        self.apply(builders.copy_batch(builders.item("i-1", 8), as_of=12))
        removed = builders.batch(builders.item("i-2", 17), as_of=20)
        message = messages.RemovedItemsReceived(REGISTRY, removed, "edge-2")
        anyio.run(self.task._send_former_upstreams, message)
        self.assertEqual(1, self.changes.statistics().current_buffer_used)

    def test_one_line_tells_what_was_lost_and_written_again(self) -> None:
        self.read(builders.item("i-1", 18), builders.item("i-2", 4), as_of=20)
        self.apply(builders.copy_batch(builders.item("i-2", 4), as_of=12))
        self.clock.advance(900)
        again = builders.item("i-1", 13)
        self.apply(builders.copy_batch(again, as_of=13, is_full=False))
        report = self.task._report
        assert report is not None
        delay_ms = restore_report.REPORT_DELAY_MS
        self.assertFalse(report.is_due(1_000 + delay_ms - 1))
        self.assertTrue(report.is_due(1_000 + delay_ms))
        with self.assertLogs(restore_report.__name__, "INFO") as logs:
            report.log()
        line = event_log.KeyValueFormatter().format(logs.records[0])
        for part in (
            "former_era=0 era=1 scopes=1 missing=1 written_again=1",
            "took_ms=900",
        ):
            self.assertIn(part, line)
