"""Simulates how a large change spreads over the hosts of a fleet.

Each host that gets the change tells a few random hosts at once, as its next
heartbeat does. The hosts that lack it pull it from peers that they know to
have it, over links that carry one body after another.
"""

import random

from sapphire_core.peers import pull_sources
from sapphire_lab.tagged_flows import builders

STEP_MS = 20
DATA_CENTRES = 5
# What a heartbeat with a change reaches, and how many followers read the store.
NOTIFIED_HOSTS = 16
FOLLOWERS = 2
HEARTBEAT_INTERVAL_MS = 240


class _Host:
    """A host: what it has, whom it may ask, and whom it serves."""

    def __init__(self, number: int, rng: random.Random) -> None:
        contact = builders.heartbeat(
            f"host-{number}", data_centre=str(number % DATA_CENTRES)
        ).contact
        self.contact = contact
        self.sources = pull_sources.PullSources(rng)
        self.known: dict[str, pull_sources.Source] = {}
        self.has_change_since_ms: int | None = None
        self.pull_ends_ms: int | None = None
        self.source: _Host | None = None
        self.served = 0
        self.peers_served_now = 0


class TransferSimulation:
    """A fleet in which the store followers have just read a large change.

    Args:
        host_count: How many hosts there are.
        transfer_ms: How long a body occupies the link of a host.
        slots: How many bodies a host serves at a time.
        seed: Seeds all random choices.
    """

    def __init__(
        self, host_count: int, transfer_ms: int, slots: int, seed: int
    ) -> None:
        self._rng = random.Random(seed)
        self._transfer_ms = transfer_ms
        self._slots = slots
        self._hosts = [_Host(n, self._rng) for n in range(host_count)]
        self._by_name = {host.contact.host: host for host in self._hosts}
        self.refusals = 0
        self.now_ms = 0
        for host in self._hosts[:FOLLOWERS]:
            host.has_change_since_ms = 0

    def run_until_all_have_it(self, limit_ms: int) -> int:
        """Returns when the last host got the change; at most `limit_ms`."""
        while self.now_ms < limit_ms:
            self._send_heartbeats()
            self._finish_pulls()
            if all(h.has_change_since_ms is not None for h in self._hosts):
                return self.now_ms
            for host in self._hosts:
                self._start_pull(host)
            self.now_ms += STEP_MS
        return limit_ms

    def most_served(self) -> int:
        """Returns how many bodies the busiest host has sent."""
        return max(host.served for host in self._hosts)

    def _send_heartbeats(self) -> None:
        """Each host with the change notifies some hosts at each interval."""
        for host in self._hosts:
            since_ms = host.has_change_since_ms
            if since_ms is None:
                continue
            if (self.now_ms - since_ms) % HEARTBEAT_INTERVAL_MS != 0:
                continue
            count = min(NOTIFIED_HOSTS, len(self._hosts))
            for receiver in self._rng.sample(self._hosts, count):
                is_near = (
                    receiver.contact.data_centre == host.contact.data_centre
                )
                receiver.known[host.contact.host] = pull_sources.Source(
                    host.contact, is_near, revision=1
                )

    def _finish_pulls(self) -> None:
        for host in self._hosts:
            if host.pull_ends_ms is None or self.now_ms < host.pull_ends_ms:
                continue
            assert host.source is not None
            host.source.peers_served_now -= 1
            host.source.served += 1
            host.pull_ends_ms = None
            host.has_change_since_ms = self.now_ms

    def _start_pull(self, host: _Host) -> None:
        if host.has_change_since_ms is not None:
            return
        if host.pull_ends_ms is not None:
            return
        source = host.sources.select(host.known.values(), self.now_ms)
        if source is None:
            return
        server = self._by_name[source.contact.host]
        if server.peers_served_now >= self._slots:
            self.refusals += 1
            host.sources.record_outcome(
                source.contact.host,
                pull_sources.PullOutcome.BUSY,
                self.now_ms,
            )
            return
        server.peers_served_now += 1
        host.source = server
        # Bodies that are sent side by side share the link.
        host.pull_ends_ms = (
            self.now_ms + self._transfer_ms * server.peers_served_now
        )
