"""Measurements of parts of flow routing, without a simulated fleet."""

import random
import statistics
import sys
import time

from sapphire_core.flows import bucket_table
from sapphire_core.flows import flow_table
from sapphire_core.flows import router as router_lib
from sapphire_lab.flows import builders
from sapphire_lab.flows import measurement_counters

LARGE_POOL_UPSTREAMS = 73
LARGE_BUCKETS = 10_007
DEFAULT_BUCKETS = 1_021
FLOWS_PER_UPSTREAM = 2_000


def measure_imbalance(
    upstream_count: int, bucket_count: int, seed: int
) -> tuple[float, float]:
    """Measures how unevenly the bucket table spreads flows over upstreams.

    Args:
        upstream_count: The number of upstreams.
        bucket_count: The number of buckets.
        seed: The seed of the flow hashes.

    Returns:
        The greatest load and its 99th percentile, both divided by the mean.
    """
    rng = random.Random(seed)
    names = tuple(sorted(f"u{number}" for number in range(upstream_count)))
    table = bucket_table.owners("rota", bucket_count, names)
    counts = [0] * upstream_count
    for _ in range(upstream_count * FLOWS_PER_UPSTREAM):
        counts[table[rng.getrandbits(64) % bucket_count]] += 1
    return measurement_counters.load_imbalance(counts)


def bytes_per_flow_record(flows: int) -> float:
    """Returns the memory of one flow record on a replica host.

    Args:
        flows: The number of flow records.
    """
    rng = random.Random(flows)
    names = [f"u{number}" for number in range(7)]
    table = flow_table.FlowTable(0)
    for number in range(flows):
        table.record(rng.getrandbits(64), names[number % 7])
    return table_bytes(table) / flows


def table_bytes(table: flow_table.FlowTable) -> int:
    """Returns the bytes of a flow table: its dictionaries and the hashes."""
    total_bytes = 0
    for part in table.parts():
        total_bytes += sys.getsizeof(part)
        total_bytes += sum(map(sys.getsizeof, part))
    return total_bytes


def router_bytes(router: router_lib.Router, services: list[str]) -> int:
    """Returns the bytes of all flow records of a host."""
    total_bytes = 0
    for name in services:
        total_bytes += table_bytes(router.recorded_flows(name))
    return total_bytes


def microseconds_per_rebuild(upstream_count: int, bucket_count: int) -> float:
    """Returns the time in which a host prepares a change of one pool.

    Args:
        upstream_count: The upstreams before the change adds one.
        bucket_count: The number of buckets.

    Returns:
        The median of five attempts in microseconds.
    """
    samples = []
    upstreams = [
        builders.upstream(f"u{item}") for item in range(upstream_count + 1)
    ]
    names = [item.name for item in upstreams]
    for attempt in range(5):
        router = router_lib.Router(f"h{attempt}")
        before = builders.service(
            f"s{attempt}", upstreams, [names[:-1]], bucket_count=bucket_count
        )
        after = builders.service(
            f"s{attempt}",
            upstreams,
            [names[:-1], names],
            bucket_count=bucket_count,
        )
        router.prepare(builders.configuration(1, [before]), 0)
        start = time.perf_counter()
        router.prepare(builders.configuration(2, [after]), 0)
        samples.append(time.perf_counter() - start)
    return statistics.median(samples) * 1e6
