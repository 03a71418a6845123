"""Store calls of the configuration task: watch, reads, garbage collection."""

from collections.abc import Callable
import logging
import random

import anyio
from anyio.streams import memory

from sapphire_core.configuration import lease as leases
from sapphire_core.configuration import propagation_data
from sapphire_data import clock
from sapphire_net import event_log
from sapphire_net.store import data as store_data
from sapphire_net.store import environment as environments
from sapphire_net.store import garbage_collection
from sapphire_net.store import stored_configuration

_LOGGER = logging.getLogger(__name__)

MAX_QUEUED_WATCH_EVENTS = 16
MIN_GARBAGE_COLLECTION_INTERVAL_MS = 1_800_000
MAX_GARBAGE_COLLECTION_INTERVAL_MS = 3_600_000


class StoreAdapter:
    """Calls the store and turns its answers into events of the propagation.

    Attributes:
        is_reachable: Whether the last read of the configuration succeeded;
            None before the first. `ConfigurationSync` sets it too.
        environment: The store of the environment and the names of its keys.
    """

    def __init__(
        self,
        environment: environments.Environment,
        put_event: Callable[[propagation_data.Event], None],
        time: clock.Clock,
    ) -> None:
        """Creates the adapter.

        Args:
            environment: The store of the environment and the names of its keys.
            put_event: Called with each event.
            time: The clock that measures the lease for garbage collection.
        """
        self.is_reachable: bool | None = None
        self.environment = environment
        self._put_event = put_event
        self._time = time
        self._watch_scope: anyio.CancelScope | None = None
        self._is_reading = False

    async def read_head(self) -> None:
        """Reads the head, unless an earlier read is still in progress."""
        if self._is_reading:
            return
        self._is_reading = True
        try:
            stored = await stored_configuration.read_head(self.environment)
        finally:
            self._is_reading = False
        self.is_reachable = stored.is_ok()
        if stored.is_error():
            event_log.log_failure(_LOGGER, "store_read_failed", stored.error)
            self._put_event(propagation_data.StoreReadFailed())
            return
        if stored.ok.head is not None:
            self._put_event(
                propagation_data.StoreHeadReceived(stored.ok.head.version)
            )

    async def watch(self) -> None:
        """Watches the head until the watch ends or is stopped."""
        send, receive = anyio.create_memory_object_stream[
            store_data.WatchEvent
        ](MAX_QUEUED_WATCH_EVENTS)
        with anyio.CancelScope() as scope:
            self._watch_scope = scope
            async with anyio.create_task_group() as tasks, send, receive:
                tasks.start_soon(self._translate_watch_events, receive)
                ended = await self.environment.store.watch(
                    self.environment.head_key, 0, send
                )
                event_log.log_failure(_LOGGER, "watch_ended", ended)
                tasks.cancel_scope.cancel()
        if not scope.cancel_called:
            self._put_event(propagation_data.WatchEnded())

    def stop_watch(self) -> None:
        """Ends the watch, if there is one."""
        if self._watch_scope is not None:
            self._watch_scope.cancel()

    async def collect_garbage_periodically(
        self, is_store_follower: Callable[[], bool]
    ) -> None:
        """Deletes unused keys at random intervals, if this host is a follower.

        Args:
            is_store_follower: Whether this host follows the store now.
        """
        while True:
            wait_ms = random.randint(
                MIN_GARBAGE_COLLECTION_INTERVAL_MS,
                MAX_GARBAGE_COLLECTION_INTERVAL_MS,
            )
            await anyio.sleep(wait_ms / clock.MS_PER_SECOND)
            if is_store_follower():
                await self.collect_garbage()

    async def collect_garbage(self) -> None:
        """Deletes unused keys, unless another host holds the lease for it."""
        outcome = await garbage_collection.collect(self.environment, self._time)
        if outcome.is_ok():
            event_log.log(
                _LOGGER,
                logging.INFO,
                "unused_keys_deleted",
                deleted=outcome.ok.deleted,
                is_finished=outcome.ok.is_finished,
            )
            return
        if not isinstance(outcome.error, leases.LeaseNotHeld):
            event_log.log_failure(_LOGGER, "collection_failed", outcome.error)

    async def _translate_watch_events(
        self,
        receive: memory.MemoryObjectReceiveStream[store_data.WatchEvent],
    ) -> None:
        """Turns the events of a watch into events of the propagation."""
        async for event in receive:
            if isinstance(event, store_data.WatchStarted):
                self._put_event(propagation_data.WatchStarted())
                continue
            if event.is_deleted:
                continue
            item = event.item
            stored = stored_configuration.decode_head(
                item.key, item.value, item.mod_revision
            )
            if stored.is_error():
                event_log.log_failure(_LOGGER, "head_invalid", stored.error)
                continue
            if stored.ok.head is not None:
                self._put_event(
                    propagation_data.StoreHeadReceived(stored.ok.head.version)
                )
