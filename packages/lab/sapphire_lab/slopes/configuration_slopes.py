"""Measures how the cost of a configuration grows with its size."""

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
_UPSTREAMS_PER_SERVICE = 3
_COUNTED_SERVICES = (200, 400, 800)
_WALL_MS = 1_800_000_000_000


def measure() -> list[data.Slope]:
    """Measures all slopes of configurations and service-level counters.

    A change drains one upstream of a configuration.
    """
    memory: dict[float, float] = {}
    whole_bytes: dict[float, float] = {}
    head_bytes: dict[float, float] = {}
    changed_part_bytes: dict[float, float] = {}
    store_writes: dict[float, float] = {}
    pack_us: dict[float, float] = {}
    unpack_us: dict[float, float] = {}
    unpack_next_us: dict[float, float] = {}
    for count in _SERVICES:
        upstreams_total = float(count * _UPSTREAMS_PER_SERVICE)
        before, memory[upstreams_total] = resource_usage.measure_memory_bytes(
            functools.partial(builders.configuration, _pools(count))
        )
        packed = packing.pack(before, builders.change())
        after = packing.pack(
            _with_drain(before), builders.change("w2"), _shard_count(packed)
        )
        new_digests = set(after.parts_by_digest) - set(packed.parts_by_digest)
        sizes = [len(after.parts_by_digest[digest]) for digest in new_digests]
        whole_bytes[upstreams_total] = sum(
            map(len, packed.parts_by_digest.values())
        )
        head_bytes[upstreams_total] = len(packed.head)
        changed_part_bytes[upstreams_total] = sum(sizes)
        store_writes[upstreams_total] = len(new_digests) + 1
        pack_us[upstreams_total] = resource_usage.least_cpu_time_us(
            functools.partial(packing.pack, before, builders.change()), rounds=3
        )
        old_head = packing.unpack_head(packed.head).ok
        new_head = packing.unpack_head(after.head).ok
        parts = {**packed.parts_by_digest, **after.parts_by_digest}
        unpack_us[upstreams_total] = resource_usage.least_cpu_time_us(
            functools.partial(unpacking.unpack, old_head, parts), rounds=3
        )
        unpack_next_us[upstreams_total] = resource_usage.least_cpu_time_us(
            functools.partial(
                unpacking.unpack_incremental, new_head, parts, old_head, before
            )
        )
    return [
        fit.fit_line("configuration_memory", "bytes", "target", memory),
        fit.fit_line("configuration_bytes", "bytes", "target", whole_bytes),
        fit.fit_line("head_bytes", "bytes", "target", head_bytes),
        fit.fit_line(
            "changed_part_bytes", "bytes", "target", changed_part_bytes
        ),
        fit.fit_line("store_writes", "keys", "target", store_writes),
        fit.fit_line("pack_us", "us", "target", pack_us),
        fit.fit_line("unpack_us", "us", "target", unpack_us),
        fit.fit_line("unpack_next_us", "us", "target", unpack_next_us),
        _measure_counters(),
    ]


def _pools(count: int) -> dict[str, dict[str, str]]:
    """Returns the pools of a number of services."""
    return {
        f"service-{number}": {
            f"service-{number}-{index}": f"dc{(number + index) % 10}"
            for index in range(_UPSTREAMS_PER_SERVICE)
        }
        for number in range(count)
    }


def _shard_count(packed: packing.PackedConfiguration) -> int:
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


def _measure_counters() -> data.Slope:
    """Measures the service-level counters of a growing number of services."""

    def build(count: int) -> counters.SloCounters:
        slo_counters = counters.SloCounters(_WALL_MS)
        for number in range(count):
            slo_counters.record_flows(f"service-{number}", 1, 1, _WALL_MS)
        return slo_counters

    memory = {
        float(count): float(
            resource_usage.measure_memory_bytes(
                functools.partial(build, count)
            )[1]
        )
        for count in _COUNTED_SERVICES
    }
    return fit.fit_line("series_memory", "bytes", "service", memory)
