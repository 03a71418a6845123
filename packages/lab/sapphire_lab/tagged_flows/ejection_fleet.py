"""Hosts of two data centres that judge upstreams together, without a network.

Each request comes on a flow of its own to a random host, and each upstream
does with it what the test says. Heartbeats are exchanged each 250 ms.
"""

import collections
from collections.abc import Callable
import heapq
import random

from sapphire_core.peers import outcome_reports
from sapphire_core.peers import peer_table
from sapphire_core.peers import upstream_reports
from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import decisions
from sapphire_core.tagged_flows import steering as steering_lib
from sapphire_lab.tagged_flows import builders
from sapphire_lab.tagged_flows import outcome_builders

HOSTS = 13
UPSTREAMS = 10
DATA_CENTRES = ("tacoma", "salem")
REQUEST_INTERVAL_MS = 10
SWEEP_MS = 100

# What an upstream does with a request of a data centre's caller at a time.
Behaviour = Callable[[str, str, int], outcome_builders.Way]


class EjectionFleet:
    """Runs requests through the hosts.

    Attributes:
        flows: How many flows each upstream got since the last `clear`, by data
            centre of the caller and upstream.
        resets: How many flows the hosts have reset.
        now_ms: The current time.

    Args:
        behaviour: What upstreams do.
    """

    def __init__(self, behaviour: Behaviour) -> None:
        self._behaviour = behaviour
        self._rng = random.Random(builders.SEED)
        self._hosts = {
            (data_centre, number): self._host(data_centre)
            for data_centre in DATA_CENTRES
            for number in range(HOSTS)
        }
        self._packets: list[tuple[int, int, data.Packet, tuple[str, int]]] = []
        self._count = 0
        self.flows: collections.Counter[tuple[str, str]] = collections.Counter()
        self.resets = 0
        self.now_ms = 0

    def run(self, duration_ms: int) -> None:
        """Lets time pass with the usual requests."""
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            if self.now_ms % REQUEST_INTERVAL_MS == 0:
                self._open_flow()
            while self._packets and self._packets[0][0] <= self.now_ms:
                _, _, packet, host = heapq.heappop(self._packets)
                action = self._hosts[host].handle(packet, self.now_ms)
                self.resets += isinstance(action, data.Reset)
            if self.now_ms % SWEEP_MS == 0:
                for steering in self._hosts.values():
                    steering.sweep(self.now_ms)
            if self.now_ms % peer_table.HEARTBEAT_INTERVAL_MS == 0:
                self._exchange()
            self.now_ms += 1

    def share_of(self, upstream_id: str, data_centre: str) -> float:
        """Returns an upstream's share of the flows of a data centre's callers.

        Args:
            upstream_id: The upstream.
            data_centre: The data centre.
        """
        total = sum(
            count for key, count in self.flows.items() if key[0] == data_centre
        )
        return self.flows[data_centre, upstream_id] / total

    def clear(self) -> None:
        """Counts flows from now on."""
        self.flows.clear()

    def _host(self, data_centre: str) -> steering_lib.Steering:
        """Returns a host that knows all upstreams."""
        steering = steering_lib.Steering(data_centre, self._rng, _ignore)
        steering.configure(builders.configuration())
        for number in range(UPSTREAMS):
            steering.upstream_table.put(
                builders.upstream(f"i-{number}", data_centre="both"), 1, 0
            )
        return steering

    def _open_flow(self) -> None:
        """Opens a flow at some host and schedules its further packets."""
        data_centre = self._rng.choice(DATA_CENTRES)
        host = (data_centre, self._rng.randrange(HOSTS))
        self._count += 1
        packets = list(
            outcome_builders.packets_of(
                outcome_builders.Way.WELL, self._count, self._count
            )
        )
        flow_id = packets[0][1].flow_id
        opening = data.Packet(flow_id, True, False, False, 0, 1, 0, 0, b"")
        action = self._hosts[host].handle(opening, self.now_ms)
        if not isinstance(action, data.Forward):
            return
        upstream_id = action.upstream.upstream_id
        self.flows[data_centre, upstream_id] += 1
        way = self._behaviour(upstream_id, data_centre, self.now_ms)
        for number, (after_ms, packet) in enumerate(
            outcome_builders.packets_of(way, self._count, self._count)
        ):
            tagged = outcome_builders.with_tag(packet, action.tag)
            heapq.heappush(
                self._packets,
                (
                    self.now_ms + 4 + after_ms,
                    10 * self._count + number,
                    tagged,
                    host,
                ),
            )

    def _exchange(self) -> None:
        """Sends each host the reports of the others, and lets it judge."""
        heartbeats = {
            host: builders.heartbeat(
                f"{host[0]}-{host[1]}",
                data_centre=host[0],
                outcomes=steering.ejection_control.own_reports,
            )
            for host, steering in self._hosts.items()
        }
        for host, steering in self._hosts.items():
            received = [
                upstream_reports.ReceivedHeartbeat(
                    heartbeat, 100, other[0] == host[0]
                )
                for other, heartbeat in heartbeats.items()
                if other != host
            ]
            steering.ejection_control.update(
                outcome_reports.evidence_of_peers(received), self.now_ms
            )


def _ignore(decision: decisions.Decision) -> None:
    """Ignores a decision."""
    del decision
