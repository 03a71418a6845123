"""The task that follows one scope of the store.

To follow a scope is to read all its items and then to wait for their changes.
Only a few hosts follow the store permanently; the others pull changes from
peers.
"""

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

# A long poll without a response times out after the sum of both. The platform
# requires that a configuration is in force 3 s after it was accepted, and the
# next connection takes part of that time.
WATCH_WAIT_MS = 1_000
ANSWER_TIMEOUT_MS = 700
# The timeout doubles with each consecutive failure up to this bound, so that
# answers of a slow store, sixty to ninety times its usual 4 ms, still arrive.
MAX_ANSWER_TIMEOUT_MS = 2_800
BACKOFF_MIN_MS = 50
BACKOFF_MAX_MS = 800
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

BatchSender = anyio.streams.memory.MemoryObjectSendStream[
    messages.BatchReceived | messages.RemovedItemsReceived
]


class StoreFollower:
    """Reads a scope of the store and then follows its changes.

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
        self._consecutive_failures = 0
        self._must_read_all = True
        self._last_batch_as_of = 0

    async def run(self) -> None:
        """Follows the scope until cancelled.

        The first read always goes to the store, never to a peer. For the
        routing scopes it is linearizable, so a host that has just started acts
        on data at least as new as every answer that the store has given.
        """
        if self._scope not in host_state.ROUTING_SCOPES:
            await self._state.wait_for_startup()
        while True:
            if not self._must_read_all and not self._state.must_follow_store:
                self._state.followed_scopes.discard(self._scope)
                await self._state.wait_until_must_follow_store()
                continue
            await self._apply_settings()
            call_started_ms = self._clock.now_ms()
            batch = await self._next_batch()
            self._state.durations_ms_by_name[host_state.STORE_CALL].append(
                self._clock.now_ms() - call_started_ms
            )
            if isinstance(batch, data.SourceFailure):
                await self._handle_failure(batch)
                continue
            self._record_answer()
            self._must_read_all = False
            self._last_batch_as_of = batch.as_of
            await self._batches.send(
                messages.BatchReceived(self._scope, batch, "store")
            )
            if self._scope is not data.Scope.INTENT:
                await pauses.sleep_ms(_PAUSE_MS_BY_SCOPE[self._scope])

    async def _next_batch(self) -> data.Batch | data.SourceFailure:
        """Reads all items, or waits for the next changes."""
        timeout_ms = min(
            ANSWER_TIMEOUT_MS << min(self._consecutive_failures, 4),
            MAX_ANSWER_TIMEOUT_MS,
        )
        if self._scope is data.Scope.HOSTS:
            return await self._store.read_all_allow_stale(
                self._scope, timeout_ms
            )
        if self._must_read_all:
            return await self._store.read_all(self._scope, timeout_ms)
        # The replica may be ahead of this follower by batches of peers, or
        # behind it while the last batch of this follower is still queued.
        known = self._state.as_of_by_scope.get(self._scope, 0)
        after = max(known, self._last_batch_as_of)
        # After a failure, changes may be overdue: let the store answer at once.
        wait_ms = 1 if self._consecutive_failures else WATCH_WAIT_MS
        return await self._store.wait_for_changes(
            self._scope, after, wait_ms, timeout_ms
        )

    async def _handle_failure(self, failure: data.SourceFailure) -> None:
        """Records a failed call and backs off before the next one."""
        if isinstance(failure, data.HistoryGone):
            event_log.log_failure(
                _LOG, "history_gone", failure, scope=self._scope.name
            )
            self._must_read_all = True
            return
        self._state.followed_scopes.discard(self._scope)
        self._state.last_store_failure_ms = self._clock.now_ms()
        self._state.counts["store_failures"] += 1
        if self._consecutive_failures == 0:
            event_log.log_failure(
                _LOG, "store_lost", failure, scope=self._scope.name
            )
        backoff_ms = min(
            BACKOFF_MIN_MS << self._consecutive_failures, BACKOFF_MAX_MS
        )
        self._consecutive_failures = min(self._consecutive_failures + 1, 8)
        await pauses.sleep_ms(backoff_ms)

    def _record_answer(self) -> None:
        """Records that the store has answered."""
        self._state.counts["store_answers"] += 1
        self._state.store_answer_ms_by_scope[self._scope] = self._clock.now_ms()
        self._state.followed_scopes.add(self._scope)
        if self._consecutive_failures == 0:
            return
        event_log.log(
            _LOG,
            logging.INFO,
            "store_regained",
            scope=self._scope.name,
            failures=self._consecutive_failures,
        )
        self._consecutive_failures = 0

    async def _apply_settings(self) -> None:
        """Creates a new client if the settings have changed."""
        if self._state.settings is self._settings:
            return
        self._settings = self._state.settings
        await self._store.close()
        self._store = self._platform.create_store_client(self._settings)
