"""Hosts and a store that comes back from an older copy, without network.

The hosts, and what they pass on, are real; calls and heartbeats are made by the
tests, one after another.
"""

import copy
import dataclasses
import random

import anyio
import testtools

from sapphire_core.peers import peer_table as peer_table_lib
from sapphire_core.peers import pull_sources
from sapphire_core.replication import data
from sapphire_core.tagged_flows import data as flow_data
from sapphire_data import clock as clock_lib
from sapphire_data import failures
from sapphire_lab.tagged_flows import builders
from sapphire_lab.tagged_flows import host_builders
from sapphire_lab.tagged_flows import scripted_store
from sapphire_net import http1
from sapphire_node.entry import change_puller
from sapphire_node.entry import era_question
from sapphire_node.entry import messages
from sapphire_node.entry import packet_task
from sapphire_node.entry import peer_requests
from sapphire_node.entry import replica_task
from sapphire_wire import peer_messages

INTENT = data.Scope.INTENT
REGISTRY = data.Scope.REGISTRY
CONFIGURATION = "configuration"
OUT = "out/"
CONTACT_MS = 4_000
# The value of an entry whose state and number do not matter.
UNNUMBERED = b"v"


class ItemDecoder:
    """Decodes versions of the configuration, data centres and upstreams."""

    def decode(self, item: data.Item) -> flow_data.Change | failures.Failure:
        """Decodes an item."""
        if item.key.startswith(OUT):
            return flow_data.DataCentreChange(
                item.key.removeprefix(OUT), item.value is not None
            )
        if item.key != CONFIGURATION:
            if item.value is None:
                return flow_data.UpstreamRemoval(item.key)
            return flow_data.UpstreamChange(_upstream(item.key, item.value))
        if item.value is None:
            return failures.UnreadableInput(item.key, "removed")
        version = int(item.value)
        return flow_data.ConfigurationChange(builders.configuration(version))


def _upstream(upstream_id: str, value: bytes) -> flow_data.Upstream:
    """Returns an upstream, whose entry has a state and a number."""
    if value == UNNUMBERED:
        return builders.upstream(upstream_id)
    state, _, number = value.decode().partition(":")
    return builders.upstream(
        upstream_id,
        state=flow_data.UpstreamState(state),
        report_number=int(number),
    )


class Store(scripted_store.ScriptedStore):
    """A store in memory that can come back from a copy."""

    def __init__(self) -> None:
        super().__init__([])
        self.era = 1
        self.revision = 0
        self._items: dict[data.Scope, dict[str, data.Item]] = {
            scope: {} for scope in data.Scope
        }

    def put(
        self, scope: data.Scope, key: str, value: bytes = UNNUMBERED
    ) -> None:
        """Writes an item."""
        self.revision += 1
        self._items[scope][key] = data.Item(key, self.revision, value)

    def delete(self, scope: data.Scope, key: str) -> None:
        """Removes an item."""
        self.revision += 1
        self._items[scope].pop(key, None)

    def copy(self) -> "Store":
        """Returns a copy of the store."""
        return copy.deepcopy(self)

    def restore(self, former: "Store") -> None:
        """Comes back from a copy."""
        self._items = copy.deepcopy(former._items)
        self.revision = former.revision
        self.era += 1

    def all_items(self, scope: data.Scope) -> data.Batch:
        """Returns all items of a scope."""
        items = tuple(self._items[scope].values())
        return data.Batch(items, self.revision, True, self.era)

    async def read_era(self, timeout_ms: int) -> int | data.SourceFailure:
        """Answers the question for the era."""
        return self.era


class CutOffStore(scripted_store.ScriptedStore):
    """The store as a host sees it that cannot reach it."""

    async def read_era(self, timeout_ms: int) -> int | data.SourceFailure:
        """Answers the question for the era."""
        return data.SourceSilent("cut off")


class Platform(scripted_store.ScriptedPlatform):
    """An adapter for packets that do not arrive."""

    def __init__(self, store: scripted_store.ScriptedStore) -> None:
        super().__init__(store)
        self.packets = None  # type: ignore[assignment]


