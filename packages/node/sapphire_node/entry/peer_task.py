"""The task that talks to other hosts.

Beats go in datagrams: what a host knows up to which revision, who follows
the store, and what it has seen of upstreams. What a host lacks it reads from
a peer over HTTP.
"""

import dataclasses
import logging
import random

import anyio
import anyio.abc
import anyio.streams.memory

from sapphire_core.peers import data as peer_data
from sapphire_core.peers import peer_table as peer_table_lib
from sapphire_core.replication import data
from sapphire_data import clock as clock_lib
from sapphire_data import failures
from sapphire_net import datagrams
from sapphire_net import event_log
from sapphire_net import http1
from sapphire_net import pauses
from sapphire_node.entry import host_state
from sapphire_node.entry import messages
from sapphire_node.entry import store_follower
from sapphire_wire import peer_messages

_LOG = logging.getLogger(__name__)

BEAT_MS = 250
# Beats of many hosts come at any moment; those of this time are read together.
READ_PAUSE_MS = 20
# Other data centres are told this often without news; bytes between data
# centres are paid for.
FAR_BEAT_MS = 1_000
# A host that follows the store itself hears the same from there; it asks a
# peer only when its own connection turns out to be behind by this much.
OWN_LEAD_MS = 300
# Small answers take a few crossings of the network.
PULL_TIMEOUT_MS = 1_000
PULL_POLL_MS = 20
# How many peers a host that has just started asks for what left the registry.
REMOVED_PEERS = 2
# The first words of the paths by which peers are asked.
_ITEMS = "items"
_REMOVED = "removed"

Inbox = anyio.streams.memory.MemoryObjectReceiveStream[
    messages.HostListChanged
    | messages.ScopeUpdated
    | messages.LocalUpstreamReports
]
SeenSender = anyio.streams.memory.MemoryObjectSendStream[messages.PeerReports]


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """What a host asks a peer for.

    Attributes:
        scope: The scope.
        after: The revision that it knows; None if it asks for what was removed.
    """

    scope: data.Scope
    after: int | None

    @property
    def path(self) -> str:
        """The path, such as `/items/1/530` or `/removed/2`."""
        if self.after is None:
            return f"/{_REMOVED}/{self.scope.value}"
        return f"/{_ITEMS}/{self.scope.value}/{self.after}"


def question_of(path: str) -> Question | None:
    """Reads the path of a peer's question; None if it is none.

    Args:
        path: The path, as `Question.path` writes it.
    """
    scopes = {str(scope.value): scope for scope in data.Scope}
    match path.split("/"):
        case ["", kind, scope, after] if kind == _ITEMS and scope in scopes:
            if after.isdecimal():
                return Question(scopes[scope], int(after))
        case ["", kind, scope] if kind == _REMOVED and scope in scopes:
            return Question(scopes[scope], None)
    return None


