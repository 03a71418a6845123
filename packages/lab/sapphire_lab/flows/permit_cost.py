"""Measures the cost of permits to truncate pool histories on one host.

Run with `python -m sapphire_lab.flows.permit_cost`; the only line is a JSON
object: the size of the largest fact, and the processor time to record a
configuration and a view and to decide on a truncation.
"""

from collections.abc import Callable
import json
import statistics
import time

from sapphire_core.flows import history_permits
from sapphire_core.flows import history_truncation
from sapphire_core.membership import data
from sapphire_core.membership import message_size
from sapphire_lab.flows import builders
from sapphire_wire import permit_facts

SERVICES = 24_000
HOSTS = 64
BUCKETS = 1_021
ROUNDS = 9
FACT_TTL_MS = 300_000
POOLS = ("abc", "ab", "abc", "bc", "abc")
MS_PER_SECOND = 1_000


def main() -> None:
    """Measures each step and prints the JSON object."""
    pool = [builders.upstream(name) for name in "abc"]
    services = [
        builders.service(f"service-{index:05d}", pool, ["abc"])
        for index in range(SERVICES)
    ]
    configuration = builders.configuration(1, services)
    tracker = history_permits.StabilityTracker(1, 0)
    host_ids = [f"tacoma-{index:012x}" for index in range(HOSTS)]
    view = builders.view([builders.member(name) for name in host_ids])
    changed_service = builders.service(
        "rota", pool, POOLS, bucket_count=BUCKETS
    )
    changed_configuration = builders.configuration(1, [changed_service])
    permits_report = history_permits.PermitReport(1, {"rota": len(POOLS)})
    figures = {
        "fact_bytes": _fact_bytes(host_ids[0]),
        "configuration_ms": _median_ms(
            lambda: tracker.record_configuration(configuration, 0)
        ),
        "view_ms": _median_ms(lambda: tracker.record_view(view, 0)),
        "decision_ms": _median_ms(
            lambda: history_truncation.agreed_truncations(
                changed_configuration, [permits_report] * HOSTS
            )
        ),
    }
    print(json.dumps(figures))


def _fact_bytes(host_id: str) -> int:
    """Returns the size of the membership fact that holds the most permits."""
    permits = {
        f"service-{index:05d}": 1
        for index in range(history_permits.MAX_PERMITS)
    }
    report = history_permits.PermitReport((1 << 64) - 1, permits)
    value = permit_facts.encode(report)
    key = permit_facts.KEY_PREFIX + host_id
    entry = data.FactEntry(key, 1, value, FACT_TTL_MS)
    return message_size.fact_bytes(entry)


def _median_ms(step: Callable[[], object]) -> float:
    """Returns the median processor time of a step."""
    times_ms = []
    for _ in range(ROUNDS):
        start = time.process_time()
        step()
        times_ms.append((time.process_time() - start) * MS_PER_SECOND)
    return round(statistics.median(times_ms), 3)


if __name__ == "__main__":
    main()