class Host:
    """One host: its replicas, its steering, and what it hears of peers."""

    def __init__(
        self, name: str, store: Store, clock: clock_lib.ManualClock
    ) -> None:
        self.name = name
        self.state = host_builders.state()
        self.store = store
        self._clock = clock
        batches, self._batches = anyio.create_memory_object_stream[
            messages.ReplicaMessage
        ](100)
        changes, self._changes = anyio.create_memory_object_stream[
            messages.PacketTaskMessage
        ](100)
        peers, self._peers = anyio.create_memory_object_stream[
            messages.HostListChanged
            | messages.ScopeUpdated
            | messages.OwnUpstreamReports
        ](1_000)
        self.replicas = replica_task.ReplicaTask(
            ItemDecoder(),
            state=self.state,
            clock=clock,
            batches=self._batches,
            changes=changes,
            peers=peers,
        )
        self.table = peer_table_lib.PeerTable(
            builders.heartbeat(name).contact, random.Random(1), CONTACT_MS
        )
        self.puller = change_puller.ChangePuller(
            self.state,
            clock,
            peer_table=self.table,
            batches=batches,
            sources=pull_sources.PullSources(random.Random(1)),
        )
        self.packets = packet_task.PacketTask(
            Platform(store), self.state, clock, self._changes, peers
        )
        self.packets._socket.close()
        self.set_reachable(is_reachable=True)
        self.state.is_ready = True

    def set_reachable(self, *, is_reachable: bool) -> None:
        """Sets whether this host reaches the store."""
        store = self.store if is_reachable else CutOffStore([])
        self._question = era_question.EraQuestion(
            scripted_store.ScriptedPlatform(store), self.state, self._clock
        )

    @property
    def version(self) -> int:
        """The version of the configuration in force."""
        configuration = self.packets._steering.configuration
        assert configuration is not None
        return configuration.version

    def eligible(self) -> list[str]:
        """Returns the upstreams that get new flows."""
        table = self.packets._steering.upstream_table
        found = table.eligible_upstreams("board", self._clock.now_ms())
        return sorted(entry.upstream.upstream_id for entry in found)

    def is_out(self, data_centre: str) -> bool:
        """Whether a data centre gets no new flows."""
        table = self.packets._steering.upstream_table
        return data_centre in table._data_centres_out_of_rotation

    def read(self) -> None:
        """Reads all from the store, as at the start and after a restore."""
        for scope in data.Scope:
            batch = self.store.all_items(scope)
            self.state.record_store_era(batch.era, self._clock.now_ms())
            self._apply(messages.BatchReceived(scope, batch, messages.STORE))

    def hear(self, peer: "Host") -> None:
        """Gets a heartbeat of a peer, and pulls what it lacks."""
        era = max(peer.state.era_by_scope.values())
        heartbeat = dataclasses.replace(
            builders.heartbeat(peer.name, sequence=self._clock.now_ms()),
            revisions=peer.state.newest_revisions(era),
            era=era,
        )
        now_ms = self._clock.now_ms()
        self.table.record_heartbeat(heartbeat, now_ms)
        for _ in range(2):
            self.puller.record_revisions(heartbeat.revisions, now_ms, era)
            if self.state.eras.has_open_claim:
                anyio.run(self._question.ask)
                self.state.eras.drop_claims()
        for scope in list(self.puller._behind_since_ms_by_scope):
            source = self.puller._select_source(scope, now_ms)
            if source is not None and source.contact.host == peer.name:
                self._pull(scope, peer)
        self.puller._behind_since_ms_by_scope.clear()

    def hear_removed(self, peer: "Host") -> None:
        """Gets the upstreams that left before this host started."""
        response = anyio.run(peer.replicas._serve_peer, "GET", "/removed/2")
        batch = peer_messages.decode_batch(response.body)
        assert isinstance(batch, data.Batch)
        received = messages.RemovedItemsReceived(REGISTRY, batch, peer.name)
        anyio.run(self.replicas._send_former_upstreams, received)
        self._apply_changes()

    def ask_at_start(self, peer: "Host") -> bool:
        """Asks a peer for what it knows from before this host started.

        Returns:
            Whether the peer had anything to tell.
        """
        for scope in (INTENT, REGISTRY):
            request = peer_requests.PeerRequest(
                scope,
                None,
                self.state.era_by_scope[scope],
                is_for_carried=True,
            )
            response = anyio.run(peer.replicas._serve_peer, "GET", request.path)
            if response.status == http1.UNAVAILABLE:
                return False
            assert response.status == http1.OK
            batch = peer_messages.decode_batch(response.body)
            assert isinstance(batch, data.Batch)
            received = messages.CarriedItemsReceived(scope, batch, peer.name)
            anyio.run(self.replicas._handle_message, received)
        self._apply_changes()
        self.state.carried_answers += 1
        self.hear_removed(peer)
        return True

    def _pull(self, scope: data.Scope, peer: "Host") -> None:
        """Pulls a scope from a peer."""
        position = self.state.position(scope)
        request = peer_requests.PeerRequest(
            scope, position.revision, position.era
        )
        response = anyio.run(peer.replicas._serve_peer, "GET", request.path)
        assert response.status == http1.OK
        batch = peer_messages.decode_batch(response.body)
        assert isinstance(batch, data.Batch)
        self._apply(messages.BatchReceived(scope, batch, peer.name))

    def _apply(self, received: messages.BatchReceived) -> None:
        """Merges a batch and applies the changes."""
        anyio.run(self.replicas._apply_batch, received)
        self._apply_changes()

    def _apply_changes(self) -> None:
        """Applies the changes that the replicas have sent."""
        while self._changes.statistics().current_buffer_used:
            message = self._changes.receive_nowait()
            assert isinstance(message, messages.NewChanges)
            for change in message.changes:
                self.packets._change_applier.apply(
                    change, message, self._clock.now_ms()
                )


