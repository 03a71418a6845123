"""Pulls the changes that this host lacks from its peers.

Heartbeats tell which peers have newer changes. They are pulled over HTTP.
"""

from collections.abc import Mapping
import logging

import anyio

from sapphire_core.peers import peer_table as peer_table_lib
from sapphire_core.peers import pull_sources
from sapphire_core.replication import data
from sapphire_data import clock as clock_lib
from sapphire_net import event_log
from sapphire_net import pauses
from sapphire_node.entry import host_state
from sapphire_node.entry import messages
from sapphire_node.entry import peer_client
from sapphire_node.entry import peer_requests
from sapphire_node.entry import store_follower

_LOG = logging.getLogger(__name__)

# A host that follows the store gets the same changes from there. It pulls them
# from a peer only after it has been behind that peer for this long.
FOLLOWER_PULL_DELAY_MS = 300
PULL_POLL_MS = 20


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
        state = self._state
        for scope, revision in revisions.items():
            known_era = state.era_by_scope.get(scope, 0)
            if revision == 0 or era < known_era:
                continue
            known_revision = state.change_revision_by_scope.get(scope, 0)
            if era == known_era and revision <= known_revision:
                continue
            self._behind_since_ms_by_scope.setdefault(scope, now_ms)
            self._is_behind_event.set()

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
        # A heartbeat since may have told another address.
        contact = self._peer_table.contact(host) or source.contact
        batch = await peer_client.request_batch(self._state, contact, request)
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
