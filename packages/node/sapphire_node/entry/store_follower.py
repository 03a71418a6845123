"""The task that follows one scope of the store.

To follow a scope is to wait for its changes after the last read. Only a few
hosts follow the store; the others pull changes from peers.
"""

import logging

import anyio
import anyio.abc
import anyio.streams.memory

from sapphire_core.replication import data
from sapphire_data import clock as clock_lib
from sapphire_net import event_log
from sapphire_net import pauses
from sapphire_node.entry import call_backoff
from sapphire_node.entry import host_state
from sapphire_node.entry import messages
from sapphire_node.entry import platform_interface

_LOG = logging.getLogger(__name__)

# While nothing changes, the store answers for each scope at this interval. The
# age of the last answer tells peers whether this host is cut off from it.
ANSWER_INTERVAL_MS = 1_000
# Changes of upstreams come in bursts; with a pause between calls, one call
# returns several of them.
REGISTRY_PAUSE_MS = 500
# The host list is polled with cheap stale reads: a new host makes itself known
# to its peers by heartbeats.
HOST_LIST_POLL_MS = 5_000
_PAUSE_MS_BY_SCOPE = {
    data.Scope.REGISTRY: REGISTRY_PAUSE_MS,
    data.Scope.HOSTS: HOST_LIST_POLL_MS,
}
# While a batch of this size arrives over a narrow link, further versions of the
# same items may be written. A watch returns each of them in full, a read of all
# items only the newest.
LARGE_BATCH_BYTES = 65_536

BatchSender = anyio.streams.memory.MemoryObjectSendStream[
    messages.ReplicaMessage
]


def pause_ms(scope: data.Scope) -> int:
    """Returns the pause between an answer for a scope and the next call.

    Args:
        scope: The scope.
    """
    return _PAUSE_MS_BY_SCOPE.get(scope, 0)


def watch_wait_ms(scope: data.Scope, *, is_confirmed: bool) -> int:
    """Returns how long the store may wait for changes before it answers.

    Args:
        scope: The scope.
        is_confirmed: Whether it has answered the last call for the scope. If
            not, changes may be overdue, and the claim to follow the store
            needs an answer: it must not wait.
    """
    if not is_confirmed:
        return 1
    return ANSWER_INTERVAL_MS - pause_ms(scope)


