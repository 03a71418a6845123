"""Slopes of the membership: bytes, time, processor time and memory."""

from collections.abc import Iterator
import functools
import itertools
import math

from sapphire_core.membership import data as membership_data
from sapphire_core.membership import membership
from sapphire_data import records
from sapphire_lab.membership import builders
from sapphire_lab.membership import fleet_measurement
from sapphire_lab.membership import network
from sapphire_lab.slopes import data
from sapphire_lab.slopes import fit
from sapphire_lab.slopes import resource_usage
from sapphire_lab.trust import measure_sealing
from sapphire_wire.gossip import message_codec

_HOSTS = (24, 48, 96, 192)
_DATA_CENTRES = (2, 4, 8)
_HOSTS_EACH = 12
_KNOWN_HOSTS = (500, 1_000, 2_000)
_ENTRIES = (0, 5, 10, 20)
_BODIES = (100, 600, 1_200)
_MESSAGES = 500


def measure(seed: int) -> list[data.Slope]:
    """Measures all slopes of the membership.

    Args:
        seed: The seed of all random choices.
    """
    return [
        *_by_hosts(seed),
        *_by_data_centres(seed),
        *_by_known_hosts(),
        *_by_entries(),
    ]


def _by_hosts(seed: int) -> list[data.Slope]:
    """Measures a data centre of growing size."""
    seen = {
        count: fleet_measurement.measure_fleet(seed, 1, count)
        for count in _HOSTS
    }
    by_count = {float(count): one for count, one in seen.items()}
    by_log = {math.log2(count): one for count, one in seen.items()}
    log_unit = "doubling of a data centre's hosts"
    host = "host of the data centre"
    return [
        fit.fit_line(
            "gossip_idle_bytes",
            "bytes/s",
            host,
            {size: one.idle_bytes for size, one in by_count.items()},
        ),
        fit.fit_line(
            "gossip_change_bytes",
            "bytes",
            log_unit,
            {size: one.change_bytes for size, one in by_log.items()},
        ),
        fit.fit_line(
            "gossip_death_bytes",
            "bytes",
            log_unit,
            {size: one.crash_bytes for size, one in by_log.items()},
        ),
        fit.fit_line(
            "gossip_spread_ms",
            "ms",
            log_unit,
            {size: one.spread_ms for size, one in by_log.items()},
        ),
        fit.fit_line(
            "gossip_barrier_ms",
            "ms",
            log_unit,
            {size: one.barrier_ms for size, one in by_log.items()},
        ),
        fit.fit_line(
            "gossip_death_ms",
            "ms",
            log_unit,
            {size: one.crash_detection_ms for size, one in by_log.items()},
        ),
        fit.fit_line(
            "gossip_join_bytes",
            "bytes",
            "known host",
            {size: one.join_bytes for size, one in by_count.items()},
        ),
        fit.fit_line(
            "gossip_core_us",
            "us/s",
            host,
            {size: one.idle_us for size, one in by_count.items()},
        ),
    ]


def _by_data_centres(seed: int) -> list[data.Slope]:
    """Measures the relays of a growing number of data centres."""
    seen = {
        float(count - 1): fleet_measurement.measure_fleet(
            seed, count, _HOSTS_EACH
        )
        for count in _DATA_CENTRES
    }
    unit = "other data centre"
    return [
        fit.fit_line(
            "relay_idle_bytes",
            "bytes/s",
            unit,
            {size: one.idle_relay_bytes for size, one in seen.items()},
        ),
        fit.fit_line(
            "relay_change_bytes",
            "bytes",
            unit,
            {size: one.change_relay_bytes for size, one in seen.items()},
        ),
        fit.fit_line(
            "relay_death_bytes",
            "bytes",
            unit,
            {size: one.crash_relay_bytes for size, one in seen.items()},
        ),
        fit.fit_line(
            "remote_spread_ms",
            "ms",
            unit,
            {size: one.spread_ms for size, one in seen.items()},
        ),
    ]


def _by_known_hosts() -> list[data.Slope]:
    """Measures one core that knows a growing fleet."""
    memory: dict[float, float] = {}
    view_us: dict[float, float] = {}
    tick_us: dict[float, float] = {}
    for count in _KNOWN_HOSTS:
        core, memory[count] = resource_usage.measure_memory_bytes(
            functools.partial(_knowing, count)
        )
        times = itertools.count(1_000, 100)
        tick_us[count] = resource_usage.least_cpu_time_us(
            functools.partial(_tick, core, times)
        )
        view_us[count] = resource_usage.least_cpu_time_us(
            functools.partial(_rejoin, core, times)
        )
    return [
        fit.fit_line("roster_memory", "bytes", "known host", memory),
        fit.fit_line("view_us", "us", "known host", view_us),
        fit.fit_line("tick_us", "us", "known host", tick_us),
    ]


def _knowing(count: int) -> membership.Membership:
    """Returns a core that knows some hosts of its data centre."""
    hosts = builders.addresses(1, count)
    core = membership.Membership(hosts[0], 1, (), 1)
    entries = tuple(
        membership_data.MemberEntry(host, 1, records.MemberState.ALIVE)
        for host in hosts
    )
    page = membership_data.GossipMessage(
        membership_data.MessageKind.SYNC_PAGE, 0, entries[1], members=entries
    )
    core.receive(page, hosts[1].host_id, 0)
    core.tick(500)
    return core


def _tick(core: membership.Membership, times: Iterator[int]) -> None:
    """Lets time pass where nothing has changed."""
    core.tick(next(times))


def _rejoin(core: membership.Membership, times: Iterator[int]) -> None:
    """Changes one member, so that the event builds a view."""
    now_ms = next(times)
    host = network.host_address("h0-2", "dc0", "10.0.0.2")
    entry = membership_data.MemberEntry(host, now_ms, records.MemberState.ALIVE)
    rumor = membership_data.GossipMessage(
        membership_data.MessageKind.RUMOR, 0, entry
    )
    core.receive(rumor, host.host_id, now_ms)


def _by_entries() -> list[data.Slope]:
    """Measures the codec and the sealing of messages of growing size."""
    codec_us: dict[float, float] = {}
    hosts = builders.addresses(1, max(_ENTRIES) + 1)
    entries = tuple(
        membership_data.MemberEntry(host, 1, records.MemberState.ALIVE)
        for host in hosts
    )
    for count in _ENTRIES:
        message = membership_data.GossipMessage(
            membership_data.MessageKind.PING,
            1,
            entries[0],
            members=entries[1 : count + 1],
        )
        codec_us[count] = (
            resource_usage.least_cpu_time_us(functools.partial(_code, message))
            / _MESSAGES
        )
    sealing_us: dict[float, float] = {}
    for size in _BODIES:
        timed = measure_sealing.measure(size, _MESSAGES)
        sealing_us[size] = timed["seal_us"] + timed["open_us"]
    return [
        fit.fit_line("codec_us", "us", "entry in a message", codec_us),
        fit.fit_line("sealing_us", "us", "byte of a body", sealing_us),
    ]


def _code(message: membership_data.GossipMessage) -> None:
    """Encodes and decodes a message many times."""
    for _ in range(_MESSAGES):
        message_codec.decode(message_codec.encode(message))
