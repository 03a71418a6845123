"""What a host that has just started asks its peers for.

The store tells it nothing of upstreams that left before, whose flows may be
open. And if the store came back from an older copy, hosts that ran before know
better what is in force until operators and upstreams have written again: a host
that has only the copy asks them before it takes packets.
"""

from collections.abc import Iterator
import itertools
import random

import anyio

from sapphire_core.peers import data as peer_data
from sapphire_core.peers import peer_table as peer_table_lib
from sapphire_core.replication import data
from sapphire_data import clock as clock_lib
from sapphire_net import pauses
from sapphire_node.entry import host_state
from sapphire_node.entry import messages
from sapphire_node.entry import peer_client
from sapphire_node.entry import peer_requests
from sapphire_node.entry import store_follower

# How many peers have to answer. One that has missed a change is rare, two that
# have missed the same one are rarer.
ENOUGH_ANSWERS = 2
# How many peers are asked at a time before the host is ready: hosts may all
# start at once, and those that are dark leave a connection without an answer.
CONCURRENT_ASKS = 4
# How many listed peers are asked at most before the host is ready.
MAX_ASKED = 8
# How long a host that could take packets waits for these answers: callers
# repeat an opening packet after 200 ms, and packets are held for as long.
MAX_WAIT_MS = 200
# The same if the store lists too few peers: their leases may have ended, and
# they send heartbeats to this host each 250 ms.
MAX_LONG_WAIT_MS = 600
_POLL_MS = 5
_CARRYING_SCOPES = (data.Scope.INTENT, data.Scope.REGISTRY)