class StoreFollower:
    """Follows the changes of a scope of the store after the startup read.

    Args:
        scope: The scope.
        platform: Creates clients of the store.
        state: The state of the process.
        clock: The clock.
        batches: The stream to which the batches of the store are sent.
    """

    def __init__(
        self,
        scope: data.Scope,
        platform: platform_interface.Platform,
        state: host_state.HostState,
        clock: clock_lib.Clock,
        batches: BatchSender,
    ) -> None:
        self._scope = scope
        self._platform = platform
        self._state = state
        self._clock = clock
        self._batches = batches
        self._settings = state.settings
        self._store = platform.create_store_client(state.settings)
        self._backoff = call_backoff.CallBackoff(scope.name, state, clock)
        # How often in a row the store no longer had the changes.
        self._consecutive_history_losses = 0
        self._must_read_all = False
        self._last_batch_position = data.Position(0, 0)
        self._newest_position = data.Position(0, 0)

    async def run(self) -> None:
        """Follows the scope until cancelled, whenever this host has to."""
        await self._state.startup_read.wait()
        while True:
            if not self._state.must_follow_store:
                self._state.followed_scopes.discard(self._scope)
                await self._state.wait_until_must_follow_store()
                continue
            await self._apply_settings()
            call_started_ms = self._clock.now_ms()
            position = self._position()
            batch = await self._next_batch(position)
            self._state.durations_ms_by_name[host_state.STORE_CALL].append(
                self._clock.now_ms() - call_started_ms
            )
            self._record_era(batch)
            if isinstance(batch, data.SourceFailure):
                await self._handle_failure(batch)
                continue
            if self._is_of_other_era(batch, position):
                restored = data.HistoryGone("the answer is of another era")
                await self._handle_failure(restored)
                continue
            self._record_answer(batch)
            await self._batches.send(
                messages.BatchReceived(self._scope, batch, messages.STORE)
            )
            if pause_ms(self._scope) > 0:
                await self._state.eras.wait_for_restore(pause_ms(self._scope))

    def _position(self) -> data.Position:
        """Returns the position after which changes are missing.

        The replica may be ahead of this follower by batches of peers, or
        behind it while the last batch of this follower is still queued.
        """
        return max(
            self._state.position(self._scope),
            data.Position(
                self._state.startup_era, self._state.startup_revision
            ),
            self._last_batch_position,
        )

    async def _next_batch(
        self, position: data.Position
    ) -> data.Batch | data.SourceFailure:
        """Reads all items, or waits for the next changes."""
        timeout_ms = self._backoff.timeout_ms
        if self._must_read_all or position.era != self._state.eras.named:
            return await self._store.read_all(self._scope, timeout_ms)
        if self._scope is data.Scope.HOSTS:
            return await self._store.read_all_allow_stale(
                self._scope, timeout_ms
            )
        wait_ms = watch_wait_ms(
            self._scope,
            is_confirmed=self._scope in self._state.followed_scopes,
        )
        return await self._store.wait_for_changes(
            self._scope, position.revision, wait_ms, timeout_ms
        )

    def _record_era(self, answer: data.Batch | data.SourceFailure) -> None:
        """Records the era that an answer, or another one before, names."""
        era = self._store.era
        if isinstance(answer, data.Batch):
            era = max(era, answer.era)
        self._state.record_store_era(era, self._clock.now_ms())

    def _is_of_other_era(
        self, batch: data.Batch, position: data.Position
    ) -> bool:
        """Whether a batch says nothing about the store as it is now.

        It may be a late answer of before a restore; or changes after a
        revision that was given out again.
        """
        if batch.era != self._state.eras.named:
            return True
        return not batch.is_full and batch.era != position.era

    async def _handle_failure(self, failure: data.SourceFailure) -> None:
        """Records a failed call and backs off before the next one.

        When the store has dropped the changes, all items are read at once. If
        it drops them again before the next watch succeeds, there is a pause.
        """
        if isinstance(failure, data.HistoryGone):
            self._must_read_all = True
            repetitions = self._consecutive_history_losses
            self._consecutive_history_losses += 1
            if repetitions == 0:
                event_log.log_failure(
                    _LOG, "history_gone", failure, scope=self._scope.name
                )
                return
            await pauses.sleep_ms(self._backoff.backoff_ms(repetitions - 1))
            return
        self._state.followed_scopes.discard(self._scope)
        await pauses.sleep_ms(self._backoff.record_failure(failure))

    def _record_answer(self, batch: data.Batch) -> None:
        """Records an answer of the store and how to get the next changes."""
        self._backoff.record_answer()
        self._state.store_answer_ms_by_scope[self._scope] = self._clock.now_ms()
        self._state.followed_scopes.add(self._scope)
        if not batch.is_full and self._consecutive_history_losses > 0:
            event_log.log(
                _LOG,
                logging.INFO,
                "history_regained",
                scope=self._scope.name,
                repeats=self._consecutive_history_losses,
            )
            self._consecutive_history_losses = 0
        self._last_batch_position = batch.position
        self._must_read_all = self._has_large_changes(batch)

    def _has_large_changes(self, batch: data.Batch) -> bool:
        """Whether a batch has new values that took long to arrive."""
        newest_position = data.Position(
            batch.era, max((item.revision for item in batch.items), default=0)
        )
        has_changes = newest_position > self._newest_position
        self._newest_position = max(self._newest_position, newest_position)
        size = sum(len(item.value or b"") for item in batch.items)
        return has_changes and size >= LARGE_BATCH_BYTES

    async def _apply_settings(self) -> None:
        """Creates a new client if the settings have changed."""
        if self._state.settings is self._settings:
            return
        self._settings = self._state.settings
        await self._store.close()
        self._store = self._platform.create_store_client(self._settings)
