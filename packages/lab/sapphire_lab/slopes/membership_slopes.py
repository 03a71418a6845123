"""Measures how the cost of the membership grows with the fleet."""

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

_HOST_COUNTS = (24, 48, 96, 192)
_DATA_CENTRE_COUNTS = (2, 4, 8)
_HOSTS_PER_DATA_CENTRE = 12
_KNOWN_HOST_COUNTS = (500, 1_000, 2_000)
_ENTRY_COUNTS = (0, 5, 10, 20)
_BODY_BYTES = (100, 600, 1_200)
_MESSAGES_PER_ROUND = 500


def measure(seed: int) -> list[data.Slope]:
    """Measures all slopes of the membership.

    Args:
        seed: Seeds the random choices.
    """
    return [
        *_by_hosts(seed),
        *_by_data_centres(seed),
        *_by_known_hosts(),
        *_by_entries(),
    ]


def _by_hosts(seed: int) -> list[data.Slope]:
    """Measures fleets of one data centre of growing size."""
    figures_by_size = {
        count: fleet_measurement.measure_fleet(seed, 1, count)
        for count in _HOST_COUNTS
    }
    by_host_count = {
        float(count): figures for count, figures in figures_by_size.items()
    }
    by_doublings = {
        math.log2(count): figures for count, figures in figures_by_size.items()
    }
    log_unit = "doubling of a data centre's hosts"
    host = "host of the data centre"
    return [
        fit.fit_line(
            "gossip_idle_bytes",
            "bytes/s",
            host,
            {
                size: figures.idle_bytes
                for size, figures in by_host_count.items()
            },
        ),
        fit.fit_line(
            "gossip_change_bytes",
            "bytes",
            log_unit,
            {
                size: figures.change_bytes
                for size, figures in by_doublings.items()
            },
        ),
        fit.fit_line(
            "gossip_death_bytes",
            "bytes",
            log_unit,
            {
                size: figures.crash_bytes
                for size, figures in by_doublings.items()
            },
        ),
        fit.fit_line(
            "gossip_spread_ms",
            "ms",
            log_unit,
            {size: figures.spread_ms for size, figures in by_doublings.items()},
        ),
        fit.fit_line(
            "gossip_barrier_ms",
            "ms",
            log_unit,
            {
                size: figures.barrier_ms
                for size, figures in by_doublings.items()
            },
        ),
        fit.fit_line(
            "gossip_death_ms",
            "ms",
            log_unit,
            {
                size: figures.crash_detection_ms
                for size, figures in by_doublings.items()
            },
        ),
        fit.fit_line(
            "gossip_join_bytes",
            "bytes",
            "known host",
            {
                size: figures.join_bytes
                for size, figures in by_host_count.items()
            },
        ),
        fit.fit_line(
            "gossip_core_us",
            "us/s",
            host,
            {size: figures.idle_us for size, figures in by_host_count.items()},
        ),
    ]


def _by_data_centres(seed: int) -> list[data.Slope]:
    """Measures relays in fleets of a growing number of data centres."""
    figures_by_size = {
        float(count - 1): fleet_measurement.measure_fleet(
            seed, count, _HOSTS_PER_DATA_CENTRE
        )
        for count in _DATA_CENTRE_COUNTS
    }
    unit = "other data centre"
    return [
        fit.fit_line(
            "relay_idle_bytes",
            "bytes/s",
            unit,
            {
                size: figures.idle_relay_bytes
                for size, figures in figures_by_size.items()
            },
        ),
        fit.fit_line(
            "relay_change_bytes",
            "bytes",
            unit,
            {
                size: figures.change_relay_bytes
                for size, figures in figures_by_size.items()
            },
        ),
        fit.fit_line(
            "relay_death_bytes",
            "bytes",
            unit,
            {
                size: figures.crash_relay_bytes
                for size, figures in figures_by_size.items()
            },
        ),
        fit.fit_line(
            "remote_spread_ms",
            "ms",
            unit,
            {
                size: figures.spread_ms
                for size, figures in figures_by_size.items()
            },
        ),
    ]


def _by_known_hosts() -> list[data.Slope]:
    """Measures the membership core of one host in a growing fleet."""
    memory: dict[float, float] = {}
    view_us: dict[float, float] = {}
    tick_us: dict[float, float] = {}
    for count in _KNOWN_HOST_COUNTS:
        core, memory[count] = resource_usage.measure_memory_bytes(
            functools.partial(_build_core, count)
        )
        times = itertools.count(1_000, 100)
        tick_us[count] = resource_usage.least_cpu_time_us(
            functools.partial(_tick, core, times)
        )
        view_us[count] = resource_usage.least_cpu_time_us(
            functools.partial(_apply_update, core, times)
        )
    return [
        fit.fit_line("roster_memory", "bytes", "known host", memory),
        fit.fit_line("view_us", "us", "known host", view_us),
        fit.fit_line("tick_us", "us", "known host", tick_us),
    ]


def _build_core(count: int) -> membership.Membership:
    """Returns a core that knows a number of hosts of its data centre."""
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
    """Ticks a core that has nothing to do."""
    core.tick(next(times))


def _apply_update(core: membership.Membership, times: Iterator[int]) -> None:
    """Applies an update of one member, so that the core builds a view."""
    now_ms = next(times)
    host = network.host_address("h0-2", "dc0", "10.0.0.2")
    entry = membership_data.MemberEntry(host, now_ms, records.MemberState.ALIVE)
    message = membership_data.GossipMessage(
        membership_data.MessageKind.RUMOR, 0, entry
    )
    core.receive(message, host.host_id, now_ms)


def _by_entries() -> list[data.Slope]:
    """Measures the codec by entries and the sealing by bytes of a message."""
    codec_us: dict[float, float] = {}
    hosts = builders.addresses(1, max(_ENTRY_COUNTS) + 1)
    entries = tuple(
        membership_data.MemberEntry(host, 1, records.MemberState.ALIVE)
        for host in hosts
    )
    for count in _ENTRY_COUNTS:
        message = membership_data.GossipMessage(
            membership_data.MessageKind.PING,
            1,
            entries[0],
            members=entries[1 : count + 1],
        )
        codec_us[count] = (
            resource_usage.least_cpu_time_us(
                functools.partial(_encode_and_decode, message)
            )
            / _MESSAGES_PER_ROUND
        )
    sealing_us: dict[float, float] = {}
    for size in _BODY_BYTES:
        durations = measure_sealing.measure(size, _MESSAGES_PER_ROUND)
        sealing_us[size] = durations["seal_us"] + durations["open_us"]
    return [
        fit.fit_line("codec_us", "us", "entry in a message", codec_us),
        fit.fit_line("sealing_us", "us", "byte of a body", sealing_us),
    ]


def _encode_and_decode(message: membership_data.GossipMessage) -> None:
    """Encodes and decodes a message many times."""
    for _ in range(_MESSAGES_PER_ROUND):
        message_codec.decode(message_codec.encode(message))
