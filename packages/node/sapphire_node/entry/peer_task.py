"""The task that exchanges data with the peers of this host.

Hosts send each other heartbeats in datagrams. A heartbeat holds the revision of
the newest change that its sender knows in each scope, the hosts that follow the
store, and the sender's reports of upstreams. A host that lacks changes pulls
them from a peer, see `change_puller`.
"""

import logging
import random

import anyio
import anyio.abc
import anyio.streams.memory

from sapphire_core.peers import data as peer_data
from sapphire_core.peers import outcome_reports
from sapphire_core.peers import peer_table as peer_table_lib
from sapphire_core.peers import pull_sources
from sapphire_core.peers import upstream_reports
from sapphire_data import clock as clock_lib
from sapphire_data import failures
from sapphire_net import datagrams
from sapphire_net import event_log
from sapphire_net import pauses
from sapphire_node.entry import change_puller
from sapphire_node.entry import heartbeat_sender
from sapphire_node.entry import host_state
from sapphire_node.entry import messages
from sapphire_node.entry import startup_exchange
from sapphire_node.entry import store_follower
from sapphire_wire import peer_messages

_LOG = logging.getLogger(__name__)

# After the startup read, a host waits for this time for heartbeats of followers
# before it follows the store itself, and longer by its rank: those that rank
# first begin first.
FOLLOW_DELAY_MIN_MS = 300
FOLLOW_DELAY_SPREAD_MS = 2_400
# How many new peers are answered with a heartbeat of this host in an interval,
# in a large fleet.
MAX_REPLIES_TO_NEW_PEERS = 4
# Heartbeats of many hosts arrive at any time; they are read at this interval.
HEARTBEAT_READ_INTERVAL_MS = 50
# After a stall of a second, peers that sent heartbeats all the while would have
# timed out; these are read within a few read intervals.
STALL_THRESHOLD_MS = 1_000
STALL_READ_MS = 100
# Upstreams are judged by what hosts counted over some seconds, which changes
# little in this time.
JUDGE_INTERVAL_MS = 500

Inbox = anyio.streams.memory.MemoryObjectReceiveStream[
    messages.HostListChanged
    | messages.ScopeUpdated
    | messages.OwnUpstreamReports
]
PeerReportSender = anyio.streams.memory.MemoryObjectSendStream[
    messages.PeerReports
]