class PeerTask:
    """Tells other hosts, hears them, and reads from them what is missing.

    Args:
        contact: How this host is reached.
        state: The state of the process.
        clock: The clock.
        inbox: What other tasks tell.
        batches: Takes what peers tell of the store.
        seen: Takes what peers have seen of upstreams.
    """

    def __init__(
        self,
        contact: peer_data.Contact,
        state: host_state.HostState,
        clock: clock_lib.Clock,
        *,
        inbox: Inbox,
        batches: store_follower.BatchSender,
        seen: SeenSender,
    ) -> None:
        self._contact = contact
        self._state = state
        self._clock = clock
        self._inbox = inbox
        self._batches = batches
        self._seen = seen
        rng = random.Random()
        self._peer_table = peer_table_lib.PeerTable(contact, rng)
        self._start_id = rng.getrandbits(62)
        self._sequence = 0
        self._far_beat_ms = 0
        self._has_membership_changed = False
        self._reports: tuple[peer_data.UpstreamReport, ...] = ()
        self._listed: frozenset[str] = frozenset()
        # Since when a peer is known to be ahead, and which one, by scope.
        self._ahead_by_scope: dict[data.Scope, tuple[int, str]] = {}
        self._is_behind = anyio.Event()
        self._new_peers: set[str] = set()
        self._has_new_peer = anyio.Event()
        # The scopes that are being read from a peer.
        self._pulled_scopes: set[data.Scope] = set()
        self._socket = datagrams.open_socket((contact.address, contact.port))

    async def run(self) -> None:
        """Works until cancelled."""
        with self._socket:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._beat)
                tasks.start_soon(self._pull)
                tasks.start_soon(self._listen)
                tasks.start_soon(self._tell_departure)
                tasks.start_soon(self._read_removed)
                await datagrams.read_all(
                    self._socket,
                    peer_messages.MAX_BEAT_BYTES,
                    self._take,
                    self._note_socket_error,
                    READ_PAUSE_MS,
                )

    async def _listen(self) -> None:
        """Takes what other tasks tell."""
        async for message in self._inbox:
            if isinstance(message, messages.LocalUpstreamReports):
                self._reports = message.reports
                if message.is_urgent:
                    self._send_beat(is_far_due=False)
            elif isinstance(message, messages.HostListChanged):
                self._listed = frozenset(c.host for c in message.contacts)
                self._peer_table.set_host_list(message.contacts)
            else:
                # Followers tell other data centres, which pass it on inside.
                self._send_beat(is_far_due=self._state.is_following_store)

    async def _beat(self) -> None:
        """Sends beats at intervals, and passes on what peers have seen."""
        await self._state.wait_for_startup()
        while True:
            now_ms = self._clock.now_ms()
            self._peer_table.evict_expired(now_ms, self._listed)
            self._state.set_must_follow_store(
                self._peer_table.must_follow(
                    now_ms, is_leaving=self._state.is_leaving
                )
            )
            self._note_near_hosts(now_ms)
            is_far_due = now_ms - self._far_beat_ms >= FAR_BEAT_MS
            if is_far_due:
                self._far_beat_ms = now_ms
            self._send_beat(is_far_due=is_far_due)
            self._pass_on(now_ms)
            await pauses.sleep_ms(BEAT_MS)

    async def _tell_departure(self) -> None:
        """Tells at once that this host leaves; others may wait for it."""
        await self._state.leaving.wait()
        self._send_beat(is_far_due=False)

    def _pass_on(self, now_ms: int) -> None:
        """Tells the packet task what peers have seen."""
        live = self._peer_table.live_heartbeats(now_ms)
        hosts = self._peer_table.host_count()
        busy, silent_ms = peer_table_lib.aggregate_upstream_reports(
            live, hosts - 1
        )
        has_membership_changed = self._has_membership_changed or any(
            beat.is_leaving
            and self._peer_table.is_same_data_centre(beat.contact)
            for beat in live
        )
        self._has_membership_changed = False
        # The stream has no bound, so this never waits.
        self._seen.send_nowait(
            messages.PeerReports(busy, silent_ms, hosts, has_membership_changed)
        )

    def _note_near_hosts(self, now_ms: int) -> None:
        """Notes whether a host of this data centre is away."""
        self._state.is_near_host_away = self._peer_table.is_near_host_away(
            now_ms
        )

    def _send_beat(self, *, is_far_due: bool) -> None:
        """Sends one beat to some peers, to far ones only if that is due."""
        receivers = [
            contact
            for contact in self._peer_table.heartbeat_targets()
            if is_far_due or self._peer_table.is_same_data_centre(contact)
        ]
        self._send_to(receivers, self._encoded_beat(self._clock.now_ms()))

    def _encoded_beat(self, now_ms: int) -> bytes:
        """Returns the datagram of this host's next beat."""
        followers = self._peer_table.follower_ages_ms(now_ms)
        if self._state.is_following_store:
            followers[self._contact.host] = 0
        failed_ms = self._state.last_store_failure_ms
        self._sequence += 1
        return peer_messages.encode_beat(
            peer_data.Heartbeat(
                contact=self._contact,
                start_id=self._start_id,
                sequence=self._sequence,
                is_leaving=self._state.is_leaving,
                revisions=self._state.change_revision_by_scope,
                store_failed_ms=None
                if failed_ms is None
                else now_ms - failed_ms,
                follower_ages_ms=followers,
                upstreams=self._reports,
            )
        )

    def _send_to(
        self, receivers: list[peer_data.Contact], datagram: bytes
    ) -> None:
        """Sends a datagram to some hosts; one that cannot be sent is lost."""
        for contact in receivers:
            try:
                self._socket.sendto(datagram, (contact.address, contact.port))
            except OSError as error:
                self._state.counts["beats_not_sent"] += 1
                event_log.log(
                    _LOG,
                    logging.INFO,
                    "beat_not_sent",
                    peer=contact.host,
                    problem=repr(error),
                )

    def _note_socket_error(self, error: OSError) -> None:
        """Notes that a former beat found nobody; its host shows by silence."""
        self._state.counts["peer_socket_errors"] += 1
        event_log.log(
            _LOG, logging.INFO, "peer_socket_error", problem=repr(error)
        )

    def _take(self, datagram: bytes) -> None:
        """Takes one beat."""
        beat = peer_messages.decode_beat(datagram)
        if isinstance(beat, failures.Failure):
            self._state.counts["unreadable_beats"] += 1
            event_log.log_failure(_LOG, "beat_ignored", beat)
            return
        now_ms = self._clock.now_ms()
        if self._peer_table.record_heartbeat(beat, now_ms):
            event_log.log(
                _LOG,
                logging.INFO,
                "peer_started",
                peer=beat.contact.host,
                data_centre=beat.contact.data_centre,
                start_id=beat.start_id,
            )
            self._new_peers.add(beat.contact.host)
            self._has_new_peer.set()
            # The fabric spreads a data centre's flows over its own hosts.
            self._has_membership_changed |= (
                self._peer_table.is_same_data_centre(beat.contact)
            )
            # It may know of nobody yet.
            self._send_to([beat.contact], self._encoded_beat(now_ms))
        if beat.is_leaving or self._state.is_near_host_away:
            self._note_near_hosts(now_ms)
        if beat.store_failed_ms is not None:
            failed_ms = now_ms - beat.store_failed_ms
            known_ms = self._state.last_store_failure_ms
            if known_ms is None or failed_ms > known_ms:
                self._state.last_store_failure_ms = failed_ms
        if any(report.silent_ms > 0 for report in beat.upstreams):
            self._pass_on(now_ms)
        for scope, revision in beat.revisions.items():
            if revision <= self._state.change_revision_by_scope.get(scope, 0):
                continue
            since_ms, _ = self._ahead_by_scope.get(scope, (now_ms, ""))
            self._ahead_by_scope[scope] = (since_ms, beat.contact.host)
            self._is_behind.set()

    async def _pull(self) -> None:
        """Reads from peers what this host lacks."""
        async with anyio.create_task_group() as tasks:
            while True:
                if not self._ahead_by_scope:
                    self._is_behind = anyio.Event()
                    await self._is_behind.wait()
                now_ms = self._clock.now_ms()
                for scope, (since_ms, host) in list(
                    self._ahead_by_scope.items()
                ):
                    is_own = self._state.must_follow_store
                    if is_own and now_ms - since_ms < OWN_LEAD_MS:
                        continue
                    if scope in self._pulled_scopes:
                        continue
                    del self._ahead_by_scope[scope]
                    self._pulled_scopes.add(scope)
                    tasks.start_soon(self._pull_scope, scope, host)
                await pauses.sleep_ms(PULL_POLL_MS)

    async def _pull_scope(self, scope: data.Scope, host: str) -> None:
        """Reads a scope from one peer, alone with it meanwhile."""
        try:
            await self._pull_from(scope, host)
        finally:
            self._pulled_scopes.discard(scope)

    async def _pull_from(self, scope: data.Scope, host: str) -> None:
        """Reads a scope from one peer."""
        after = self._state.as_of_by_scope.get(scope, 0)
        batch = await self._ask(host, Question(scope, after))
        if batch is not None:
            await self._batches.send(messages.BatchReceived(scope, batch, host))

    async def _read_removed(self) -> None:
        """Reads from a few peers what left the registry before the start.

        Peers that have just started too have nothing to tell, so more than
        one is asked.
        """
        scope = data.Scope.REGISTRY
        question = Question(scope, None)
        await self._state.wait_for_startup()
        while scope not in self._state.as_of_by_scope:
            # What was removed says little before what is there is known.
            await pauses.sleep_ms(PULL_POLL_MS)
        asked: set[str] = set()
        while len(asked) < REMOVED_PEERS:
            await self._has_new_peer.wait()
            self._has_new_peer = anyio.Event()
            for host in self._new_peers - asked:
                asked.add(host)
                batch = await self._ask(host, question)
                if batch is not None:
                    await self._batches.send(
                        messages.RemovedItemsReceived(scope, batch, host)
                    )

    async def _ask(self, host: str, question: Question) -> data.Batch | None:
        """Asks one peer for items; None, with a log line, without answer."""
        contact = self._peer_table.contact(host)
        if contact is None:
            return None
        client = http1.Client((contact.address, contact.port))
        response = await client.call("GET", question.path, PULL_TIMEOUT_MS)
        await client.close()
        if isinstance(response, http1.CallFailure):
            self._state.counts["pull_failures"] += 1
            event_log.log_failure(_LOG, "pull_failed", response, peer=host)
            return None
        if response.status != http1.OK:
            self._state.counts["pull_failures"] += 1
            event_log.log(
                _LOG,
                logging.WARNING,
                "pull_refused",
                peer=host,
                scope=question.scope.name,
                status=response.status,
            )
            return None
        batch = peer_messages.decode_batch(response.body)
        if isinstance(batch, failures.Failure):
            self._state.counts["pull_failures"] += 1
            event_log.log_failure(_LOG, "pull_failed", batch, peer=host)
            return None
        return batch
