"""The hosts of a load simulation, which hear of each other late.

Each host has the steering and the peer table of a real one. They exchange
heartbeats at the regular interval, to the peers that the peer table names, and
read them after a fixed delay. Nothing else passes between them.
"""

from collections.abc import Callable
import dataclasses
import heapq
import random
import zlib

from sapphire_core.peers import data as peer_data
from sapphire_core.peers import peer_table as peer_table_lib
from sapphire_core.peers import upstream_reports
from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import steering as steering_lib
from sapphire_lab.tagged_flows import builders

TICK_MS = 10
SWEEP_MS = 100
# In a small fleet, heartbeats go to other data centres once a second.
REMOTE_INTERVAL_MS = 1_000
CONTACT_MS = 6_000
_HASHES = 2**32

Deliver = Callable[[data.Action, str], None]


@dataclasses.dataclass(frozen=True, slots=True)
class FleetPlan:
    """The hosts of a simulation.

    Attributes:
        hosts: How many there are.
        data_centres: Their data centres, with equal numbers of hosts.
        heartbeat_delay_ms: How long after it was sent a heartbeat is read; a
            host reads up to 20 ms after the arrival.
        first_share: The share of the flows that come from callers of the first
            data centre; the others are spread over all hosts alike.
        objective_ms: The latency objective of the route.
    """

    hosts: int = 1
    data_centres: tuple[str, ...] = (builders.DATA_CENTRE,)
    heartbeat_delay_ms: int = 22
    first_share: float = 0.0
    objective_ms: int = 200


class _Host:
    """A host with its steering and its peers."""

    def __init__(self, number: int, plan: FleetPlan, rng: random.Random):
        self.data_centre = plan.data_centres[number % len(plan.data_centres)]
        self.contact = builders.heartbeat(
            f"host-{number}", data_centre=self.data_centre
        ).contact
        self.steering = steering_lib.Steering(
            self.data_centre, rng, lambda decision: None
        )
        self.steering.configure(
            builders.configuration(objective_ms=plan.objective_ms)
        )
        self.peers = peer_table_lib.PeerTable(self.contact, rng, CONTACT_MS)
        self.phase_ms = rng.randrange(peer_table_lib.HEARTBEAT_INTERVAL_MS)
        self.sequence = 0
        self.last_interval = 0


class LoadFleet:
    """The hosts in front of one service.

    Args:
        plan: How many hosts there are, and where.
        upstreams: The upstreams of the service, as registered.
        rng: All random choices.
        deliver: Called with what a host sends of its own accord and the data
            centre of that host.
    """

    def __init__(
        self,
        plan: FleetPlan,
        upstreams: list[data.Upstream],
        rng: random.Random,
        deliver: Deliver,
    ) -> None:
        self._plan = plan
        self._rng = rng
        self._deliver = deliver
        self._hosts = [_Host(n, plan, rng) for n in range(plan.hosts)]
        self._by_name = {host.contact.host: host for host in self._hosts}
        self._in_transit: list[tuple[int, int, str, peer_data.Heartbeat]] = []
        self._sent = 0
        contacts = [host.contact for host in self._hosts]
        for host in self._hosts:
            if plan.hosts > 1:
                host.peers.set_host_list(contacts, 0)
            for number, upstream in enumerate(upstreams):
                host.steering.upstream_table.put(upstream, number + 1, 0)

    def handle(
        self, packet: data.Packet, now_ms: int
    ) -> tuple[data.Action, str]:
        """Lets the host of a flow handle a packet.

        The fabric routes all packets of a flow to one host.

        Args:
            packet: The packet.
            now_ms: The current time.

        Returns:
            What the host does, and its data centre.
        """
        flow_hash = zlib.crc32(b"%d" % packet.flow_id.caller_port)
        hosts = self._hosts
        if flow_hash / _HASHES < self._plan.first_share:
            hosts = hosts[:: len(self._plan.data_centres)]
        host = hosts[flow_hash % len(hosts)]
        return host.steering.handle(packet, now_ms), host.data_centre

    def step(self, now_ms: int) -> None:
        """Runs what is due at all hosts."""
        if self._plan.hosts > 1:
            self._exchange_heartbeats(now_ms)
        for host in self._hosts:
            if now_ms % TICK_MS == 0 and host.steering.has_pending:
                for action in host.steering.tick(now_ms):
                    self._deliver(action, host.data_centre)
            if now_ms % SWEEP_MS == 0:
                host.steering.sweep(now_ms)

    def _exchange_heartbeats(self, now_ms: int) -> None:
        """Delivers the heartbeats that are due, and sends the next ones."""
        while self._in_transit and self._in_transit[0][0] <= now_ms:
            _, _, name, heartbeat = heapq.heappop(self._in_transit)
            self._by_name[name].peers.record_heartbeat(heartbeat, now_ms)
        for host in self._hosts:
            interval = (now_ms - host.phase_ms) // (
                peer_table_lib.HEARTBEAT_INTERVAL_MS
            )
            if interval > host.last_interval:
                host.last_interval = interval
                self._apply_reports(host, now_ms)
                self._send_heartbeat(host, now_ms)

    def _apply_reports(self, host: _Host, now_ms: int) -> None:
        """Gives the steering of a host what its peers have reported."""
        in_flight_by_tag = upstream_reports.total_in_flight(
            host.peers.live_heartbeats(now_ms),
            host.peers.near_host_count(now_ms) - 1,
        )
        host.steering.apply_peer_reports(
            in_flight_by_tag, {}, host.peers.host_count(now_ms), now_ms
        )

    def _send_heartbeat(self, host: _Host, now_ms: int) -> None:
        """Sends the regular heartbeat of a host."""
        receivers = host.peers.near_targets()
        intervals_per_remote = (
            REMOTE_INTERVAL_MS // peer_table_lib.HEARTBEAT_INTERVAL_MS
        )
        if (
            host.peers.is_large_fleet
            or host.last_interval % intervals_per_remote == 0
        ):
            receivers = receivers + host.peers.remote_targets(
                now_ms, is_follower=False
            )
        host.sequence += 1
        heartbeat = builders.heartbeat(
            host.contact.host,
            data_centre=host.data_centre,
            sequence=host.sequence,
            upstreams=host.steering.selector.upstream_reports(now_ms),
            live_counts=host.peers.live_counts(now_ms),
        )
        due_ms = now_ms + self._plan.heartbeat_delay_ms
        for contact in receivers:
            self._sent += 1
            heapq.heappush(
                self._in_transit, (due_ms, self._sent, contact.host, heartbeat)
            )
