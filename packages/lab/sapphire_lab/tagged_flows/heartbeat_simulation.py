"""Simulates the heartbeats of a whole fleet, without a network.

Datagrams arrive after a fixed delay. The simulation counts them, within and
between data centres, and shows what each host knows.
"""

import heapq
import random

from sapphire_core.peers import data
from sapphire_core.peers import peer_table as peer_table_lib
from sapphire_core.peers import upstream_reports
from sapphire_lab.tagged_flows import builders
from sapphire_node.entry import heartbeat_sender

DATA_CENTRES = 5
# A heartbeat is read up to 20 ms after it has arrived.
DELAY_MS = 22
CONTACT_MS = 6_000
STEP_MS = 10


class Host:
    """A host with its peer table and the reports that it has received."""

    def __init__(self, number: int, rng: random.Random) -> None:
        self.contact = builders.heartbeat(
            f"host-{number}", data_centre=f"dc-{number % DATA_CENTRES}"
        ).contact
        self.table = peer_table_lib.PeerTable(self.contact, rng, CONTACT_MS)
        self.reports = upstream_reports.UnresponsiveReports()
        self.own_reports: tuple[data.UpstreamReport, ...] = ()
        self.sequence = 0
        self.phase_ms = rng.randrange(peer_table_lib.HEARTBEAT_INTERVAL_MS)
        self.is_dead = False
        self.is_following = False
        self.revision = 0


class HeartbeatSimulation:
    """A fleet whose hosts have all read the same host list.

    Args:
        host_count: How many hosts there are.
        seed: Seeds all random choices.

    Attributes:
        hosts: The hosts.
        near_datagrams: The heartbeats sent within data centres so far.
        remote_datagrams: Those sent between data centres.
        now_ms: The current time.
    """

    def __init__(self, host_count: int, seed: int) -> None:
        rng = random.Random(seed)
        self.hosts = [Host(n, rng) for n in range(host_count)]
        self._by_name = {host.contact.host: host for host in self.hosts}
        self._in_transit: list[tuple[int, int, str, data.Heartbeat]] = []
        self._sent = 0
        self.near_datagrams = 0
        self.remote_datagrams = 0
        self.now_ms = 0
        contacts = [host.contact for host in self.hosts]
        for host in self.hosts:
            host.table.set_host_list(contacts, 0)

    def run(self, duration_ms: int) -> None:
        """Runs for some time."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self._deliver()
            self.run_calls()
            for host in self.hosts:
                elapsed_ms = self.now_ms - host.phase_ms
                if elapsed_ms % peer_table_lib.HEARTBEAT_INTERVAL_MS < STEP_MS:
                    self._send_regularly(host)
            self.now_ms += STEP_MS

    def report_unresponsive(self, tag: int, avoid_ms: int) -> None:
        """Lets the first host report an upstream to its peers at once."""
        host = self.hosts[0]
        host.own_reports = (data.UpstreamReport(tag, 0.0, avoid_ms),)
        self.send(host, host.table.near_targets())

    def near_share_with_report(self, tag: int) -> float:
        """Returns the share of the first data centre that avoids an upstream.

        The host that reports it does not count.
        """
        near = self.hosts[DATA_CENTRES::DATA_CENTRES]
        informed = [
            host
            for host in near
            if tag in host.reports.avoid_ms_by_tag(self.now_ms)
        ]
        return len(informed) / len(near)

    def kill(self, number: int) -> None:
        """Stops a host, which then sends nothing."""
        self.hosts[number].is_dead = True

    def host_counts(self) -> list[int]:
        """Returns how many hosts each live host counts."""
        return [
            host.table.host_count(self.now_ms)
            for host in self.hosts
            if not host.is_dead
        ]

    def follower_count(self) -> int:
        """Returns how many hosts follow the store."""
        return sum(host.is_following for host in self.hosts)

    def run_calls(self) -> None:
        """Lets the hosts call the store; here it answers each at once."""

    def own_claim(self, host: Host) -> data.FollowerClaim | None:
        """Returns the claim of a host to follow the store, if it does."""
        if not host.is_following:
            return None
        return data.FollowerClaim(0, self.now_ms)

    def set_must_follow(self, host: Host, *, must_follow: bool) -> None:
        """Records whether a host has to follow the store."""
        host.is_following = must_follow

    def handle_revision(self, host: Host, heartbeat: data.Heartbeat) -> None:
        """Acts on the revision that a peer of a host has."""

    def _send_regularly(self, host: Host) -> None:
        if host.is_dead:
            return
        self.set_must_follow(
            host,
            must_follow=host.table.must_follow(self.now_ms, is_leaving=False),
        )
        receivers = host.table.near_targets()
        is_follower = self.own_claim(host) is not None
        interval_ms = heartbeat_sender.REMOTE_HEARTBEAT_INTERVAL_MS
        if is_follower:
            interval_ms = heartbeat_sender.REMOTE_FOLLOWER_INTERVAL_MS
        if host.table.is_large_fleet or self.now_ms % interval_ms < (
            peer_table_lib.HEARTBEAT_INTERVAL_MS
        ):
            receivers = receivers + host.table.remote_targets(
                self.now_ms, is_follower=is_follower
            )
        self.send(host, receivers)

    def send(self, host: Host, receivers: list[data.Contact]) -> None:
        """Sends a heartbeat of a host."""
        host.sequence += 1
        reports = host.own_reports + host.reports.relayed(
            host.own_reports, self.now_ms
        )
        heartbeat = builders.heartbeat(
            host.contact.host,
            data_centre=host.contact.data_centre,
            sequence=host.sequence,
            revision=host.revision,
            followers=host.table.followers.reported_claims(
                self.now_ms, self.own_claim(host)
            ),
            upstreams=reports,
            live_counts=host.table.live_counts(self.now_ms),
        )
        for contact in receivers:
            if contact.data_centre == host.contact.data_centre:
                self.near_datagrams += 1
            else:
                self.remote_datagrams += 1
            self._sent += 1
            heapq.heappush(
                self._in_transit,
                (self.now_ms + DELAY_MS, self._sent, contact.host, heartbeat),
            )

    def _deliver(self) -> None:
        while self._in_transit and self._in_transit[0][0] <= self.now_ms:
            _, _, name, heartbeat = heapq.heappop(self._in_transit)
            host = self._by_name[name]
            if host.is_dead:
                continue
            host.table.record_heartbeat(heartbeat, self.now_ms)
            self.handle_revision(host, heartbeat)
            if host.reports.record(heartbeat.upstreams, self.now_ms):
                self.send(host, host.table.near_targets())
