"""Slopes of the configuration: bytes, parts, time and memory."""

import dataclasses
import functools

from sapphire_core.slo import counters
from sapphire_data import records
from sapphire_lab.config import builders
from sapphire_lab.slopes import data
from sapphire_lab.slopes import fit
from sapphire_lab.slopes import resource_usage
from sapphire_wire.documents import packing
from sapphire_wire.documents import unpacking

_SERVICES = (1_000, 2_000, 4_000)
_TARGETS = 3
_SERIES = (200, 400, 800)
_WALL_MS = 1_800_000_000_000


def measure() -> list[data.Slope]:
    """Measures all slopes of the configuration and of its counts."""
    memory: dict[float, float] = {}
    whole: dict[float, float] = {}
    head: dict[float, float] = {}
    changed: dict[float, float] = {}
    writes: dict[float, float] = {}
    pack_us: dict[float, float] = {}
    unpack_us: dict[float, float] = {}
    next_us: dict[float, float] = {}
    for count in _SERVICES:
        targets = float(count * _TARGETS)
        before, memory[targets] = resource_usage.measure_memory_bytes(
            functools.partial(builders.configuration, _pools(count))
        )
        packed = packing.pack(before, builders.change())
        after = packing.pack(
            _with_drain(before), builders.change("w2"), _shards(packed)
        )
        new = set(after.parts_by_digest) - set(packed.parts_by_digest)
        sizes = [len(after.parts_by_digest[digest]) for digest in new]
        whole[targets] = sum(map(len, packed.parts_by_digest.values()))
        head[targets] = len(packed.head)
        changed[targets] = sum(sizes)
        writes[targets] = len(new) + 1
        pack_us[targets] = resource_usage.least_cpu_time_us(
            functools.partial(packing.pack, before, builders.change()), rounds=3
        )
        old_head = packing.unpack_head(packed.head).ok
        new_head = packing.unpack_head(after.head).ok
        parts = {**packed.parts_by_digest, **after.parts_by_digest}
        unpack_us[targets] = resource_usage.least_cpu_time_us(
            functools.partial(unpacking.unpack, old_head, parts), rounds=3
        )
        next_us[targets] = resource_usage.least_cpu_time_us(
            functools.partial(
                unpacking.unpack_incremental, new_head, parts, old_head, before
            )
        )
    return [
        fit.fit_line("configuration_memory", "bytes", "target", memory),
        fit.fit_line("configuration_bytes", "bytes", "target", whole),
        fit.fit_line("head_bytes", "bytes", "target", head),
        fit.fit_line("changed_part_bytes", "bytes", "target", changed),
        fit.fit_line("store_writes", "keys", "target", writes),
        fit.fit_line("pack_us", "us", "target", pack_us),
        fit.fit_line("unpack_us", "us", "target", unpack_us),
        fit.fit_line("unpack_next_us", "us", "target", next_us),
        _series(),
    ]


def _pools(count: int) -> dict[str, dict[str, str]]:
    """Returns the pools of some services."""
    return {
        f"service-{number}": {
            f"service-{number}-{index}": f"dc{(number + index) % 10}"
            for index in range(_TARGETS)
        }
        for number in range(count)
    }


def _shards(packed: packing.PackedConfiguration) -> int:
    """Returns the shard count of a packed configuration."""
    return packing.unpack_head(packed.head).ok.shard_count


def _with_drain(before: records.Configuration) -> records.Configuration:
    """Returns the configuration with one upstream draining."""
    services = dict(before.services_by_name)
    name = min(services)
    service = services[name]
    upstreams = dict(service.upstreams_by_name)
    first = min(upstreams)
    upstreams[first] = dataclasses.replace(
        upstreams[first], intent=records.UpstreamIntent.DRAIN
    )
    services[name] = dataclasses.replace(service, upstreams_by_name=upstreams)
    return dataclasses.replace(
        before, revision=before.revision + 1, services_by_name=services
    )


def _series() -> data.Slope:
    """Measures the service-level counts of a growing number of services."""

    def build(count: int) -> counters.SloCounters:
        counted = counters.SloCounters(_WALL_MS)
        for number in range(count):
            counted.record_flows(f"service-{number}", 1, 1, _WALL_MS)
        return counted

    memory = {
        float(count): float(
            resource_usage.measure_memory_bytes(
                functools.partial(build, count)
            )[1]
        )
        for count in _SERIES
    }
    return fit.fit_line("series_memory", "bytes", "service", memory)
