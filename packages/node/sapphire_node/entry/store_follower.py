"""The task that follows one scope of the store."""

import logging

import anyio
import anyio.abc
import anyio.streams.memory

from sapphire_core.replication import data
from sapphire_data import clock as clock_lib
from sapphire_net import event_log
from sapphire_net import pauses
from sapphire_node.entry import host_state
from sapphire_node.entry import messages
from sapphire_node.entry import platform_interface

_LOG = logging.getLogger(__name__)

# A watch whose connection went silent is found after both; a configuration
# has to be in force 3 s after it was accepted (the platform's bound), and the
# second connection needs part of that.
WATCH_WAIT_MS = 1_000
ANSWER_TIMEOUT_MS = 700
# Answers of a slow store, sixty to ninety times its 4 ms, are waited for.
MAX_ANSWER_TIMEOUT_MS = 2_800
RETRY_MIN_MS = 50
RETRY_MAX_MS = 800
# Changes of upstreams come in swarms; a pause reads several with one call.
REGISTRY_PAUSE_MS = 500
# The list of hosts is read cheaply; peers hear of a new host from itself.
HOSTS_PAUSE_MS = 5_000
_PAUSE_MS_BY_SCOPE = {
    data.Scope.REGISTRY: REGISTRY_PAUSE_MS,
    data.Scope.HOSTS: HOSTS_PAUSE_MS,
}

BatchSender = anyio.streams.memory.MemoryObjectSendStream[
    messages.BatchReceived | messages.RemovedItemsReceived
]


class StoreFollower:
    """Reads a scope of the store and then follows its changes.

    Args:
        scope: The scope.
        platform: Gives connections to the store.
        state: The state of the process.
        clock: The clock.
        batches: Takes what the store tells.
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
        self._source = platform.create_store_client(state.settings)
        self._failures_in_row = 0
        self._must_read_all = True
        self._told_as_of = 0

    async def run(self) -> None:
        """Follows the scope until cancelled.

        The first read is this host's own, so that what it acts on after its
        start is as new as any answer that the store ever gave.
        """
        if self._scope not in host_state.ROUTING_SCOPES:
            await self._state.wait_for_startup()
        while True:
            if not self._must_read_all and not self._state.must_follow_store:
                self._state.followed_scopes.discard(self._scope)
                await self._state.wait_until_must_follow_store()
                continue
            await self._renew_source()
            began_ms = self._clock.now_ms()
            batch = await self._next_batch()
            self._state.durations_ms_by_name[host_state.STORE_CALL].append(
                self._clock.now_ms() - began_ms
            )
            if isinstance(batch, data.SourceFailure):
                await self._handle_failure(batch)
                continue
            self._note_contact()
            self._must_read_all = False
            self._told_as_of = batch.as_of
            await self._batches.send(
                messages.BatchReceived(self._scope, batch, "store")
            )
            if self._scope is not data.Scope.INTENT:
                await pauses.sleep_ms(_PAUSE_MS_BY_SCOPE[self._scope])

    async def _next_batch(self) -> data.Batch | data.SourceFailure:
        """Reads everything, or waits for the next change."""
        timeout_ms = min(
            ANSWER_TIMEOUT_MS << min(self._failures_in_row, 4),
            MAX_ANSWER_TIMEOUT_MS,
        )
        if self._scope is data.Scope.HOSTS:
            return await self._source.read_all_allow_stale(
                self._scope, timeout_ms
            )
        if self._must_read_all:
            return await self._source.read_all(self._scope, timeout_ms)
        # Peers may have told more meanwhile; what this follower was told itself
        # may still be on its way to the copy.
        known = self._state.as_of_by_scope.get(self._scope, 0)
        after = max(known, self._told_as_of)
        # After a failure the answer may be late already: do not wait.
        wait_ms = 1 if self._failures_in_row else WATCH_WAIT_MS
        return await self._source.wait_for_changes(
            self._scope, after, wait_ms, timeout_ms
        )

    async def _handle_failure(self, failure: data.SourceFailure) -> None:
        """Notes a failure and waits before the next call."""
        if isinstance(failure, data.HistoryGone):
            event_log.log_failure(
                _LOG, "history_gone", failure, scope=self._scope.name
            )
            self._must_read_all = True
            return
        self._state.followed_scopes.discard(self._scope)
        self._state.last_store_failure_ms = self._clock.now_ms()
        self._state.counts["store_failures"] += 1
        if self._failures_in_row == 0:
            event_log.log_failure(
                _LOG, "store_lost", failure, scope=self._scope.name
            )
        pause_ms = min(RETRY_MIN_MS << self._failures_in_row, RETRY_MAX_MS)
        self._failures_in_row = min(self._failures_in_row + 1, 8)
        await pauses.sleep_ms(pause_ms)

    def _note_contact(self) -> None:
        """Notes that the store has answered."""
        self._state.counts["store_answers"] += 1
        self._state.store_answer_ms_by_scope[self._scope] = self._clock.now_ms()
        self._state.followed_scopes.add(self._scope)
        if self._failures_in_row == 0:
            return
        event_log.log(
            _LOG,
            logging.INFO,
            "store_regained",
            scope=self._scope.name,
            failures=self._failures_in_row,
        )
        self._failures_in_row = 0

    async def _renew_source(self) -> None:
        """Opens another connection after the settings have changed."""
        if self._state.settings is self._settings:
            return
        self._settings = self._state.settings
        await self._source.close()
        self._source = self._platform.create_store_client(self._settings)
