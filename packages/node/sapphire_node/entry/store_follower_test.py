from collections.abc import Callable

import anyio
import testtools

from sapphire_core.replication import data
from sapphire_data import clock as clock_lib
from sapphire_lab.tagged_flows import builders
from sapphire_lab.tagged_flows import host_builders
from sapphire_lab.tagged_flows import scripted_store
from sapphire_net import pauses
from sapphire_node.entry import host_state
from sapphire_node.entry import messages
from sapphire_node.entry import store_follower

READ_ALL = scripted_store.READ_ALL
CHANGE = builders.batch(builders.item("a", 7), as_of=7)
FULL = builders.batch(builders.item("a", 7), as_of=9, is_full=True)
TIMEOUT = data.SourceSilent("no response")
GONE = data.HistoryGone("gone")
# The revision of the read at the start of the host.
STARTUP_REVISION = 5


class StoreFollowerFixture(testtools.TestCase):
    """Runs a follower of the intent against a scripted store."""

    def run_store_follower(
        self,
        answers: list[scripted_store.Answer],
        calls: int,
        prepare: Callable[[host_state.HostState], None] | None = None,
        *,
        limit_s: float = 20.0,
    ) -> tuple[
        scripted_store.ScriptedStore, host_state.HostState, list[data.Batch]
    ]:
        """Runs a follower of the intent until it has made `calls` calls.

        Returns:
            The store, the state of the host, and the batches sent on.
        """
        state = host_builders.state()
        state.set_must_follow_store(True)
        store = self.create_store(answers)
        sent: list[data.Batch] = []

        async def main() -> None:
            state.startup_revision = STARTUP_REVISION
            state.startup_read.set()
            if prepare is not None:
                prepare(state)
            batches, received = anyio.create_memory_object_stream[
                messages.ReplicaMessage
            ](1_000)
            task = store_follower.StoreFollower(
                data.Scope.INTENT,
                scripted_store.ScriptedPlatform(store),
                state,
                clock_lib.MonotonicClock(),
                batches,
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(task.run)
                with anyio.move_on_after(limit_s):
                    while len(store.calls) < calls:
                        await anyio.sleep(0.005)
                tasks.cancel_scope.cancel()
            batches.close()
            async for message in received:
                assert isinstance(message, messages.BatchReceived)
                sent.append(message.batch)

        anyio.run(main)
        return store, state, sent

    def create_store(
        self, answers: list[scripted_store.Answer]
    ) -> scripted_store.ScriptedStore:
        """Returns the store."""
        return scripted_store.ScriptedStore(answers)


class StoreFollowerTest(StoreFollowerFixture):
    def test_changes_are_requested_after_the_last_batch(self) -> None:
        # `as_of_by_scope` stays unset, as when the replica applies a batch only
        # after the next call of the follower.
        later = builders.batch(builders.item("a", 8), as_of=8)
        store, state, sent = self.run_store_follower([CHANGE, later], 3)
        self.assertEqual([STARTUP_REVISION, 7, 8], store.calls)
        self.assertEqual([CHANGE, later], sent)
        self.assertIn(data.Scope.INTENT, state.followed_scopes)

    def test_changes_are_requested_after_newer_batches_of_peers(self) -> None:
        def apply_peer_batch(state: host_state.HostState) -> None:
            state.as_of_by_scope[data.Scope.INTENT] = 90

        store, _, _ = self.run_store_follower([], 1, apply_peer_batch)
        self.assertEqual([90], store.calls)

    def test_all_items_are_read_when_the_history_is_gone(self) -> None:
        store, state, _ = self.run_store_follower([GONE, FULL], 3)
        self.assertEqual([STARTUP_REVISION, READ_ALL, 9], store.calls)
        self.assertIsNone(state.last_store_failure_ms)

    def test_a_store_that_keeps_no_history_is_not_called_in_a_loop(
        self,
    ) -> None:
        """Pattern: the store drops its history faster than it is read."""
        answers: list[scripted_store.Answer] = [GONE, FULL] * 500
        store, _, _ = self.run_store_follower(answers, 1_000, limit_s=2.0)
        # The first full read is made at once, the others after 50, 100, 200,
        # 400 and 800 ms, with jitter.
        self.assertGreaterEqual(len(store.calls), 4)
        self.assertLessEqual(len(store.calls), 16)

    def test_the_pause_starts_anew_after_a_watch_that_succeeded(self) -> None:
        self.patch(pauses, "sleep_ms", self._never_called)
        self.run_store_follower([GONE, FULL, CHANGE, GONE, FULL], 6)

    async def _never_called(self, duration_ms: int) -> None:
        self.fail(f"a pause of {duration_ms} ms")

    def test_a_host_whose_calls_fail_is_no_follower(self) -> None:
        busy = data.SourceUnavailable("status 503")
        for failure in (busy, TIMEOUT):
            store, state, _ = self.run_store_follower([CHANGE, failure], 3)
            self.assertEqual([STARTUP_REVISION, 7, 7], store.calls)
            self.assertNotIn(data.Scope.INTENT, state.followed_scopes)
            self.assertIsNotNone(state.last_store_failure_ms)

    def test_a_host_that_need_not_follow_does_not_call(self) -> None:
        def do_not_follow(state: host_state.HostState) -> None:
            state.set_must_follow_store(False)

        store, _, _ = self.run_store_follower(
            [CHANGE], 1, do_not_follow, limit_s=0.05
        )
        self.assertEqual([], store.calls)

    def test_a_storm_of_large_changes_is_caught_up_by_reads_of_all(
        self,
    ) -> None:
        """Pattern: a large configuration changes faster than it arrives."""
        value = bytes(store_follower.LARGE_BATCH_BYTES)

        def read(revision: int, *, is_full: bool = True) -> data.Batch:
            large = builders.item("a", revision, value)
            return builders.batch(large, as_of=revision, is_full=is_full)

        # A watch after the first would return all versions in between.
        answers: list[scripted_store.Answer] = [
            read(7, is_full=False),
            read(12),
            read(16),
            read(16),
        ]
        store, _, _ = self.run_store_follower(answers, 5)
        self.assertEqual(
            [STARTUP_REVISION, READ_ALL, READ_ALL, READ_ALL, 16], store.calls
        )


class RestoredStore(scripted_store.ScriptedStore):
    """A store that came back from a copy of revision 12 and is still there.

    Watches after later revisions get `GONE`, as the protocol has it.
    """

    AS_OF = 12

    async def read_all(
        self, scope: data.Scope, timeout_ms: int
    ) -> data.Batch | data.SourceFailure:
        self.calls.append(READ_ALL)
        await anyio.sleep(0)
        return builders.copy_batch(builders.item("a", 8), as_of=self.AS_OF)

    async def wait_for_changes(
        self,
        scope: data.Scope,
        after_revision: int,
        wait_ms: int,
        timeout_ms: int,
    ) -> data.Batch | data.SourceFailure:
        self.calls.append(after_revision)
        await anyio.sleep(0)
        if after_revision <= self.AS_OF:
            await anyio.sleep_forever()
        return GONE


class OlderCopyTest(StoreFollowerFixture):
    """Guards against a position that the restored store does not have.

    The store was at revision 20 and comes back from a copy of revision 12.
    """

    def create_store(
        self, answers: list[scripted_store.Answer]
    ) -> scripted_store.ScriptedStore:
        return RestoredStore(answers)

    def calls(
        self, prepare: Callable[[host_state.HostState], None]
    ) -> list[int | str]:
        """Returns the calls of a follower, six at most."""
        return self.run_store_follower([], 6, prepare, limit_s=1.0)[0].calls

    # Guards against changes at revisions given out again that are never read.
    def test_changes_are_requested_after_the_revision_of_the_copy(
        self,
    ) -> None:
        def apply_batch(state: host_state.HostState) -> None:
            state.as_of_by_scope[data.Scope.INTENT] = 20

        self.assertEqual([20, READ_ALL, 12], self.calls(apply_batch)[:3])

    def test_the_startup_revision_does_not_outlive_the_copy(self) -> None:
        def start(state: host_state.HostState) -> None:
            state.startup_revision = 20

        self.assertEqual([20, READ_ALL, 12], self.calls(start)[:3])

    # Guards against full reads until the revisions have caught up.
    def test_all_items_are_read_once(self) -> None:
        def apply_batch(state: host_state.HostState) -> None:
            state.as_of_by_scope[data.Scope.INTENT] = 20

        self.assertEqual(1, self.calls(apply_batch).count(READ_ALL))


class LargeCopyTest(StoreFollowerFixture):
    """Guards against watches that return many versions of a large item."""

    def test_large_changes_at_reused_revisions_are_noticed(self) -> None:
        value = bytes(store_follower.LARGE_BATCH_BYTES)
        before = builders.batch(
            builders.item("a", 16, value), as_of=16, is_full=True
        )
        after = builders.copy_batch(builders.item("a", 12, value), as_of=12)
        answers: list[scripted_store.Answer] = [
            GONE,
            before,
            before,
            GONE,
            after,
            after,
        ]
        store, _, _ = self.run_store_follower(answers, 7)
        reads = [READ_ALL, READ_ALL]
        self.assertEqual(
            [STARTUP_REVISION, *reads, 16, *reads, 12], store.calls
        )


class EraTest(StoreFollowerFixture):
    """Guards against answers that are not of the store as it is now."""

    def test_changes_after_a_revision_given_out_again_are_not_used(
        self,
    ) -> None:
        # The store has passed revision 5 again before the watch.
        changes = builders.copy_batch(
            builders.item("a", 7), as_of=7, is_full=False
        )
        copy = builders.copy_batch(builders.item("b", 4), as_of=7)
        store, state, sent = self.run_store_follower([changes, copy], 3)
        self.assertEqual([STARTUP_REVISION, READ_ALL, 7], store.calls)
        self.assertEqual([copy], sent)
        self.assertEqual(builders.COPY_ERA, state.eras.named)

    def test_a_late_answer_of_an_older_era_is_not_used(self) -> None:
        def restore(state: host_state.HostState) -> None:
            state.record_store_era(builders.COPY_ERA, 0)

        copy = builders.copy_batch(as_of=3)
        store, _, sent = self.run_store_follower([FULL, copy], 3, restore)
        self.assertEqual([READ_ALL, READ_ALL, 3], store.calls)
        self.assertEqual([copy], sent)

    def test_answers_of_an_older_era_are_not_asked_for_in_a_loop(self) -> None:
        def restore(state: host_state.HostState) -> None:
            state.record_store_era(builders.COPY_ERA, 0)

        answers: list[scripted_store.Answer] = [FULL] * 1_000
        store, _, _ = self.run_store_follower(
            answers, 1_000, restore, limit_s=1.0
        )
        self.assertLessEqual(len(store.calls), 10)
