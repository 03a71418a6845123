"""Pulls the changes that this host lacks from its peers.

Heartbeats tell which peers have newer changes. They are pulled over HTTP; a
host that has just started also pulls the items that left the registry before.
"""

from collections.abc import Mapping
import logging

import anyio

from sapphire_core.peers import peer_table as peer_table_lib
from sapphire_core.peers import pull_sources
from sapphire_core.replication import data
from sapphire_data import clock as clock_lib
from sapphire_data import failures
from sapphire_net import event_log
from sapphire_net import http1
from sapphire_net import pauses
from sapphire_node.entry import host_state
from sapphire_node.entry import messages
from sapphire_node.entry import peer_requests
from sapphire_node.entry import store_follower
from sapphire_wire import peer_messages

_LOG = logging.getLogger(__name__)

# A host that follows the store gets the same changes from there. It pulls them
# from a peer only after it has been behind that peer for this long.
FOLLOWER_PULL_DELAY_MS = 300
# The first bytes of a response take a few network delays, and longer while the
# peer serves others.
PULL_TIMEOUT_MS = 1_000
PULL_POLL_MS = 20
# How many peers a host that has just started asks for items that left the
# registry before its start.
REMOVED_ITEMS_PEER_COUNT = 2


class ChangePuller:
    """Pulls changes from the peers that have them.

    Args:
        state: The state of the process.
        clock: The clock.
        peer_table: The peers, whose owner records their heartbeats.
        batches: The stream to which pulled batches are sent.
        sources: Selects the peer to pull from.
    """

    def __init__(
        self,
        state: host_state.HostState,
        clock: clock_lib.Clock,
        *,
        peer_table: peer_table_lib.PeerTable,
        batches: store_follower.BatchSender,
        sources: pull_sources.PullSources,
    ) -> None:
        self._state = state
        self._clock = clock
        self._peer_table = peer_table
        self._batches = batches
        self._sources = sources
        # For each scope of which a peer has newer changes than this host: since
        # when that is known.
        self._behind_since_ms_by_scope: dict[data.Scope, int] = {}
        self._is_behind_event = anyio.Event()
        # The scopes that are being pulled from a peer.
        self._scopes_being_pulled: set[data.Scope] = set()
        self._new_peers: set[str] = set()
        self._new_peer_event = anyio.Event()

    def record_revisions(
        self, revisions: Mapping[data.Scope, int], now_ms: int, era: int = 0
    ) -> None:
        """Records the newest revisions that a peer has.

        Args:
            revisions: The revision of its newest change of each scope; 0 if it
                has none.
            now_ms: The current time.
            era: The era of the store that they belong to.
        """
        eras = self._state.eras
        if not self._state.as_of_by_scope and eras.named == 0:
            # A host that knows nothing yet cannot lose anything. The store
            # corrects it when it answers.
            eras.from_peers = max(eras.from_peers, era)
        if era > eras.accepted:
            eras.record_claim(era)
            return
        for scope, revision in revisions.items():
            position = data.Position(era, revision)
            if revision == 0 or position <= self._state.newest_position(scope):
                continue
            self._behind_since_ms_by_scope.setdefault(scope, now_ms)
            self._is_behind_event.set()

    def record_new_peer(self, host: str) -> None:
        """Records that a peer was heard for the first time since its start.

        Args:
            host: The name of the peer.
        """
        self._new_peers.add(host)
        self._new_peer_event.set()

    async def pull_changes(self) -> None:
        """Pulls changes from peers that are ahead, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                if not self._behind_since_ms_by_scope:
                    self._is_behind_event = anyio.Event()
                    await self._is_behind_event.wait()
                now_ms = self._clock.now_ms()
                for scope, since_ms in list(
                    self._behind_since_ms_by_scope.items()
                ):
                    must_follow_store = self._state.must_follow_store
                    if (
                        must_follow_store
                        and now_ms - since_ms < FOLLOWER_PULL_DELAY_MS
                    ):
                        continue
                    if scope in self._scopes_being_pulled:
                        continue
                    source = self._select_source(scope, now_ms)
                    if source is None:
                        continue
                    self._scopes_being_pulled.add(scope)
                    tasks.start_soon(self._pull_scope, scope, source)
                await pauses.sleep_ms(PULL_POLL_MS)

    def _select_source(
        self, scope: data.Scope, now_ms: int
    ) -> pull_sources.Source | None:
        """Returns the peer to pull a scope from now, None for none.

        A scope of which no peer is ahead any more is no longer behind.
        """
        sources = self._peer_table.sources_ahead(
            scope,
            self._state.newest_position(scope),
            self._state.eras.accepted,
            now_ms,
        )
        if not sources:
            self._behind_since_ms_by_scope.pop(scope, None)
            return None
        return self._sources.select(sources, now_ms)

    async def _pull_scope(
        self, scope: data.Scope, source: pull_sources.Source
    ) -> None:
        """Pulls a scope from one peer and then allows the next pull of it."""
        try:
            try:
                outcome = await self._pull_from(scope, source)
            except Exception as error:
                host = source.contact.host
                event_log.log_unexpected(_LOG, "pull_failed", error, peer=host)
                outcome = pull_sources.PullOutcome.FAILED
            self._sources.record_outcome(
                source.contact.host, outcome, self._clock.now_ms()
            )
            if outcome is pull_sources.PullOutcome.PULLED:
                # The next heartbeat tells whether there are still newer ones.
                self._behind_since_ms_by_scope.pop(scope, None)
        finally:
            self._scopes_being_pulled.discard(scope)

    async def _pull_from(
        self, scope: data.Scope, source: pull_sources.Source
    ) -> pull_sources.PullOutcome:
        """Pulls the changes of a scope from one peer."""
        after = self._state.position(scope)
        request = peer_requests.PeerRequest(scope, after.revision, after.era)
        host = source.contact.host
        batch = await self._request_batch(host, request)
        if isinstance(batch, pull_sources.PullOutcome):
            return batch
        await self._batches.send(messages.BatchReceived(scope, batch, host))
        # Items read page by page may be newer than the first page.
        newest = max((item.revision for item in batch.items), default=0)
        position = data.Position(batch.era, max(newest, batch.as_of))
        if position < data.Position(source.era, source.revision):
            event_log.log(
                _LOG,
                logging.WARNING,
                "pull_contradicted",
                peer=host,
                scope=scope.name,
                named_revision=source.revision,
                named_era=source.era,
                era=batch.era,
                as_of=batch.as_of,
            )
            return pull_sources.PullOutcome.CONTRADICTED
        return pull_sources.PullOutcome.PULLED

    async def pull_removed_items(self) -> None:
        """Pulls items that left the registry before the start of this host.

        A peer that has just started itself has no such items, so more than one
        peer is asked.
        """
        scope = data.Scope.REGISTRY
        request = peer_requests.PeerRequest(scope, None)
        await self._state.wait_for_startup()
        while scope not in self._state.as_of_by_scope:
            # Removed items can be told from present ones only once the registry
            # is known.
            await pauses.sleep_ms(PULL_POLL_MS)
        asked_peers: set[str] = set()
        while len(asked_peers) < REMOVED_ITEMS_PEER_COUNT:
            await self._new_peer_event.wait()
            self._new_peer_event = anyio.Event()
            for host in self._new_peers - asked_peers:
                asked_peers.add(host)
                batch = await self._request_batch(host, request)
                if isinstance(batch, data.Batch):
                    await self._batches.send(
                        messages.RemovedItemsReceived(scope, batch, host)
                    )

    async def _request_batch(
        self, host: str, request: peer_requests.PeerRequest
    ) -> data.Batch | pull_sources.PullOutcome:
        """Requests items from one peer; logs why it sent none."""
        contact = self._peer_table.contact(host)
        if contact is None:
            return pull_sources.PullOutcome.FAILED
        client = http1.Client((contact.address, contact.port))
        response = await client.call("GET", request.path, PULL_TIMEOUT_MS)
        await client.close()
        if isinstance(response, http1.CallFailure):
            self._state.counts["pull_failures"] += 1
            event_log.log_failure(_LOG, "pull_failed", response, peer=host)
            return pull_sources.PullOutcome.FAILED
        if response.status == http1.UNAVAILABLE:
            self._state.counts["pulls_deferred"] += 1
            return pull_sources.PullOutcome.BUSY
        if response.status != http1.OK:
            self._state.counts["pull_failures"] += 1
            event_log.log(
                _LOG,
                logging.WARNING,
                "pull_refused",
                peer=host,
                scope=request.scope.name,
                status=response.status,
            )
            return pull_sources.PullOutcome.FAILED
        batch = peer_messages.decode_batch(response.body)
        if isinstance(batch, failures.Failure):
            self._state.counts["pull_failures"] += 1
            event_log.log_failure(_LOG, "pull_failed", batch, peer=host)
            return pull_sources.PullOutcome.FAILED
        return batch
