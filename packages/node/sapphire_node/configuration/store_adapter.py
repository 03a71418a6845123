"""What the configuration task does with the store: watch, read, collect."""

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

WATCH_EVENTS = 16
COLLECT_MIN_MS = 1_800_000
COLLECT_MAX_MS = 3_600_000


class StoreAdapter:
    """Turns answers of the store into events of the state machine.

    Attributes:
        is_reachable: Whether the last call succeeded; None before the first.
    """

    def __init__(
        self,
        environment: environments.Environment,
        put: Callable[[propagation_data.Event], None],
        time: clock.Clock,
    ) -> None:
        """Creates the link.

        Args:
            environment: The environment.
            put: Takes the events.
            time: The clock.
        """
        self.is_reachable: bool | None = None
        self.environment = environment
        self._put = put
        self._time = time
        self._watch_scope: anyio.CancelScope | None = None
        self._is_reading = False

    async def read_head(self) -> None:
        """Reads the head, unless a read is still waiting."""
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
            self._put(propagation_data.StoreReadFailed())
            return
        if stored.ok.head is not None:
            self._put(
                propagation_data.StoreHeadReceived(stored.ok.head.version)
            )

    async def watch(self) -> None:
        """Watches the head until the watch ends or is stopped."""
        send, receive = anyio.create_memory_object_stream[
            store_data.WatchEvent
        ](WATCH_EVENTS)
        with anyio.CancelScope() as scope:
            self._watch_scope = scope
            async with anyio.create_task_group() as tasks, send, receive:
                tasks.start_soon(self._relay, receive)
                ended = await self.environment.store.watch(
                    self.environment.head_key, 0, send
                )
                event_log.log_failure(_LOGGER, "watch_ended", ended)
                tasks.cancel_scope.cancel()
        if not scope.cancel_called:
            self._put(propagation_data.WatchEnded())

    def stop_watch(self) -> None:
        """Ends the watch, if there is one."""
        if self._watch_scope is not None:
            self._watch_scope.cancel()

    async def collect_garbage_periodically(
        self, is_store_follower: Callable[[], bool]
    ) -> None:
        """Deletes unused keys at long intervals, if this host watches.

        Args:
            is_store_follower: Whether this host follows the store now.
        """
        while True:
            wait_ms = random.randint(COLLECT_MIN_MS, COLLECT_MAX_MS)
            await anyio.sleep(wait_ms / clock.MS_PER_SECOND)
            if is_store_follower():
                await self.collect_garbage()

    async def collect_garbage(self) -> None:
        """Deletes unused keys, unless another host does."""
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

    async def _relay(
        self,
        receive: memory.MemoryObjectReceiveStream[store_data.WatchEvent],
    ) -> None:
        """Turns the events of a watch into those of the state machine."""
        async for event in receive:
            if isinstance(event, store_data.WatchStarted):
                self._put(propagation_data.WatchStarted())
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
                self._put(
                    propagation_data.StoreHeadReceived(stored.ok.head.version)
                )
