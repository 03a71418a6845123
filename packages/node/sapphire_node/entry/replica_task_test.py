import anyio
import testtools

from sapphire_core.replication import data
from sapphire_core.tagged_flows import data as flow_data
from sapphire_data import clock as clock_lib
from sapphire_data import failures
from sapphire_lab.tagged_flows import builders
from sapphire_lab.tagged_flows import host_builders
from sapphire_node.entry import messages
from sapphire_node.entry import replica_task
from sapphire_wire import peer_messages

REGISTRY = data.Scope.REGISTRY


class FakeItemDecoder:
    """Decodes each item as an upstream whose identity is the key."""

    def decode(self, item: data.Item) -> flow_data.Change | failures.Failure:
        if item.value is None:
            return flow_data.UpstreamRemoval(item.key)
        return flow_data.UpstreamChange(builders.upstream(item.key))


class ReplicaTaskTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.state = host_builders.state()
        _, batches = anyio.create_memory_object_stream[
            messages.BatchReceived | messages.RemovedItemsReceived
        ](10)
        changes, self.changes = anyio.create_memory_object_stream[
            messages.NewChanges | messages.PeerReports
        ](10)
        peers, self.peers = anyio.create_memory_object_stream[
            messages.HostListChanged
            | messages.ScopeUpdated
            | messages.OwnUpstreamReports
        ](10)
        self.task = replica_task.ReplicaTask(
            FakeItemDecoder(),
            state=self.state,
            clock=clock_lib.ManualClock(1_000),
            batches=batches,
            changes=changes,
            peers=peers,
        )

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
