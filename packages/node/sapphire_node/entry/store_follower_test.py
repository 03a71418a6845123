from collections.abc import Callable

import anyio
import testtools

from sapphire_core.replication import data
from sapphire_data import clock as clock_lib
from sapphire_lab.tagged_flows import builders
from sapphire_lab.tagged_flows import host_builders
from sapphire_node.entry import host_state
from sapphire_node.entry import messages
from sapphire_node.entry import platform_interface
from sapphire_node.entry import store_follower

Answer = data.Batch | data.SourceFailure

FULL = builders.batch(builders.item("a", 5), as_of=5, is_full=True)
TIMEOUT = data.SourceSilent("no response")


class FakeStore:
    """A store that gives answers from a list and then never answers again.

    Attributes:
        calls: The revision of each wait for changes, -1 for each full read.
        close_count: How often the connection was closed.
    """

    def __init__(self, answers: list[Answer]) -> None:
        self._answers = answers
        self.calls: list[int] = []
        self.close_count = 0

    async def _next(self) -> Answer:
        await anyio.sleep(0)
        if not self._answers:
            await anyio.sleep_forever()
        return self._answers.pop(0)

    async def read_all(self, scope: data.Scope, timeout_ms: int) -> Answer:
        self.calls.append(-1)
        return await self._next()

    async def read_all_allow_stale(
        self, scope: data.Scope, timeout_ms: int
    ) -> Answer:
        self.calls.append(-1)
        return await self._next()

    async def wait_for_changes(
        self,
        scope: data.Scope,
        after_revision: int,
        wait_ms: int,
        timeout_ms: int,
    ) -> Answer:
        self.calls.append(after_revision)
        return await self._next()

    async def announce(
        self, host: str, value: bytes, ttl_ms: int, timeout_ms: int
    ) -> int:
        raise NotImplementedError

    async def renew(self, lease: int, timeout_ms: int) -> None:
        raise NotImplementedError

    async def close(self) -> None:
        self.close_count += 1


class FakePlatform:
    """An adapter that only creates a client of the store."""

    def __init__(self, store: FakeStore) -> None:
        self._store = store
        self.packets: platform_interface.PacketCodec
        self.items: platform_interface.ItemDecoder

    def read_settings(self) -> platform_interface.HostSettings:
        raise NotImplementedError

    def create_store_client(
        self, settings: platform_interface.HostSettings
    ) -> platform_interface.StoreClient:
        return self._store


class StoreFollowerTest(testtools.TestCase):
    def run_store_follower(
        self,
        answers: list[Answer],
        calls: int,
        prepare: Callable[[host_state.HostState], None] | None = None,
    ) -> tuple[FakeStore, host_state.HostState, list[data.Batch]]:
        """Runs a follower of the intent until it has made `calls` calls.

        Returns:
            The store, the state of the host, and the batches sent on.
        """
        state = host_builders.state()
        if prepare is not None:
            prepare(state)
        store = FakeStore(answers)
        sent: list[data.Batch] = []

        async def main() -> None:
            batches, received = anyio.create_memory_object_stream[
                messages.BatchReceived | messages.RemovedItemsReceived
            ](100)
            task = store_follower.StoreFollower(
                data.Scope.INTENT,
                FakePlatform(store),
                state,
                clock_lib.MonotonicClock(),
                batches,
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(task.run)
                while len(store.calls) < calls:
                    await anyio.sleep(0.005)
                tasks.cancel_scope.cancel()
            batches.close()
            async for message in received:
                sent.append(message.batch)

        anyio.run(main)
        return store, state, sent

    def test_changes_are_requested_after_the_last_batch(self) -> None:
        # `as_of_by_scope` stays unset, as when the replica applies a batch only
        # after the next call of the follower.
        change = builders.batch(builders.item("a", 7), as_of=7)
        store, state, sent = self.run_store_follower([FULL, change], 3)
        self.assertEqual([-1, 5, 7], store.calls)
        self.assertEqual([FULL, change], sent)
        self.assertIn(data.Scope.INTENT, state.followed_scopes)

    def test_changes_are_requested_after_newer_batches_of_peers(self) -> None:
        def apply_peer_batch(state: host_state.HostState) -> None:
            state.as_of_by_scope[data.Scope.INTENT] = 90

        store, _, _ = self.run_store_follower([FULL], 2, apply_peer_batch)
        self.assertEqual([-1, 90], store.calls)

    def test_all_items_are_read_when_the_history_is_gone(self) -> None:
        gone = data.HistoryGone("gone")
        store, state, _ = self.run_store_follower([FULL, gone, FULL], 4)
        self.assertEqual([-1, 5, -1, 5], store.calls)
        self.assertIsNone(state.last_store_failure_ms)

    def test_a_host_whose_calls_fail_is_no_follower(self) -> None:
        busy = data.SourceUnavailable("status 503")
        for failure in (busy, TIMEOUT):
            store, state, _ = self.run_store_follower([FULL, failure], 3)
            self.assertEqual([-1, 5, 5], store.calls)
            self.assertNotIn(data.Scope.INTENT, state.followed_scopes)
            self.assertIsNotNone(state.last_store_failure_ms)

    def test_the_first_read_goes_to_the_store_even_if_others_follow(
        self,
    ) -> None:
        def do_not_follow(state: host_state.HostState) -> None:
            state.set_must_follow_store(False)

        store, _, _ = self.run_store_follower([TIMEOUT, FULL], 2, do_not_follow)
        self.assertEqual([-1, -1], store.calls)
