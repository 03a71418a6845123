"""The task that owns this host's copy of the store."""

import logging

import anyio
import anyio.abc
import anyio.streams.memory

from sapphire_core.peers import data as peer_data
from sapphire_core.replication import data
from sapphire_core.replication import replica
from sapphire_core.tagged_flows import data as flow_data
from sapphire_data import clock as clock_lib
from sapphire_data import failures
from sapphire_net import event_log
from sapphire_net import http1
from sapphire_node.entry import host_state
from sapphire_node.entry import messages
from sapphire_node.entry import peer_task
from sapphire_node.entry import platform_interface
from sapphire_wire import peer_messages

_LOG = logging.getLogger(__name__)

# Entries that lapse this soon after a failed call may have lapsed because of
# the store; the platform calls it stable 4 s after a disruption.
UNSTABLE_MS = 5_000

BatchReceiver = anyio.streams.memory.MemoryObjectReceiveStream[
    messages.BatchReceived | messages.RemovedItemsReceived
]
ChangeSender = anyio.streams.memory.MemoryObjectSendStream[
    messages.NewChanges | messages.PeerReports
]
PeerSender = anyio.streams.memory.MemoryObjectSendStream[
    messages.HostListChanged
    | messages.ScopeUpdated
    | messages.LocalUpstreamReports
]


class ReplicaTask:
    """Merges what sources tell, and passes on what is news.

    Args:
        items: Reads items.
        state: The state of the process.
        clock: The clock.
        batches: What sources tell.
        changes: Takes the news for the packet task.
        peers: Takes the news for the peer task.
    """

    def __init__(
        self,
        items: platform_interface.ItemDecoder,
        *,
        state: host_state.HostState,
        clock: clock_lib.Clock,
        batches: BatchReceiver,
        changes: ChangeSender,
        peers: PeerSender,
    ) -> None:
        self._items = items
        self._state = state
        self._clock = clock
        self._batches = batches
        self._changes = changes
        self._peers = peers
        self._replicas_by_scope = {
            scope: replica.Replica() for scope in data.Scope
        }

    async def run(self) -> None:
        """Merges batches, and answers peers, until cancelled."""
        address = self._state.settings.peer_address
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(http1.serve_at, address, self._answer)
            async for message in self._batches:
                if isinstance(message, messages.RemovedItemsReceived):
                    await self._take_removed(message)
                    continue
                await self._take(message)

    async def _take(self, message: messages.BatchReceived) -> None:
        """Merges one batch and passes on what is news."""
        now_ms = self._clock.now_ms()
        scope = message.scope
        copy = self._replicas_by_scope[scope]
        was_complete = copy.is_complete
        news = copy.apply(message.batch, now_ms)
        copy.evict_expired(now_ms)
        self._state.as_of_by_scope[scope] = copy.as_of
        if not news and was_complete:
            return
        self._state.change_revision_by_scope[scope] = copy.newest_revision
        if scope is data.Scope.HOSTS:
            await self._peers.send(messages.HostListChanged(self._contacts()))
            return
        await self._changes.send(
            messages.NewChanges(
                scope,
                tuple(self._read(news)),
                self._removal_cause(now_ms),
                message.source,
            )
        )
        await self._peers.send(messages.ScopeUpdated(scope))

    async def _take_removed(
        self, message: messages.RemovedItemsReceived
    ) -> None:
        """Passes on what left a scope before this host started.

        Flows to upstreams among it may be open.
        """
        copy = self._replicas_by_scope[message.scope]
        changes: list[messages.ChangeAtRevision] = []
        unknown = [
            item
            for item in message.batch.items
            if copy.get(item.key) is None and item.revision <= copy.as_of
        ]
        for known in self._read(unknown):
            if not isinstance(known.change, flow_data.UpstreamChange):
                continue
            former = flow_data.FormerUpstream(known.change.upstream)
            changes.append(messages.ChangeAtRevision(former, known.revision))
        if not copy.is_complete or not changes:
            return
        await self._changes.send(
            messages.NewChanges(
                message.scope,
                tuple(changes),
                flow_data.RemovalCause.UNKNOWN,
                message.source,
            )
        )

    def _read(self, news: list[data.Item]) -> list[messages.ChangeAtRevision]:
        """Returns what items mean; those that cannot be read are left out."""
        learned: list[messages.ChangeAtRevision] = []
        for item in news:
            change = self._items.decode(item)
            if isinstance(change, failures.Failure):
                self._state.counts["items_ignored"] += 1
                event_log.log_failure(
                    _LOG, "item_ignored", change, key=item.key
                )
                continue
            learned.append(messages.ChangeAtRevision(change, item.revision))
        return learned

    def _removal_cause(self, now_ms: int) -> flow_data.RemovalCause:
        """Returns why entries that are missing now were removed."""
        failed_ms = self._state.last_store_failure_ms
        if failed_ms is not None and now_ms - failed_ms < UNSTABLE_MS:
            return flow_data.RemovalCause.REGISTRY_UNAVAILABLE
        return flow_data.RemovalCause.UPSTREAM_STOPPED

    def _contacts(self) -> tuple[peer_data.Contact, ...]:
        """Returns the hosts that the store lists."""
        contacts: list[peer_data.Contact] = []
        for item in self._replicas_by_scope[data.Scope.HOSTS].items():
            contact = peer_messages.decode_contact(item.value or b"")
            if isinstance(contact, failures.Failure):
                event_log.log_failure(
                    _LOG, "item_ignored", contact, key=item.key
                )
                continue
            contacts.append(contact)
        return tuple(contacts)

    async def _answer(self, method: str, path: str) -> http1.Response:
        """Answers a peer that lacks something."""
        asked = peer_task.question_of(path)
        if method != "GET" or asked is None:
            return http1.Response(http1.NOT_FOUND, b"")
        copy = self._replicas_by_scope[asked.scope]
        if not copy.is_complete:
            return http1.Response(http1.NOT_FOUND, b"")
        if asked.after is None:
            batch = copy.removed_items()
        else:
            batch = copy.changes_after(asked.after)
        return http1.Response(http1.OK, peer_messages.encode_batch(batch))
