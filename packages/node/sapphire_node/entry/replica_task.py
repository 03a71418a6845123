"""The task that owns the replicas of the scopes of the store.

It merges batches of the store and of peers into the replicas, sends new changes
to the other tasks, and serves the replicas to peers over HTTP.
"""

import dataclasses
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
from sapphire_net import pauses
from sapphire_net import transfers
from sapphire_node.entry import host_state
from sapphire_node.entry import messages
from sapphire_node.entry import peer_requests
from sapphire_node.entry import platform_interface
from sapphire_node.entry import restore_report
from sapphire_wire import flow_pin_list
from sapphire_wire import peer_messages

_LOG = logging.getLogger(__name__)

# A registry entry that disappears this soon after a failed call to the store
# may have lapsed because the store was unavailable, not because its upstream
# stopped. The platform considers the store stable 4 s after a disruption.
STORE_UNSTABLE_MS = 5_000
# Without batches, what is carried of a former era ends this late at most.
EVICT_INTERVAL_MS = 1_000
# How many peers may pull a large body from this host at a time.
MAX_LARGE_TRANSFERS = 3
# Encoded bodies that are kept; peers that are behind ask for the same ones.
MAX_CACHED_BODIES = 8

BatchReceiver = anyio.streams.memory.MemoryObjectReceiveStream[
    messages.ReplicaMessage
]
ChangeSender = anyio.streams.memory.MemoryObjectSendStream[
    messages.PacketTaskMessage
]
PeerSender = anyio.streams.memory.MemoryObjectSendStream[
    messages.HostListChanged
    | messages.ScopeUpdated
    | messages.OwnUpstreamReports
]


