"""Measures memory use and run time of the service-level counters.

Run with `python -m sapphire_lab.slo.measure_counters`; the last line is one
JSON object.
"""

import json
import time
import tracemalloc

from sapphire_core.slo import burn
from sapphire_core.slo import counters
from sapphire_core.slo import merge
from sapphire_lab.slo import builders

_SERIES = 2_000
_RECORDS = 100_000
_HOSTS = 50
_NS_PER_US = 1_000


def main() -> None:
    """Prints bytes for each series and microseconds for each operation."""
    tracemalloc.start()
    counted = counters.SloCounters(builders.NOW_MS)
    services = [f"service-{number}" for number in range(_SERIES)]
    before_bytes, _ = tracemalloc.get_traced_memory()
    for service in services:
        counted.record_flows(service, 1, 1, builders.NOW_MS)
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    start_ns = time.perf_counter_ns()
    for number in range(_RECORDS):
        service = services[number % _SERIES]
        counted.record_flows(service, 1, 1, builders.NOW_MS + number)
    recorded_ns = time.perf_counter_ns()
    full = builders.counters_with_failures(
        builders.NOW_MS - 259_200_000,
        builders.NOW_MS,
        builders.NOW_MS - 600_000,
        20,
    ).snapshot(builders.NOW_MS)
    merge_start_ns = time.perf_counter_ns()
    merged = merge.merge_series(full * _HOSTS)
    merged_ns = time.perf_counter_ns()
    burn.evaluate_all(merged, {}, (), builders.NOW_MS)
    evaluated_ns = time.perf_counter_ns()
    report = {
        "series": _SERIES,
        "bytes_per_series": (after_bytes - before_bytes) // _SERIES,
        "record_us": _us(recorded_ns - start_ns, _RECORDS),
        "merge_us_per_host_and_series": _us(merged_ns - merge_start_ns, _HOSTS),
        "evaluate_us_per_series": _us(evaluated_ns - merged_ns, 1),
    }
    print(json.dumps(report))


def _us(duration_ns: int, count: int) -> float:
    """Returns the mean microseconds of each of several operations."""
    return round(duration_ns / count / _NS_PER_US, 2)


if __name__ == "__main__":
    main()
