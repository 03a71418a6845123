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
SILENT = data.SourceSilent("silent")


class Source:
    """A store that gives answers from a list, then stays silent for ever.

    Attributes:
        calls: What was asked: the revision of a watch, -1 for all items.
        closed: How often the connection was given up.
    """

    def __init__(self, answers: list[Answer]) -> None:
        self._answers = answers
        self.calls: list[int] = []
        self.closed = 0

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
        self.closed += 1


class Platform:
    """An adapter that only gives a source."""

    def __init__(self, source: Source) -> None:
        self._source = source
        self.packets: platform_interface.PacketCodec
        self.items: platform_interface.ItemDecoder

    def read_settings(self) -> platform_interface.HostSettings:
        raise NotImplementedError

    def create_store_client(
        self, settings: platform_interface.HostSettings
    ) -> platform_interface.StoreClient:
        return self._source


class StoreFollowerTest(testtools.TestCase):
    def run_store_follower(
        self,
        answers: list[Answer],
        calls: int,
        prepare: Callable[[host_state.HostState], None] | None = None,
    ) -> tuple[Source, host_state.HostState, list[data.Batch]]:
        """Runs a follower of the intent until it has made some calls."""
        state = host_builders.state()
        if prepare is not None:
            prepare(state)
        source = Source(answers)
        told: list[data.Batch] = []

        async def main() -> None:
            batches, received = anyio.create_memory_object_stream[
                messages.BatchReceived | messages.RemovedItemsReceived
            ](100)
            task = store_follower.StoreFollower(
                data.Scope.INTENT,
                Platform(source),
                state,
                clock_lib.MonotonicClock(),
                batches,
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(task.run)
                while len(source.calls) < calls:
                    await anyio.sleep(0.005)
                tasks.cancel_scope.cancel()
            batches.close()
            async for message in received:
                told.append(message.batch)

        anyio.run(main)
        return source, state, told

    def test_it_goes_on_from_what_it_was_told(self) -> None:
        # The copy of the store may take the batch a moment later.
        change = builders.batch(builders.item("a", 7), as_of=7)
        source, state, told = self.run_store_follower([FULL, change], 3)
        self.assertEqual([-1, 5, 7], source.calls)
        self.assertEqual([FULL, change], told)
        self.assertIn(data.Scope.INTENT, state.followed_scopes)

    def test_it_goes_on_from_what_peers_told(self) -> None:
        def learn(state: host_state.HostState) -> None:
            state.as_of_by_scope[data.Scope.INTENT] = 90

        source, _, _ = self.run_store_follower([FULL], 2, learn)
        self.assertEqual([-1, 90], source.calls)

    def test_without_history_all_is_read(self) -> None:
        gone = data.HistoryGone("gone")
        source, state, _ = self.run_store_follower([FULL, gone, FULL], 4)
        self.assertEqual([-1, 5, -1, 5], source.calls)
        self.assertIsNone(state.last_store_failure_ms)

    def test_a_host_that_is_turned_away_no_longer_says_it_follows(
        self,
    ) -> None:
        busy = data.SourceUnavailable("status 503")
        for failure in (busy, SILENT):
            source, state, _ = self.run_store_follower([FULL, failure], 3)
            self.assertEqual([-1, 5, 5], source.calls)
            self.assertNotIn(data.Scope.INTENT, state.followed_scopes)
            self.assertIsNotNone(state.last_store_failure_ms)

    def test_the_first_read_is_its_own_whoever_follows(self) -> None:
        def idle(state: host_state.HostState) -> None:
            state.set_must_follow_store(False)

        source, _, _ = self.run_store_follower([SILENT, FULL], 2, idle)
        self.assertEqual([-1, -1], source.calls)
