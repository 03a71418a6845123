"""The task that owns this host's copy of the store."""

import logging

import anyio.streams.memory

from sapphire_core.replication import data
from sapphire_core.replication import replica
from sapphire_data import clock as clock_lib
from sapphire_data import failures
from sapphire_net import event_log
from sapphire_node.entry import host_state
from sapphire_node.entry import messages
from sapphire_node.entry import ports

_LOG = logging.getLogger(__name__)

# Entries that lapse this soon after a failed call may have lapsed because of
# the store; the platform calls it stable 4 s after a disruption.
UNSTABLE_MS = 5_000

BatchReceiver = anyio.streams.memory.MemoryObjectReceiveStream[
    messages.BatchReceived
]
ChangeSender = anyio.streams.memory.MemoryObjectSendStream[
    messages.ChangesLearned
]


class Knowledge:
    """Merges what sources tell, and passes on what is news.

    Args:
        items: Reads items.
        state: The state of the process.
        clock: The clock.
        batches: What sources tell.
        changes: Takes the news for the packet task.
    """

    def __init__(
        self,
        items: ports.ItemFormat,
        state: host_state.HostState,
        clock: clock_lib.Clock,
        batches: BatchReceiver,
        changes: ChangeSender,
    ) -> None:
        self._items = items
        self._state = state
        self._clock = clock
        self._batches = batches
        self._changes = changes
        self._replicas_by_scope = {
            scope: replica.Replica()
            for scope in (data.Scope.INTENT, data.Scope.REGISTRY)
        }

    async def run(self) -> None:
        """Merges batches until cancelled."""
        async for message in self._batches:
            await self._take(message)

    async def _take(self, message: messages.BatchReceived) -> None:
        """Merges one batch and passes on what is news."""
        now_ms = self._clock.now_ms()
        copy = self._replicas_by_scope[message.scope]
        was_complete = copy.is_complete
        news = copy.apply(message.batch, now_ms)
        copy.forget_old(now_ms)
        if not news and was_complete:
            return
        learned: list[messages.KnownChange] = []
        for item in news:
            change = self._items.read(item)
            if isinstance(change, failures.Failure):
                event_log.log_failure(
                    _LOG, "item_ignored", change, key=item.key
                )
                continue
            learned.append(messages.KnownChange(change, item.revision))
        failed_ms = self._state.last_store_failure_ms
        may_return = failed_ms is not None and now_ms - failed_ms < UNSTABLE_MS
        await self._changes.send(
            messages.ChangesLearned(
                message.scope, tuple(learned), may_return, message.source
            )
        )
