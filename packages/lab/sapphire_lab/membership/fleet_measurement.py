"""Measures traffic, processor time and delays of a simulated fleet."""

import dataclasses
import statistics
import time

from sapphire_lab.membership import builders
from sapphire_lab.membership import network

_SETTLE_MS = 3_000
_IDLE_MS = 5_000
_CHANGE_MS = 6_000
_CRASH_MS = 12_000
_HEAD_VALUE = bytes(40)
_FACT_KEY = "urgent/head"
_REVISION = 7


@dataclasses.dataclass(frozen=True, slots=True)
class FleetFigures:
    """Figures of one fleet; bytes are sent and received, headers included.

    Attributes:
        hosts: The number of hosts.
        join_bytes: The bytes of a host while it joins the running fleet.
        idle_bytes: The bytes per second of a host that is not a relay, without
            changes.
        idle_relay_bytes: The bytes per second of a relay, without changes.
        idle_us: The processor time of a core without changes, in microseconds
            per second.
        change_bytes: The additional bytes of a host that is not a relay for a
            new configuration head and its barrier.
        change_relay_bytes: The additional bytes of a relay for the same.
        spread_ms: The time until the last host knew the head.
        barrier_ms: The time from the publication of the head until the last
            host knew that all had prepared.
        crash_bytes: The additional bytes of a host that is not a relay for the
            crash of another host.
        crash_relay_bytes: The additional bytes of a relay for the same.
        crash_detection_ms: The time until the crashed host was in no view.
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


class _TrafficMeter:
    """Measures the bytes of hosts and relays between two readings."""

    def __init__(self, net: network.Network, relay_ids: set[str]) -> None:
        self._net = net
        self._relay_ids = relay_ids
        self._bytes_by_id = self._read()

    def read_delta(self) -> tuple[float, float]:
        """Returns the mean bytes since the last call.

        Returns:
            The mean of running hosts that are not relays, and that of relays.
        """
        before = self._bytes_by_id
        self._bytes_by_id = self._read()
        others: list[int] = []
        relays: list[int] = []
        for host_id, count in self._bytes_by_id.items():
            if not self._net.hosts_by_id[host_id].is_running:
                continue
            delta = count - before.get(host_id, 0)
            if host_id in self._relay_ids:
                relays.append(delta)
                continue
            others.append(delta)
        return statistics.mean(others), statistics.mean(relays)

    def _read(self) -> dict[str, int]:
        """Returns the total bytes of each host so far."""
        return {
            host_id: simulated_host.sent_bytes + simulated_host.received_bytes
            for host_id, simulated_host in self._net.hosts_by_id.items()
        }


def measure_fleet(
    seed: int, data_centres: int, hosts_each: int
) -> FleetFigures:
    """Measures a fleet through a join, a configuration change and a crash.

    Args:
        seed: The seed of all random choices.
        data_centres: The number of data centres.
        hosts_each: The number of hosts in each, three or more.

    Returns:
        The figures.
    """
    net = builders.preloaded_fleet(seed, data_centres, hosts_each)
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
        for simulated_host in net.hosts_by_id.values()
        for relay_id in simulated_host.core.relays()
    }
    meter = _TrafficMeter(net, relay_ids)
    started_ns = time.process_time_ns()
    net.run(_IDLE_MS)
    idle_ns = time.process_time_ns() - started_ns
    idle, idle_relay = (
        value * 1_000 / _IDLE_MS for value in meter.read_delta()
    )
    spread_ms, barrier_ms = _measure_change(net)
    change, change_relay = meter.read_delta()
    crash_detection_ms = _measure_crash(
        net, min(set(net.hosts_by_id) - relay_ids)
    )
    crash, crash_relay = meter.read_delta()
    return FleetFigures(
        hosts=data_centres * hosts_each,
        join_bytes=join_bytes,
        idle_bytes=idle,
        idle_relay_bytes=idle_relay,
        idle_us=idle_ns / len(net.hosts_by_id) / _IDLE_MS,
        change_bytes=change - idle * _CHANGE_MS / 1_000,
        change_relay_bytes=change_relay - idle_relay * _CHANGE_MS / 1_000,
        spread_ms=spread_ms,
        barrier_ms=barrier_ms,
        crash_bytes=crash - idle * _CRASH_MS / 1_000,
        crash_relay_bytes=crash_relay - idle_relay * _CRASH_MS / 1_000,
        crash_detection_ms=crash_detection_ms,
    )


def _measure_change(net: network.Network) -> tuple[int, int]:
    """Publishes a head, which each host prepares as soon as it knows it.

    Returns:
        The times until all hosts knew the head and until all knew that it
        was prepared everywhere, in milliseconds.
    """
    started_ms = net.now_ms
    end_ms = started_ms + _CHANGE_MS
    first_id = min(net.hosts_by_id)
    core = net.hosts_by_id[first_id].core
    actions = core.set_fact(_FACT_KEY, _REVISION, _HEAD_VALUE, net.now_ms)
    net.apply_actions(first_id, actions.ok)
    prepared_ids: set[str] = set()
    barrier_ms = _CHANGE_MS
    while net.now_ms < end_ms:
        for host_id, simulated_host in net.hosts_by_id.items():
            if (
                host_id in prepared_ids
                or _FACT_KEY not in simulated_host.fact_changed_ms_by_key
            ):
                continue
            prepared_ids.add(host_id)
            core = simulated_host.core
            prepared = core.set_prepared_revision(_REVISION, net.now_ms)
            net.apply_actions(host_id, prepared)
        net.run(10)
        if barrier_ms < _CHANGE_MS:
            continue
        is_prepared_everywhere = all(
            simulated_host.core.view().prepared_everywhere == _REVISION
            for simulated_host in net.hosts_by_id.values()
        )
        if is_prepared_everywhere:
            barrier_ms = net.now_ms - started_ms
    times_ms = [
        simulated_host.fact_changed_ms_by_key.get(_FACT_KEY, end_ms)
        for simulated_host in net.hosts_by_id.values()
    ]
    return max(times_ms) - started_ms, barrier_ms


def _measure_crash(net: network.Network, host_id: str) -> int:
    """Stops a host and returns when no view contains it, in milliseconds."""
    started_ms = net.now_ms
    net.stop(host_id)
    crash_detection_ms = _CRASH_MS
    while net.now_ms < started_ms + _CRASH_MS:
        net.run(50)
        if crash_detection_ms < _CRASH_MS:
            continue
        is_detected = all(
            host_id not in simulated_host.core.view().members_by_id
            for simulated_host in net.running_hosts().values()
        )
        if is_detected:
            crash_detection_ms = net.now_ms - started_ms
    return crash_detection_ms