class StartupExchange:
    """Asks peers for what the store does not tell, after the start.

    Hosts of the store's host list are asked for what they carry, since
    heartbeats can be forged; those that are heard only if too few are listed.

    Args:
        own: The contact of this host.
        state: The state of the process.
        clock: The clock.
        peer_table: The peers, whose owner records their heartbeats.
        batches: The stream to which the answers are sent.
        rng: Selects the peers.
    """

    def __init__(
        self,
        own: peer_data.Contact,
        state: host_state.HostState,
        clock: clock_lib.Clock,
        *,
        peer_table: peer_table_lib.PeerTable,
        batches: store_follower.BatchSender,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._state = state
        self._clock = clock
        self._peer_table = peer_table
        self._batches = batches
        self._rng = rng
        self._listed_by_host: dict[str, peer_data.Contact] | None = None
        self._new_peers: set[str] = set()
        self._new_peer_event = anyio.Event()
        # The peers that are being asked, or were, for what they carry.
        self._asked: set[str] = set()
        # The peers that have told what they carry.
        self._answered: set[str] = set()

    def record_host_list(self, contacts: tuple[peer_data.Contact, ...]) -> None:
        """Records the hosts that the store lists.

        Args:
            contacts: Their contacts; this host may be among them.
        """
        self._listed_by_host = {
            contact.host: contact
            for contact in contacts
            if contact.host != self._own.host
        }

    def record_new_peer(self, host: str) -> None:
        """Records that a peer was heard for the first time since its start.

        Args:
            host: The name of the peer.
        """
        self._new_peers.add(host)
        self._new_peer_event.set()

    async def run(self) -> None:
        """Asks until enough peers have answered."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._ask_for_flow_pins)
            tasks.start_soon(self._check_copy)
            tasks.start_soon(self._ask_heard_peers)

    async def _ask_for_flow_pins(self) -> None:
        """Asks listed peers which upstreams have flows that may move here.

        The fabric sends flows to this host once it is in rotation, which takes
        longer than this. Peers may have just started themselves, so several
        are asked.
        """
        while self._listed_by_host is None:
            await pauses.sleep_ms(_POLL_MS)
        async with anyio.create_task_group() as tasks:
            for contact in self._candidates()[:CONCURRENT_ASKS]:
                tasks.start_soon(self._ask_one_for_flow_pins, contact)

    async def _ask_one_for_flow_pins(self, contact: peer_data.Contact) -> None:
        """Asks one peer for its flow pins."""
        pins = await peer_client.request_flow_pins(self._state, contact)
        if pins is not None:
            self._state.flow_pins.merge(pins, self._clock.now_ms())

    async def _check_copy(self) -> None:
        """Asks listed peers before the host is ready, if it has to."""
        while not self._state.knows_all_scopes or self._listed_by_host is None:
            await pauses.sleep_ms(_POLL_MS)
        if not self._state.has_eras:
            return
        has_few = len(self._listed_by_host) < ENOUGH_ANSWERS
        limit_ms = MAX_LONG_WAIT_MS if has_few else MAX_WAIT_MS
        with anyio.move_on_after(limit_ms / clock_lib.MS_PER_SECOND):
            await self._ask_listed_peers()
            while has_few and len(self._answered) < ENOUGH_ANSWERS:
                await self._ask_new_peers()
        self._state.carried_answers = len(self._answered)
        await self._batches.send(messages.PeersAsked(len(self._answered)))

    async def _ask_new_peers(self) -> None:
        """Asks peers that were heard since, of which the store lists few."""
        for host in sorted(self._new_peers - self._asked):
            contact = self._peer_table.contact(host)
            if contact is not None:
                await self._ask_for_carried(contact)
        await pauses.sleep_ms(_POLL_MS)

    async def _ask_listed_peers(self) -> None:
        """Asks listed peers for what they carry until enough have answered."""
        candidates = iter(self._candidates()[:MAX_ASKED])
        async with anyio.create_task_group() as tasks:
            for _ in range(CONCURRENT_ASKS):
                tasks.start_soon(self._ask_each, candidates, tasks.cancel_scope)

    async def _ask_each(
        self, candidates: Iterator[peer_data.Contact], asks: anyio.CancelScope
    ) -> None:
        """Asks peers in turn; cancels all asks once enough have answered."""
        for contact in candidates:
            await self._ask_for_carried(contact)
            if len(self._answered) >= ENOUGH_ANSWERS:
                asks.cancel()

    def _candidates(self) -> list[peer_data.Contact]:
        """Returns the listed peers: near and remote ones by turns.

        A data centre that was cut off may know less as a whole.
        """
        contacts = list((self._listed_by_host or {}).values())
        self._rng.shuffle(contacts)
        own = self._own.data_centre
        near = [each for each in contacts if each.data_centre == own]
        remote = [each for each in contacts if each.data_centre != own]
        mixed: list[peer_data.Contact] = []
        for pair in itertools.zip_longest(near, remote):
            mixed.extend(contact for contact in pair if contact is not None)
        return mixed

    async def _ask_for_carried(self, contact: peer_data.Contact) -> None:
        """Asks one peer for what it carries of each scope."""
        self._asked.add(contact.host)
        for scope in _CARRYING_SCOPES:
            request = peer_requests.PeerRequest(
                scope,
                None,
                self._state.era_by_scope.get(scope, 0),
                is_for_carried=True,
            )
            batch = await peer_client.request_batch(
                self._state, contact, request
            )
            if not isinstance(batch, data.Batch):
                return
            await self._batches.send(
                messages.CarriedItemsReceived(scope, batch, contact.host)
            )
        self._answered.add(contact.host)
        self._state.carried_answers = len(self._answered)

    async def _ask_heard_peers(self) -> None:
        """Asks the peers that are heard first for what left the registry.

        A peer that has just started itself has no such items, so more than one
        is asked. They are asked for what they carry as well, if too few have
        told that so far.
        """
        request = peer_requests.PeerRequest(data.Scope.REGISTRY, None)
        await self._state.wait_for_startup()
        while request.scope not in self._state.as_of_by_scope:
            # Removed items can be told from present ones only once the registry
            # is known.
            await pauses.sleep_ms(_POLL_MS)
        asked_peers: set[str] = set()
        while len(asked_peers) < ENOUGH_ANSWERS:
            await self._new_peer_event.wait()
            self._new_peer_event = anyio.Event()
            for host in self._new_peers - asked_peers:
                asked_peers.add(host)
                contact = self._peer_table.contact(host)
                if contact is None:
                    continue
                await self._ask_for_missing(host)
                batch = await peer_client.request_batch(
                    self._state, contact, request
                )
                if isinstance(batch, data.Batch):
                    await self._batches.send(
                        messages.RemovedItemsReceived(
                            request.scope, batch, host
                        )
                    )

    async def _ask_for_missing(self, host: str) -> None:
        """Asks a listed peer for what it carries, if that is still missing."""
        listed = (self._listed_by_host or {}).get(host)
        if listed is None or not self._state.has_eras:
            return
        if host in self._answered or len(self._answered) >= ENOUGH_ANSWERS:
            return
        await self._ask_for_carried(listed)