class RestoreTestCase(testtools.TestCase):
    """The store comes back from a copy some seconds old.

    The copy has version 3 and the upstreams `a` and `b`. Since then, `b` has
    left, `c` has registered, `salem` was taken out and version 5 was written.
    """

    def setUp(self) -> None:
        """Starts the hosts."""
        super().setUp()
        self.clock = clock_lib.ManualClock(10_000)
        self.store = Store()
        self.store.put(INTENT, CONFIGURATION, b"3")
        self.store.put(REGISTRY, "a")
        self.store.put(REGISTRY, "b")
        self.hosts = [self.start(f"edge-{number}") for number in (1, 2, 3)]
        self.copy = self.store.copy()
        self.store.delete(REGISTRY, "b")
        self.store.put(REGISTRY, "c")
        self.store.put(INTENT, f"{OUT}salem")
        self.store.put(INTENT, CONFIGURATION, b"5")
        for host in self.hosts:
            host.read()

    def start(self, name: str) -> Host:
        """Starts a host."""
        host = Host(name, self.store, self.clock)
        host.read()
        return host

    def exchange(self) -> None:
        """Lets each host hear each other one."""
        self.clock.advance(250)
        for host in self.hosts:
            for peer in self.hosts:
                if peer is not host:
                    host.hear(peer)

    def write_again(self, version: bytes = b"6") -> None:
        """Lets operators and upstreams write what was lost, and more."""
        self.store.put(INTENT, CONFIGURATION, version)
        self.store.put(INTENT, f"{OUT}salem")
        self.store.delete(REGISTRY, "b")
        self.store.put(REGISTRY, "c")

    def check_unchanged(self, version: int = 5) -> None:
        """Checks that the hosts act on what was known before."""
        for host in self.hosts:
            self.assertEqual(version, host.version)
            self.assertTrue(host.is_out("salem"))
            self.assertEqual(["a", "c"], host.eligible())

    def check_settled(self) -> None:
        """Checks that all hosts have what was written again."""
        self.check_unchanged(6)
        for host in self.hosts:
            for scope in (INTENT, REGISTRY):
                self.assertEqual(
                    data.Position(self.store.era, self.store.revision),
                    host.state.position(scope),
                )
