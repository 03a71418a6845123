"""Sends the heartbeats of this host: their content, and where they go."""

import logging

import anyio

from sapphire_core.peers import data as peer_data
from sapphire_core.peers import notice_schedule
from sapphire_core.peers import peer_table as peer_table_lib
from sapphire_core.peers import upstream_reports
from sapphire_data import clock as clock_lib
from sapphire_net import datagrams
from sapphire_net import event_log
from sapphire_net import pauses
from sapphire_node.entry import host_state
from sapphire_wire import peer_messages

_LOG = logging.getLogger(__name__)

# The interval of heartbeats to other data centres while nothing changes;
# traffic between data centres is paid for by the byte.
REMOTE_HEARTBEAT_INTERVAL_MS = 1_000
# The same for a host that follows the store: its claim is up to 1 s old when it
# is sent, and must not time out before the next one arrives.
REMOTE_FOLLOWER_INTERVAL_MS = 500
# The heads of IP and UDP.
_HEAD_BYTES = 28


class HeartbeatSender:
    """Sends heartbeats, at intervals and at once where peers need the news.

    Attributes:
        socket: The socket that heartbeats are sent from, and received by.
        own_reports: What this host has observed of upstreams.
        outcomes: What became of requests at upstreams.

    Args:
        contact: The contact by which peers reach this host.
        state: The state of the process.
        clock: The clock.
        peer_table: The peers of this host.
        unresponsive_reports: What peers have reported of silent upstreams.
        start_id: Identifies this process.
    """

    def __init__(
        self,
        contact: peer_data.Contact,
        state: host_state.HostState,
        clock: clock_lib.Clock,
        *,
        peer_table: peer_table_lib.PeerTable,
        unresponsive_reports: upstream_reports.UnresponsiveReports,
        start_id: int,
    ) -> None:
        self._contact = contact
        self._state = state
        self._clock = clock
        self._peer_table = peer_table
        self._unresponsive_reports = unresponsive_reports
        self._start_id = start_id
        self._sequence = 0
        self._last_remote_heartbeat_ms = 0
        self._notices = notice_schedule.NoticeSchedule()
        self._notice_due = anyio.Event()
        self.own_reports: tuple[peer_data.UpstreamReport, ...] = ()
        self.outcomes: tuple[peer_data.OutcomeReport, ...] = ()
        self.socket = datagrams.open_socket((contact.address, contact.port))

    def send_regular(self, now_ms: int) -> None:
        """Sends the heartbeat of this interval.

        Args:
            now_ms: The current time.
        """
        self.send(
            self._peer_table.near_targets() + self._due_remote_targets(now_ms)
        )
        if not self._peer_table.has_live_peer(now_ms):
            self.send_to_seeds(now_ms)

    def send(self, receivers: list[peer_data.Contact]) -> None:
        """Sends one heartbeat to some peers; failures are logged only.

        Args:
            receivers: The peers.
        """
        datagram = self._encode_next(self._clock.now_ms())
        for contact in receivers:
            self._send_datagram(datagram, (contact.address, contact.port))

    def send_notice(self, *, is_for_remote: bool) -> None:
        """Sends a heartbeat at once, or soon after the last such one.

        Args:
            is_for_remote: Whether it concerns other data centres too.
        """
        now_ms = self._clock.now_ms()
        if self._notices.request(now_ms, is_for_remote=is_for_remote):
            self._send_due_notice(now_ms)
        else:
            self._notice_due.set()

    async def run_notices(self) -> None:
        """Sends the heartbeats that were collected, until cancelled."""
        while True:
            await self._notice_due.wait()
            self._notice_due = anyio.Event()
            await pauses.sleep_ms(notice_schedule.NOTICE_INTERVAL_MS)
            if self._notices.is_due:
                self._send_due_notice(self._clock.now_ms())

    async def run_leaving(self) -> None:
        """Sends a heartbeat at once when this host starts to leave.

        Another host of the data centre that is asked to stop then waits until
        this one is back.
        """
        await self._state.leaving.wait()
        self.send(self._peer_table.near_targets())

    def send_to_seeds(self, now_ms: int) -> None:
        """Sends a heartbeat to the seeds, while no peer is heard.

        The host list may be empty, or out of reach with the store.

        Args:
            now_ms: The current time.
        """
        own_address = self._state.settings.peer_address
        datagram = self._encode_next(now_ms)
        for address in self._state.settings.seed_addresses:
            if address != own_address:
                self._send_datagram(datagram, address)

    def _due_remote_targets(self, now_ms: int) -> list[peer_data.Contact]:
        """Returns the remote peers that get a heartbeat in this interval."""
        if not self._peer_table.is_large_fleet:
            interval_ms = REMOTE_HEARTBEAT_INTERVAL_MS
            if self._state.is_following_store:
                interval_ms = REMOTE_FOLLOWER_INTERVAL_MS
            elapsed_ms = now_ms - self._last_remote_heartbeat_ms
            if elapsed_ms < interval_ms:
                return []
            self._last_remote_heartbeat_ms = now_ms
        return self._peer_table.remote_targets(
            now_ms, is_follower=self._state.is_following_store
        )

    def _send_due_notice(self, now_ms: int) -> None:
        """Sends the heartbeat that is due, to the peers that it concerns."""
        receivers = self._peer_table.near_targets()
        if self._notices.is_for_remote:
            receivers = receivers + self._peer_table.remote_targets(
                now_ms, is_follower=True
            )
        self._notices.record_sent(now_ms)
        self.send(receivers)

    def _encode_next(self, now_ms: int) -> bytes:
        """Returns the datagram of this host's next heartbeat."""
        reports = self.own_reports
        if self._peer_table.is_large_fleet:
            # In a small one, every host hears every other one itself.
            reports = reports + self._unresponsive_reports.relayed(
                reports, now_ms
            )
        failure_ms = self._state.last_store_failure_ms
        era = max(self._state.era_by_scope.values(), default=0)
        self._sequence += 1
        return peer_messages.encode_heartbeat(
            peer_data.Heartbeat(
                contact=self._contact,
                start_id=self._start_id,
                sequence=self._sequence,
                is_leaving=self._state.is_leaving,
                revisions=self._state.newest_revisions(era),
                store_failed_ms=None
                if failure_ms is None
                else now_ms - failure_ms,
                followers=self._peer_table.followers.reported_claims(
                    now_ms, self._state.follower_claim(now_ms)
                ),
                upstreams=reports,
                live_counts=self._peer_table.live_counts(now_ms),
                outcomes=self.outcomes,
                era=era,
                is_cut_off=self._state.has_found_cut,
                answered_ms=self._state.answered_ms,
                flow_pins=self._state.flow_pins.reported(
                    now_ms, relays=self._peer_table.is_large_fleet
                ),
            )
        )

    def _send_datagram(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Sends a datagram to an address; a failure is logged only."""
        try:
            self.socket.sendto(datagram, address)
            self._state.peer_bytes_sent += len(datagram) + _HEAD_BYTES
        except datagrams.SEND_ERRORS as error:
            self._state.counts["beats_not_sent"] += 1
            event_log.log(
                _LOG,
                logging.INFO,
                "beat_not_sent",
                address=f"{address[0]}:{address[1]}",
                problem=repr(error),
            )
