"""Cost of flow routing for each further flow, bucket, host or packet.

Where a cost grows with a size, it is measured at two sizes, and the function
returns the growth for one more.
"""

import random
import statistics
import time

from sapphire_core.flows import bucket_table
from sapphire_core.flows import handover_source
from sapphire_core.flows import rendezvous
from sapphire_core.flows import router as router_lib
from sapphire_lab.flows import builders
from sapphire_lab.flows import component_measurements

ATTEMPTS = 5


def bytes_per_recorded_flow() -> float:
    """Returns the memory of one more flow record on one replica host."""
    small = component_measurements.bytes_per_flow_record(20_000) * 20_000
    large = component_measurements.bytes_per_flow_record(100_000) * 100_000
    return (large - small) / 80_000


def bytes_per_bucket_of_settled_service() -> float:
    """Returns the memory of one more bucket of a service without a change."""
    reference_bytes = 8
    shared_flag_bytes = 1
    table = bucket_table.owners("rota", 1_021, ("a", "b", "c"))
    return reference_bytes + shared_flag_bytes + table.itemsize


def microseconds_per_change_and_bucket() -> float:
    """Returns the time to prepare a change of a pool for one more bucket."""
    small = component_measurements.microseconds_per_rebuild(7, 1_021)
    large = component_measurements.microseconds_per_rebuild(7, 4_093)
    return (large - small) / (4_093 - 1_021)


def microseconds_per_rendezvous_order_and_host() -> float:
    """Returns the time to order hosts for a bucket, for one more host."""
    samples = []
    for hosts in (500, 1_500):
        members = {}
        for number in range(hosts):
            host_id = f"h{number}"
            members[host_id] = builders.member(host_id, f"dc{number % 10}")
        orders = rendezvous.RendezvousOrders()
        orders.set_members(members)
        start = time.perf_counter()
        for bucket in range(50):
            orders.order("rota", bucket)
        samples.append((time.perf_counter() - start) / 50 * 1e6)
    return (samples[1] - samples[0]) / 1_000


def microseconds_per_settled_packet() -> float:
    """Returns the time to route a packet of a settled bucket."""
    upstreams = [builders.upstream(f"u{number}") for number in range(7)]
    names = [item.name for item in upstreams]
    service = builders.service("rota", upstreams, [names], bucket_count=1_021)
    router = router_lib.Router("h1")
    view = builders.view([builders.member("h1")], 1)
    router.set_view(view, 0)
    router.prepare(builders.configuration(1, [service]), 0)
    router.set_view(view, 0)
    key = builders.service_key(service)
    rng = random.Random(1)
    flows = [rng.getrandbits(64) for _ in range(20_000)]
    samples = []
    for _ in range(ATTEMPTS):
        start = time.perf_counter()
        for flow_hash in flows:
            router.route(key, flow_hash, False, False, 100)
        samples.append((time.perf_counter() - start) / len(flows) * 1e6)
    return statistics.median(samples)


def handover_bytes_per_flow() -> float:
    """Returns the control bytes to hand over one flow record."""
    page = handover_source.PAGE_OVERHEAD_BYTES / handover_source.PAGE_FLOWS
    return handover_source.FLOW_BYTES + page


def ambiguous_share(upstream_count: int, bucket_count: int) -> float:
    """Returns the share of buckets that one added upstream makes ambiguous.

    Args:
        upstream_count: The upstreams before the change.
        bucket_count: The number of buckets.
    """
    before = tuple(sorted(f"u{number}" for number in range(upstream_count)))
    after = tuple(sorted([*before, "new"]))
    ambiguous = bucket_table.ambiguous_buckets(
        "rota", bucket_count, (before, after)
    )
    return len(ambiguous) / bucket_count


def all_slopes() -> dict[str, float]:
    """Returns every cost by name."""
    return {
        "bytes_per_recorded_flow": bytes_per_recorded_flow(),
        "bytes_per_bucket": bytes_per_bucket_of_settled_service(),
        "us_per_change_and_bucket": microseconds_per_change_and_bucket(),
        "us_per_order_and_host": microseconds_per_rendezvous_order_and_host(),
        "us_per_settled_packet": microseconds_per_settled_packet(),
        "handover_bytes_per_flow": handover_bytes_per_flow(),
        "ambiguous_share_7_targets": ambiguous_share(7, 1_021),
        "ambiguous_share_73_targets": ambiguous_share(73, 10_007),
    }
