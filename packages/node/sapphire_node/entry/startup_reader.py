"""The task that reads the store once when the host starts.

One call reads all scopes, so that a fleet whose hosts all start at once costs
the store one call for each host.
"""

import logging

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

BatchSender = anyio.streams.memory.MemoryObjectSendStream[
    messages.ReplicaMessage
]


class StartupReader:
    """Reads all scopes of the store until that has succeeded once.

    The read goes to the store, never to a peer, and is linearizable: a host
    that has just started acts on data at least as new as every answer that the
    store has given. A peer's batches may make the host ready before.

    Args:
        platform: Creates a client of the store.
        state: The state of the process.
        clock: The clock.
        batches: The stream to which the batches are sent.
    """

    def __init__(
        self,
        platform: platform_interface.Platform,
        state: host_state.HostState,
        clock: clock_lib.Clock,
        batches: BatchSender,
    ) -> None:
        self._platform = platform
        self._state = state
        self._clock = clock
        self._batches = batches
        self._backoff = call_backoff.CallBackoff("ALL", state, clock)

    async def run(self) -> None:
        """Reads the store and sends a batch of each scope."""
        started_ms = self._clock.now_ms()
        snapshot = await self._read()
        state = self._state
        for scope, batch in snapshot.batches_by_scope.items():
            state.record_store_era(batch.era, self._clock.now_ms())
            state.startup_era = batch.era
            state.store_answer_ms_by_scope[scope] = self._clock.now_ms()
            state.startup_revision = max(state.startup_revision, batch.as_of)
            await self._batches.send(
                messages.BatchReceived(scope, batch, messages.STORE)
            )
        state.eras.from_peers = 0
        state.startup_listing = snapshot.listings_by_host.get(
            state.settings.host_name
        )
        event_log.log(
            _LOG,
            logging.INFO,
            "startup_read",
            era=state.startup_era,
            revision=state.startup_revision,
            hosts=len(snapshot.listings_by_host),
            took_ms=self._clock.now_ms() - started_ms,
        )
        state.startup_read.set()

    async def _read(self) -> data.Snapshot:
        """Calls the store until it answers."""
        while True:
            store = self._platform.create_store_client(self._state.settings)
            started_ms = self._clock.now_ms()
            snapshot = await store.read_snapshot(self._backoff.timeout_ms)
            await store.close()
            self._state.durations_ms_by_name[host_state.STORE_CALL].append(
                self._clock.now_ms() - started_ms
            )
            if isinstance(snapshot, data.Snapshot):
                self._backoff.record_answer()
                return snapshot
            max_ms = call_backoff.BACKOFF_MAX_MS
            if self._state.is_ready:
                max_ms = call_backoff.READY_BACKOFF_MAX_MS
            await pauses.sleep_ms(
                self._backoff.record_failure(snapshot, max_ms)
            )
