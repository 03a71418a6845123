"""What one run of a fleet of membership cores shows."""

import dataclasses
import statistics
import time

from sapphire_lab.membership import builders
from sapphire_lab.membership import network

_SETTLE_MS = 3_000
_IDLE_MS = 5_000
_CHANGE_MS = 6_000
_EVENT_MS = 12_000
_HEAD_BYTES = bytes(40)
_FACT = "urgent/head"
_REVISION = 7


@dataclasses.dataclass(frozen=True, slots=True)
class FleetFigures:
    """Figures of one fleet; bytes are sent and received, headers included.

    Attributes:
        hosts: The number of hosts.
        join_bytes: Bytes of a host that joins a fleet that is complete.
        idle_bytes: Bytes a second of a host that is not a relay.
        idle_relay_bytes: Bytes a second of a relay.
        idle_us: Processor time of a core, in microseconds a second.
        change_bytes: Further bytes of a host for a head and its barrier.
        change_relay_bytes: The same for a relay.
        spread_ms: The time until the last host knew the head.
        barrier_ms: The time from the first prepared host until the last host
            knew that all had prepared.
        crash_bytes: Further bytes of a host for a death of another.
        crash_relay_bytes: The same for a relay.
        crash_detection_ms: The time until the last host knew of it.
    """

    hosts: int
    join_bytes: float
    idle_bytes: float
    idle_relay_bytes: float
    idle_us: float
    change_bytes: float
    change_relay_bytes: float
    spread_ms: int
    barrier_ms: int
    crash_bytes: float
    crash_relay_bytes: float
    crash_detection_ms: int


class _Meter:
    """Bytes of hosts and relays since it was read last."""

    def __init__(self, net: network.Network, relay_ids: set[str]) -> None:
        self._net = net
        self._relay_ids = relay_ids
        self._bytes_by_id = self._read()

    def take(self) -> tuple[float, float]:
        """Returns the mean bytes of other hosts and of relays."""
        before = self._bytes_by_id
        self._bytes_by_id = self._read()
        plain: list[int] = []
        relays: list[int] = []
        for host_id, count in self._bytes_by_id.items():
            if not self._net.nodes_by_id[host_id].is_running:
                continue
            delta = count - before.get(host_id, 0)
            if host_id in self._relay_ids:
                relays.append(delta)
                continue
            plain.append(delta)
        return statistics.mean(plain), statistics.mean(relays)

    def _read(self) -> dict[str, int]:
        """Returns the bytes of each host so far."""
        return {
            host_id: node.sent_bytes + node.received_bytes
            for host_id, node in self._net.nodes_by_id.items()
        }


def measure_fleet(
    seed: int, data_centres: int, hosts_each: int
) -> FleetFigures:
    """Runs a fleet through a join, a change and a death.

    Args:
        seed: The seed of all random choices.
        data_centres: The number of data centres.
        hosts_each: The hosts of each, three or more.

    Returns:
        The figures.
    """
    net = builders.grown_fleet(seed, data_centres, hosts_each)
    net.run(_SETTLE_MS * 2)
    joiner_id = "joiner"
    joiner = net.start(
        network.host_address(joiner_id, "dc0", "10.255.0.1"),
        builders.seeds(builders.addresses(1, 1)),
    )
    net.run(_SETTLE_MS * 2)
    join_bytes = float(joiner.sent_bytes + joiner.received_bytes)
    net.run(_SETTLE_MS)
    relay_ids = {
        relay_id
        for node in net.nodes_by_id.values()
        for relay_id in node.core.relays()
    }
    meter = _Meter(net, relay_ids)
    started_ns = time.process_time_ns()
    net.run(_IDLE_MS)
    idle_ns = time.process_time_ns() - started_ns
    idle, idle_relay = (value * 1_000 / _IDLE_MS for value in meter.take())
    spread_ms, barrier_ms = _change(net)
    change, change_relay = meter.take()
    crash_detection_ms = _death(net, min(set(net.nodes_by_id) - relay_ids))
    death, death_relay = meter.take()
    return FleetFigures(
        hosts=data_centres * hosts_each,
        join_bytes=join_bytes,
        idle_bytes=idle,
        idle_relay_bytes=idle_relay,
        idle_us=idle_ns / len(net.nodes_by_id) / _IDLE_MS,
        change_bytes=change - idle * _CHANGE_MS / 1_000,
        change_relay_bytes=change_relay - idle_relay * _CHANGE_MS / 1_000,
        spread_ms=spread_ms,
        barrier_ms=barrier_ms,
        crash_bytes=death - idle * _EVENT_MS / 1_000,
        crash_relay_bytes=death_relay - idle_relay * _EVENT_MS / 1_000,
        crash_detection_ms=crash_detection_ms,
    )


def _change(net: network.Network) -> tuple[int, int]:
    """Spreads a head; each host prepares it as soon as it knows it."""
    started_ms = net.now_ms
    end_ms = started_ms + _CHANGE_MS
    first_id = min(net.nodes_by_id)
    core = net.nodes_by_id[first_id].core
    actions = core.set_fact(_FACT, _REVISION, _HEAD_BYTES, net.now_ms)
    net.perform(first_id, actions.ok)
    prepared_ids: set[str] = set()
    barrier_ms = _CHANGE_MS
    while net.now_ms < end_ms:
        for host_id, node in net.nodes_by_id.items():
            if host_id in prepared_ids or _FACT not in node.facts_ms:
                continue
            prepared_ids.add(host_id)
            core = node.core
            prepared = core.set_prepared_revision(_REVISION, net.now_ms)
            net.perform(host_id, prepared)
        net.run(10)
        if barrier_ms < _CHANGE_MS:
            continue
        is_done = all(
            node.core.view().prepared_everywhere == _REVISION
            for node in net.nodes_by_id.values()
        )
        if is_done:
            barrier_ms = net.now_ms - started_ms
    times_ms = [
        node.facts_ms.get(_FACT, end_ms) for node in net.nodes_by_id.values()
    ]
    return max(times_ms) - started_ms, barrier_ms


def _death(net: network.Network, host_id: str) -> int:
    """Stops a host and returns when the last other one knew of it."""
    started_ms = net.now_ms
    net.stop(host_id)
    crash_detection_ms = _EVENT_MS
    while net.now_ms < started_ms + _EVENT_MS:
        net.run(50)
        if crash_detection_ms < _EVENT_MS:
            continue
        is_known = all(
            host_id not in node.core.view().members_by_id
            for node in net.running().values()
        )
        if is_known:
            crash_detection_ms = net.now_ms - started_ms
    return crash_detection_ms