class PeerTask:
    """Exchanges heartbeats with peers and pulls changes from them.

    Args:
        contact: The contact by which peers reach this host.
        state: The state of the process.
        clock: The clock.
        inbox: The stream of messages from other tasks.
        batches: The stream to which pulled batches are sent.
        peer_reports: The stream to which aggregated reports of peers are sent.
    """

    def __init__(
        self,
        contact: peer_data.Contact,
        state: host_state.HostState,
        clock: clock_lib.Clock,
        *,
        inbox: Inbox,
        batches: store_follower.BatchSender,
        peer_reports: PeerReportSender,
    ) -> None:
        self._state = state
        self._clock = clock
        self._inbox = inbox
        self._peer_reports = peer_reports
        rng = random.Random()
        self._peer_table = peer_table_lib.PeerTable(
            contact, rng, state.settings.limits.contact_ms
        )
        self._unresponsive_reports = upstream_reports.UnresponsiveReports()
        self._replies_left = MAX_REPLIES_TO_NEW_PEERS
        # From when on this host may follow the store; None before its start.
        self._may_follow_from_ms: int | None = None
        self._sender = heartbeat_sender.HeartbeatSender(
            contact,
            state,
            clock,
            peer_table=self._peer_table,
            unresponsive_reports=self._unresponsive_reports,
            start_id=rng.getrandbits(62),
        )
        self._has_membership_changed = False
        self._listed_hosts: frozenset[str] = frozenset()
        self._judged_ms: int | None = None
        self._puller = change_puller.ChangePuller(
            state,
            clock,
            peer_table=self._peer_table,
            batches=batches,
            sources=pull_sources.PullSources(rng),
        )
        self._startup_exchange = startup_exchange.StartupExchange(
            contact,
            state,
            clock,
            peer_table=self._peer_table,
            batches=batches,
            rng=rng,
        )

    async def run(self) -> None:
        """Exchanges data with peers until cancelled."""
        with self._sender.socket:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_heartbeats)
                tasks.start_soon(self._sender.run_notices)
                tasks.start_soon(self._puller.pull_changes)
                tasks.start_soon(self._handle_messages)
                tasks.start_soon(self._sender.run_leaving)
                tasks.start_soon(self._startup_exchange.run)
                await datagrams.receive_all(
                    self._sender.socket,
                    peer_messages.MAX_HEARTBEAT_BYTES,
                    self._handle_datagram,
                    self._record_socket_error,
                    HEARTBEAT_READ_INTERVAL_MS,
                )

    async def _handle_messages(self) -> None:
        """Handles the messages of other tasks."""
        async for message in self._inbox:
            if isinstance(message, messages.OwnUpstreamReports):
                self._sender.own_reports = message.reports
                self._sender.outcomes = message.outcomes
                # In a large fleet flow pins wait for the regular heartbeat:
                # each of a hundred hosts would send and read several times as
                # many.
                if message.is_urgent or (
                    message.has_new_pins and not self._peer_table.is_large_fleet
                ):
                    self._sender.send_notice(is_for_remote=False)
            elif isinstance(message, messages.HostListChanged):
                self._listed_hosts = frozenset(c.host for c in message.contacts)
                self._peer_table.set_host_list(
                    message.contacts, self._clock.now_ms()
                )
                self._startup_exchange.record_host_list(message.contacts)
            else:
                self._sender.send_notice(
                    is_for_remote=self._must_notify_remote(message)
                )

    def _must_notify_remote(self, message: messages.ScopeUpdated) -> bool:
        """Whether other data centres have to hear of changes from this host.

        Only hosts that follow the store notify them; the hosts there pass the
        notice on among themselves. A host that takes over may get changes
        before the store has answered it for each scope.
        """
        if self._state.is_following_store:
            return True
        return self._state.must_follow_store and message.is_from_store

    async def _send_heartbeats(self) -> None:
        """Sends heartbeats and publishes the reports of peers at intervals."""
        await self._state.wait_for_startup()
        while True:
            now_ms = self._clock.now_ms()
            self._peer_table.evict_expired(now_ms, self._listed_hosts)
            self._update_must_follow_store(now_ms)
            self._update_near_host_away(now_ms)
            self._replies_left = MAX_REPLIES_TO_NEW_PEERS
            self._sender.send_regular(now_ms)
            self._publish_peer_reports(now_ms)
            await pauses.sleep_ms(peer_table_lib.HEARTBEAT_INTERVAL_MS)
            if self._clock.now_ms() - now_ms >= STALL_THRESHOLD_MS:
                # The process did not run. Peers would count as silent, though
                # their heartbeats of that time have arrived.
                await pauses.sleep_ms(STALL_READ_MS)

    def _update_must_follow_store(self, now_ms: int) -> None:
        """Updates whether this host has to follow the store itself."""
        if self._may_follow_from_ms is None:
            self._may_follow_from_ms = (
                now_ms
                + FOLLOW_DELAY_MIN_MS
                + int(
                    self._peer_table.followers.rank_fraction
                    * FOLLOW_DELAY_SPREAD_MS
                )
            )
        must_follow = (
            self._peer_table.must_follow(
                now_ms, is_leaving=self._state.is_leaving
            )
            and now_ms >= self._may_follow_from_ms
        )
        if must_follow != self._state.must_follow_store:
            claims = self._peer_table.followers.claims(now_ms)
            event_log.log(
                _LOG,
                logging.INFO,
                "store_taken_over" if must_follow else "store_handed_over",
                followers=",".join(sorted(claims)),
                ages_ms=",".join(
                    str(claims[host].age_ms) for host in sorted(claims)
                ),
            )
        self._state.set_must_follow_store(must_follow)

    def _publish_peer_reports(self, now_ms: int) -> None:
        """Sends the aggregated reports of peers to the packet task."""
        received = self._peer_table.live_heartbeats(now_ms)
        in_flight_by_tag = upstream_reports.total_in_flight(
            received, self._peer_table.near_host_count(now_ms) - 1
        )
        evidence_by_tag = None
        if (
            self._judged_ms is None
            or now_ms - self._judged_ms >= JUDGE_INTERVAL_MS
        ):
            self._judged_ms = now_ms
            evidence_by_tag = outcome_reports.evidence_of_peers(received)
        has_membership_changed = self._has_membership_changed or any(
            each.is_near and each.heartbeat.is_leaving for each in received
        )
        self._has_membership_changed = False
        # The stream is unbounded, so this never raises `WouldBlock`.
        self._peer_reports.send_nowait(
            messages.PeerReports(
                in_flight_by_tag,
                self._unresponsive_reports.avoid_ms_by_tag(now_ms),
                self._peer_table.host_count(now_ms),
                has_membership_changed,
                evidence_by_tag,
                self._peer_table.remote_silence_ms(now_ms),
                self._peer_table.starts_cut_off(now_ms),
            )
        )

    def _update_near_host_away(self, now_ms: int) -> None:
        """Updates whether another host of this data centre is away."""
        self._state.is_near_host_away = self._peer_table.is_near_host_away(
            now_ms
        )

    def _record_socket_error(self, error: OSError) -> None:
        """Counts and logs an error of the socket.

        The kernel reports here that an earlier heartbeat was not delivered. No
        other action is needed: the missing heartbeats of that peer show that it
        is down.
        """
        self._state.counts["peer_socket_errors"] += 1
        event_log.log(
            _LOG, logging.INFO, "peer_socket_error", problem=repr(error)
        )

    def _handle_datagram(self, datagram: bytes) -> None:
        """Decodes one heartbeat and acts on it."""
        heartbeat = peer_messages.decode_heartbeat(datagram)
        if isinstance(heartbeat, failures.Failure):
            self._state.counts["unreadable_beats"] += 1
            event_log.log_failure(_LOG, "beat_ignored", heartbeat)
            return
        if heartbeat.left_out:
            self._state.counts["beat_parts_left_out"] += 1
            event_log.log(
                _LOG,
                logging.INFO,
                "beat_part_left_out",
                peer=heartbeat.contact.host,
                problem=heartbeat.left_out,
            )
        now_ms = self._clock.now_ms()
        if self._peer_table.record_heartbeat(heartbeat, now_ms):
            self._handle_new_peer(heartbeat, now_ms)
        if (
            heartbeat.is_cut_off
            and not self._state.is_cut_off
            and self._peer_table.starts_cut_off(now_ms)
        ):
            # Before this host is ready: it has just started.
            self._publish_peer_reports(now_ms)
        if heartbeat.is_leaving or self._state.is_near_host_away:
            self._update_near_host_away(now_ms)
        self._state.flow_pins.merge(heartbeat.flow_pins, now_ms)
        if heartbeat.store_failed_ms is not None:
            failure_ms = now_ms - heartbeat.store_failed_ms
            known_ms = self._state.last_store_failure_ms
            if known_ms is None or failure_ms > known_ms:
                self._state.last_store_failure_ms = failure_ms
        if self._unresponsive_reports.record(heartbeat.upstreams, now_ms):
            self._publish_peer_reports(now_ms)
            if self._peer_table.is_large_fleet:
                self._sender.send_notice(is_for_remote=False)
        self._puller.record_revisions(
            heartbeat.revisions, now_ms, heartbeat.era
        )

    def _handle_new_peer(
        self, heartbeat: peer_data.Heartbeat, now_ms: int
    ) -> None:
        """Handles the first heartbeat of a peer, or of its new process.

        The new process may not know any peer yet, so it gets a heartbeat of
        this host, except in a large fleet, where a few others do that.
        """
        self._startup_exchange.record_new_peer(heartbeat.contact.host)
        is_near = self._peer_table.is_same_data_centre(heartbeat.contact)
        if is_near:
            # The fabric distributes the flows of a data centre over its hosts,
            # so only a new host of this data centre moves flows.
            self._has_membership_changed = True
            event_log.log(
                _LOG,
                logging.INFO,
                "peer_started",
                peer=heartbeat.contact.host,
                data_centre=heartbeat.contact.data_centre,
                start_id=heartbeat.start_id,
            )
        if self._peer_table.is_large_fleet:
            if not is_near or self._replies_left == 0:
                return
            self._replies_left -= 1
        self._sender.send([heartbeat.contact])
