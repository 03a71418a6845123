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


class Items:
    """Items that name upstreams by their keys."""

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
            | messages.LocalUpstreamReports
        ](10)
        self.task = replica_task.ReplicaTask(
            Items(),
            state=self.state,
            clock=clock_lib.ManualClock(1_000),
            batches=batches,
            changes=changes,
            peers=peers,
        )

    def read_store(self, *keys: str, as_of: int) -> None:
        """Lets the host read the whole registry."""
        items = [builders.item(key, 1) for key in keys]
        batch = builders.batch(*items, as_of=as_of, is_full=True)
        received = messages.BatchReceived(REGISTRY, batch, "store")
        anyio.run(self.task._take, received)

    def hear_removed(self, *keys: str) -> list[flow_data.Change]:
        """Lets a peer tell of removed keys; returns what is learned."""
        while self.changes.statistics().current_buffer_used:
            self.changes.receive_nowait()
        batch = builders.batch(
            *[builders.item(key, 2) for key in keys], as_of=9
        )
        message = messages.RemovedItemsReceived(REGISTRY, batch, "edge-2")
        anyio.run(self.task._take_removed, message)
        learned: list[flow_data.Change] = []
        while self.changes.statistics().current_buffer_used:
            told = self.changes.receive_nowait()
            assert isinstance(told, messages.NewChanges)
            learned = [known.change for known in told.changes]
        return learned

    def test_removed_upstreams_are_known_as_former_ones(self) -> None:
        self.read_store("i-1", as_of=5)
        former = flow_data.FormerUpstream(builders.upstream("i-2"))
        self.assertEqual([former], self.hear_removed("i-2"))

    def test_what_this_host_knows_itself_counts(self) -> None:
        self.read_store("i-1", as_of=5)
        self.assertEqual([], self.hear_removed("i-1"))

    def test_a_host_that_has_not_read_the_registry_waits(self) -> None:
        self.assertEqual([], self.hear_removed("i-2"))

    def test_what_is_newer_than_the_own_read_is_left_to_it(self) -> None:
        self.read_store("i-1", as_of=1)
        self.assertEqual([], self.hear_removed("i-2"))

    def test_peers_are_told_what_was_removed(self) -> None:
        self.read_store("i-1", "i-2", as_of=5)
        self.read_store("i-1", as_of=7)
        response = anyio.run(self.task._answer, "GET", "/removed/2")
        batch = peer_messages.decode_batch(response.body)
        assert isinstance(batch, data.Batch)
        self.assertEqual(["i-2"], [item.key for item in batch.items])