class ReplicaTask:
    """Merges batches into the replicas and distributes the new changes.

    Args:
        items: Decodes items.
        state: The state of the process.
        clock: The clock.
        batches: The stream of batches from the store and from peers.
        changes: The stream of new changes to the packet task.
        peers: The stream of messages to the peer task.
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
        # Upstreams that a restored store lacks get new flows for as long as
        # after an outage; hosts are known from their heartbeats.
        self._replicas_by_scope = {
            scope: replica.Replica(
                keeps_missing=scope is data.Scope.INTENT,
                is_polled=scope is data.Scope.HOSTS,
            )
            for scope in data.Scope
        }
        # What the last restore of the store lost, until it is logged.
        self._report: restore_report.RestoreReport | None = None
        # Encoded bodies by request, dropped when the scope changes.
        self._bodies_by_request: dict[peer_requests.PeerRequest, bytes] = {}

    async def run(self) -> None:
        """Merges batches and serves peers until cancelled."""
        address = self._state.settings.peer_address
        transfer_slots = transfers.TransferSlots(MAX_LARGE_TRANSFERS)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                http1.listen_and_serve,
                address,
                self._serve_peer,
                transfer_slots,
            )
            tasks.start_soon(self._evict_expired)
            async for message in self._batches:
                await self._handle_message(message)

    async def _handle_message(self, message: messages.ReplicaMessage) -> None:
        """Handles one message of the store's readers or of the peer task."""
        if isinstance(message, messages.BatchReceived):
            await self._apply_batch(message)
        elif isinstance(message, messages.RemovedItemsReceived):
            await self._send_former_upstreams(message)
        elif isinstance(message, messages.CarriedItemsReceived):
            await self._carry(message)
        else:
            # It follows what the peers have sent.
            await self._changes.send(message)

    async def _apply_batch(self, message: messages.BatchReceived) -> None:
        """Merges one batch and sends the new changes to the other tasks."""
        now_ms = self._clock.now_ms()
        scope = message.scope
        scope_replica = self._replicas_by_scope[scope]
        was_complete = scope_replica.is_complete
        former_era = scope_replica.era
        is_final = (
            message.source == messages.STORE
            and message.batch.era == self._state.eras.named
        )
        changed_items = scope_replica.apply(
            message.batch, now_ms, is_final=is_final
        )
        if scope_replica.era < former_era:
            # What a peer passed on was wrong: the store is asked next time.
            self._state.eras.from_peers = 0
        if scope_replica.era != message.batch.era:
            self._state.counts["batches_of_other_eras"] += 1
            return
        changed_items.extend(scope_replica.evict_expired(now_ms))
        self._state.as_of_by_scope[scope] = scope_replica.as_of
        self._state.era_by_scope[scope] = scope_replica.era
        if scope is data.Scope.HOSTS:
            self._update_unlisted()
        if scope_replica.era == former_era:
            if not changed_items and was_complete:
                return
        elif was_complete:
            # Upstreams may be missing because the copy lacks them.
            self._state.last_store_failure_ms = now_ms
            self._report_restore(scope, former_era, now_ms)
        await self._send_changes(scope, changed_items, message.source)

    async def _evict_expired(self) -> None:
        """Ends what is known of a former era in time, until cancelled."""
        while True:
            await pauses.sleep_ms(EVICT_INTERVAL_MS)
            now_ms = self._clock.now_ms()
            if self._report is not None and self._report.is_due(now_ms):
                self._report.log()
                self._report = None
            for scope, scope_replica in self._replicas_by_scope.items():
                changed_items = scope_replica.evict_expired(now_ms)
                if changed_items:
                    await self._send_changes(scope, changed_items, "carried")

    async def _send_changes(
        self, scope: data.Scope, changed_items: list[data.Item], source: str
    ) -> None:
        """Sends the changes of a scope to the other tasks."""
        if self._report is not None:
            self._report.record_changes(
                scope, changed_items, self._clock.now_ms()
            )
        self._drop_cached_bodies(scope)
        self._state.change_revision_by_scope[scope] = self._replicas_by_scope[
            scope
        ].newest_revision
        if scope is data.Scope.HOSTS:
            await self._peers.send(
                messages.HostListChanged(self._listed_contacts())
            )
            return
        await self._changes.send(
            messages.NewChanges(
                scope,
                tuple(
                    self._decode(
                        changed_items, self._replicas_by_scope[scope].era
                    )
                ),
                self._removal_cause(self._clock.now_ms()),
                source,
            )
        )
        await self._peers.send(
            messages.ScopeUpdated(scope, is_from_store=source == messages.STORE)
        )

    def _report_restore(
        self, scope: data.Scope, former_era: int, now_ms: int
    ) -> None:
        """Records that a scope was read from a restored store."""
        scope_replica = self._replicas_by_scope[scope]
        if self._report is not None and self._report.era != scope_replica.era:
            self._report.log()
            self._report = None
        if self._report is None:
            self._report = restore_report.RestoreReport(
                former_era, scope_replica.era, now_ms
            )
        self._report.record_scope(scope, scope_replica, now_ms)

    async def _send_former_upstreams(
        self, message: messages.RemovedItemsReceived
    ) -> None:
        """Sends the upstreams that left a scope before this host started.

        Flows to them may still be open. Items that this host knows, or that
        are newer than its replica, are left out. One that a restored store has
        though it left before counts as removed.
        """
        scope_replica = self._replicas_by_scope[message.scope]
        is_other_era = message.batch.era != scope_replica.era
        changes: list[messages.ChangeAtRevision] = []
        unknown = [
            item
            for item in message.batch.items
            if scope_replica.get(item.key) is None
            and (is_other_era or item.revision <= scope_replica.as_of)
        ]
        for versioned_change in self._decode(unknown, message.batch.era):
            if not isinstance(
                versioned_change.change, flow_data.UpstreamChange
            ):
                continue
            former = flow_data.FormerUpstream(versioned_change.change.upstream)
            changes.append(dataclasses.replace(versioned_change, change=former))
        if not scope_replica.is_complete:
            return
        masked = scope_replica.mask_removed(message.batch, self._clock.now_ms())
        changes.extend(self._decode(masked, scope_replica.era))
        if not changes:
            return
        await self._changes.send(
            messages.NewChanges(
                message.scope,
                tuple(changes),
                flow_data.RemovalCause.UNKNOWN,
                message.source,
            )
        )

    async def _carry(self, message: messages.CarriedItemsReceived) -> None:
        """Takes over what a peer carries from before a restore of the store."""
        scope_replica = self._replicas_by_scope[message.scope]
        if not scope_replica.is_complete:
            return
        changed = scope_replica.carry(message.batch, self._clock.now_ms())
        if not changed:
            return
        era = scope_replica.era
        event_log.log(
            _LOG,
            logging.INFO,
            "carried_items_known",
            scope=message.scope.name,
            source=message.source,
            items=len(changed),
            era=era,
            left_ms=message.batch.left_ms,
        )
        self._drop_cached_bodies(message.scope)
        # Values of the former era are older than any of this one.
        former = [item for item in changed if item.value is not None]
        removed = [item for item in changed if item.value is None]
        await self._changes.send(
            messages.NewChanges(
                message.scope,
                tuple(
                    self._decode(former, era - 1) + self._decode(removed, era)
                ),
                flow_data.RemovalCause.UNKNOWN,
                message.source,
            )
        )

    def _decode(
        self, items: list[data.Item], era: int
    ) -> list[messages.ChangeAtRevision]:
        """Decodes items; those that are invalid are logged and left out.

        All hosts get the same items, so that an error that one of them raised
        would end every process, and each new one again.
        """
        decoded: list[messages.ChangeAtRevision] = []
        for item in items:
            try:
                change = self._items.decode(item)
            except Exception as error:
                self._state.counts["items_ignored"] += 1
                event_log.log_unexpected(
                    _LOG, "item_failed", error, key=item.key
                )
                continue
            if isinstance(change, failures.Failure):
                self._state.counts["items_ignored"] += 1
                event_log.log_failure(
                    _LOG, "item_ignored", change, key=item.key
                )
                continue
            decoded.append(
                messages.ChangeAtRevision(change, item.revision, era)
            )
        return decoded

    def _removal_cause(self, now_ms: int) -> flow_data.RemovalCause:
        """Returns why entries that are missing now were probably removed."""
        failure_ms = self._state.last_store_failure_ms
        if failure_ms is not None and now_ms - failure_ms < STORE_UNSTABLE_MS:
            return flow_data.RemovalCause.REGISTRY_UNAVAILABLE
        return flow_data.RemovalCause.UPSTREAM_STOPPED

    def _update_unlisted(self) -> None:
        """Updates whether the host list lacks this host."""
        hosts = self._replicas_by_scope[data.Scope.HOSTS]
        own_host = self._state.settings.host_name
        is_listed = any(
            contact.host == own_host for contact in self._listed_contacts()
        )
        self._state.unlisted_as_of = None if is_listed else hosts.as_of

    def _listed_contacts(self) -> tuple[peer_data.Contact, ...]:
        """Returns the contacts of the hosts in the host list."""
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

    async def _serve_peer(self, method: str, path: str) -> http1.Response:
        """Serves the items of a scope, or the flow pins, to a peer."""
        if method == "GET" and path == peer_requests.FLOW_PINS_PATH:
            pins = self._state.flow_pins.all_pins()
            return http1.Response(http1.OK, flow_pin_list.encode(pins))
        request = peer_requests.parse_request_path(path)
        if method != "GET" or request is None:
            return http1.Response(http1.NOT_FOUND, b"")
        scope_replica = self._replicas_by_scope[request.scope]
        if not scope_replica.is_complete:
            return http1.Response(http1.NOT_FOUND, b"")
        if request.is_for_carried:
            is_before = scope_replica.era < request.era
            if not (is_before or self._state.knows_former_era):
                # It started in this era, and has nothing to tell.
                return http1.Response(http1.UNAVAILABLE, b"")
            carried = scope_replica.carried_batch(
                request.era, self._clock.now_ms()
            )
            return http1.Response(http1.OK, peer_messages.encode_batch(carried))
        return http1.Response(http1.OK, self._encoded_body(request))

    def _encoded_body(self, request: peer_requests.PeerRequest) -> bytes:
        """Returns the body that a request asks for, encoded once a change.

        Compressing a large configuration takes longer than sending it, and all
        peers that are behind ask for the same one.
        """
        body = self._bodies_by_request.get(request)
        if body is not None:
            return body
        scope_replica = self._replicas_by_scope[request.scope]
        if request.after_revision is None:
            batch = scope_replica.removed_items()
        else:
            batch = scope_replica.changes_after(
                request.after_revision, request.era
            )
        body = peer_messages.encode_batch(batch)
        if len(self._bodies_by_request) >= MAX_CACHED_BODIES:
            oldest = next(iter(self._bodies_by_request))
            del self._bodies_by_request[oldest]
        self._bodies_by_request[request] = body
        return body

    def _drop_cached_bodies(self, scope: data.Scope) -> None:
        """Drops the encoded bodies of a scope, which has changed."""
        for request in list(self._bodies_by_request):
            if request.scope is scope:
                del self._bodies_by_request[request]
