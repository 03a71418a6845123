import anyio
import testtools

from sapphire_core.replication import data
from sapphire_data import clock as clock_lib
from sapphire_lab.tagged_flows import builders
from sapphire_lab.tagged_flows import host_builders
from sapphire_lab.tagged_flows import scripted_store
from sapphire_node.entry import host_state
from sapphire_node.entry import messages
from sapphire_node.entry import startup_reader

LISTING = data.HostListing(b"contact", 101)
SNAPSHOT = data.Snapshot(
    {
        scope: builders.batch(
            builders.item(scope.name, 4), as_of=9, is_full=True
        )
        for scope in data.Scope
    },
    {"edge-1": LISTING, "edge-2": data.HostListing(b"other", 102)},
)
TIMEOUT = data.SourceSilent("no response")


class StartupReaderTest(testtools.TestCase):
    def read(
        self,
        answers: list[scripted_store.Answer],
        state: host_state.HostState | None = None,
    ) -> tuple[
        scripted_store.ScriptedStore,
        host_state.HostState,
        list[messages.BatchReceived],
    ]:
        """Runs the reader to its end."""
        state = state or host_builders.state()
        store = scripted_store.ScriptedStore(answers)
        sent: list[messages.BatchReceived] = []

        async def main() -> None:
            batches, received = anyio.create_memory_object_stream[
                messages.ReplicaMessage
            ](10)
            reader = startup_reader.StartupReader(
                scripted_store.ScriptedPlatform(store),
                state,
                clock_lib.MonotonicClock(),
                batches,
            )
            await reader.run()
            batches.close()
            async for message in received:
                assert isinstance(message, messages.BatchReceived)
                sent.append(message)

        anyio.run(main)
        return store, state, sent

    def test_one_call_reads_all_scopes(self) -> None:
        store, state, sent = self.read([SNAPSHOT])
        self.assertEqual(["snapshot"], store.calls)
        self.assertEqual(set(data.Scope), {message.scope for message in sent})
        self.assertTrue(state.startup_read.is_set())
        self.assertEqual(9, state.startup_revision)
        self.assertEqual(LISTING, state.startup_listing)

    def test_the_store_is_read_though_others_follow_it(self) -> None:
        state = host_builders.state()
        state.set_must_follow_store(False)
        store, _, _ = self.read([TIMEOUT, SNAPSHOT], state)
        self.assertEqual(["snapshot", "snapshot"], store.calls)

    def test_failures_are_recorded_and_the_read_is_repeated(self) -> None:
        for failure in (TIMEOUT, data.SourceUnavailable("status 429")):
            store, state, sent = self.read([failure, failure, SNAPSHOT])
            self.assertEqual(3, len(store.calls))
            self.assertEqual(3, store.close_count)
            self.assertIsNotNone(state.last_store_failure_ms)
            self.assertEqual(len(data.Scope), len(sent))

    def test_a_host_that_is_not_listed_has_no_listing(self) -> None:
        _, state, _ = self.read([data.Snapshot(SNAPSHOT.batches_by_scope, {})])
        self.assertIsNone(state.startup_listing)
