"""Measures how the cost of flow routing grows with size."""

from collections.abc import Iterator
import functools
import itertools

from sapphire_core.flows import flow_table
from sapphire_core.flows import rendezvous
from sapphire_core.flows import router
from sapphire_data import records
from sapphire_lab.flows import builders
from sapphire_lab.slopes import data
from sapphire_lab.slopes import fit
from sapphire_lab.slopes import resource_usage

_FLOW_COUNTS = (1_000, 2_000, 4_000, 8_000)
_SERVICE_COUNTS = (50, 100, 200)
_BUCKETS_PER_SERVICE = 251
_UPSTREAMS_PER_SERVICE = 3
_HOST_COUNTS = (250, 500, 1_000)
_BUCKETS_ORDERED = 20
_PACKETS = 2_000
_NOW_MS = 10_000


def measure() -> list[data.Slope]:
    """Measures all slopes of flow routing."""
    return [
        _measure_flow_table(),
        *_measure_routers(),
        *_measure_replica_hosts(),
    ]


def _measure_flow_table() -> data.Slope:
    """Measures the memory of flow records."""

    def build(count: int) -> flow_table.FlowTable:
        table = flow_table.FlowTable(0)
        upstream = "rota-1"
        for flow_hash in range(count):
            table.record(flow_hash * 2_654_435_761, upstream)
        return table

    memory = {
        float(count): float(
            resource_usage.measure_memory_bytes(
                functools.partial(build, count)
            )[1]
        )
        for count in _FLOW_COUNTS
    }
    return fit.fit_line("exception_memory", "bytes", "recorded flow", memory)


def _measure_routers() -> list[data.Slope]:
    """Measures a router with a growing number of services."""
    memory: dict[float, float] = {}
    rebuild_us: dict[float, float] = {}
    packet_us: dict[float, float] = {}
    for count in _SERVICE_COUNTS:
        buckets = float(count * _BUCKETS_PER_SERVICE)
        host_router, memory[buckets] = resource_usage.measure_memory_bytes(
            functools.partial(_build_router, count)
        )
        revisions = itertools.count(2)
        rebuild_us[count] = resource_usage.least_cpu_time_us(
            functools.partial(_prepare, host_router, count, revisions)
        )
        key = builders.service_key(_service(0))
        host_router.set_view(
            builders.view([builders.member("h1")], 999), _NOW_MS
        )
        packet_us[count] = (
            resource_usage.least_cpu_time_us(
                functools.partial(_route_packets, host_router, key)
            )
            / _PACKETS
        )
    return [
        fit.fit_line("route_memory", "bytes", "bucket of a service", memory),
        fit.fit_line("rebuild_us", "us", "service", rebuild_us),
        fit.fit_line("packet_us", "us", "service", packet_us),
    ]


def _prepare(
    host_router: router.Router, count: int, revisions: Iterator[int]
) -> None:
    """Prepares the next revision of the same services."""
    host_router.prepare(_configuration(count, next(revisions)), _NOW_MS)


def _route_packets(host_router: router.Router, key: bytes) -> None:
    """Routes packets of open flows."""
    for flow_hash in range(_PACKETS):
        host_router.route(key, flow_hash, False, False, _NOW_MS)


def _build_router(count: int) -> router.Router:
    """Returns a router that has prepared a number of services."""
    host_router = router.Router("h1")
    host_router.set_view(builders.view([builders.member("h1")]), _NOW_MS)
    host_router.prepare(_configuration(count, 1), _NOW_MS)
    return host_router


def _configuration(count: int, revision: int) -> records.Configuration:
    """Returns a configuration of services with one generation each."""
    services = [_service(number) for number in range(count)]
    return builders.configuration(revision, services)


@functools.cache
def _service(number: int) -> records.Service:
    """Returns one service; revisions share it, as in the daemon."""
    names = [f"s{number}-{index}" for index in range(_UPSTREAMS_PER_SERVICE)]
    upstreams = [builders.upstream(name) for name in names]
    return builders.service(
        f"s{number}",
        upstreams,
        [names],
        address=f"192.0.2.{number + 1}",
        bucket_count=_BUCKETS_PER_SERVICE,
    )


def _measure_replica_hosts() -> list[data.Slope]:
    """Measures the selection of replica hosts in a growing fleet."""
    order_us: dict[float, float] = {}
    for count in _HOST_COUNTS:
        members = {
            f"h{index}": builders.member(f"h{index}", f"dc{index % 10}")
            for index in range(count)
        }
        orders = rendezvous.RendezvousOrders()
        orders.set_members(members)
        rounds = itertools.count()
        order_us[count] = (
            resource_usage.least_cpu_time_us(
                functools.partial(_compute_orders, orders, rounds)
            )
            / _BUCKETS_ORDERED
        )
    return [fit.fit_line("keeper_order_us", "us", "known host", order_us)]


def _compute_orders(
    orders: rendezvous.RendezvousOrders, rounds: Iterator[int]
) -> None:
    """Computes rendezvous orders of buckets that are not cached."""
    service = f"s{next(rounds)}"
    for bucket in range(_BUCKETS_ORDERED):
        orders.order(service, bucket)
