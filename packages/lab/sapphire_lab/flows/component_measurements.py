"""Figures of flow routing beside those of a run."""

import random
import statistics
import sys
import time

from sapphire_core.flows import bucket_table
from sapphire_core.flows import flow_table
from sapphire_core.flows import router as router_lib
from sapphire_lab.flows import builders
from sapphire_lab.flows import measurement_counters

LARGE_POOL = 73
LARGE_BUCKETS = 10_007
TODAY_BUCKETS = 1_021
FLOWS_PER_TARGET = 2_000


def measure_imbalance(
    targets: int, bucket_count: int, seed: int
) -> tuple[float, float]:
    """Returns the greatest load and the 99th percentile over the mean.

    Args:
        targets: The number of upstreams.
        bucket_count: The number of buckets.
        seed: The seed of the flow hashes.
    """
    rng = random.Random(seed)
    names = tuple(sorted(f"u{number}" for number in range(targets)))
    table = bucket_table.owners("rota", bucket_count, names)
    counts = [0] * targets
    for _ in range(targets * FLOWS_PER_TARGET):
        counts[table[rng.getrandbits(64) % bucket_count]] += 1
    return measurement_counters.load_imbalance(counts)


def bytes_per_flow_record(flows: int) -> float:
    """Returns the bytes that one recorded flow takes on a keeper.

    Args:
        flows: The number of recorded flows.
    """
    rng = random.Random(flows)
    names = [f"u{number}" for number in range(7)]
    table = flow_table.FlowTable(0)
    for number in range(flows):
        table.record(rng.getrandbits(64), names[number % 7])
    return table_bytes(table) / flows


def table_bytes(table: flow_table.FlowTable) -> int:
    """Returns the bytes of a table: its dictionaries and the hashes."""
    total = 0
    for part in table.parts():
        total += sys.getsizeof(part)
        total += sum(map(sys.getsizeof, part))
    return total


def router_bytes(router: router_lib.Router, services: list[str]) -> int:
    """Returns the bytes of all recorded flows of a host."""
    total = 0
    for name in services:
        total += table_bytes(router.recorded_flows(name))
    return total


def microseconds_per_rebuild(targets: int, bucket_count: int) -> float:
    """Returns the time that a host takes to prepare a change of one pool."""
    samples = []
    upstreams = [builders.upstream(f"u{item}") for item in range(targets + 1)]
    names = [item.name for item in upstreams]
    for attempt in range(5):
        router = router_lib.Router(f"h{attempt}")
        first = builders.service(
            f"s{attempt}", upstreams, [names[:-1]], bucket_count=bucket_count
        )
        second = builders.service(
            f"s{attempt}",
            upstreams,
            [names[:-1], names],
            bucket_count=bucket_count,
        )
        router.prepare(builders.configuration(1, [first]), 0)
        begin = time.perf_counter()
        router.prepare(builders.configuration(2, [second]), 0)
        samples.append(time.perf_counter() - begin)
    return statistics.median(samples) * 1e6
