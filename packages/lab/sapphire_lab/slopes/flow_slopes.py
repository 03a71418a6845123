"""Slopes of the routing of packets."""

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

_FLOWS = (1_000, 2_000, 4_000, 8_000)
_SERVICES = (50, 100, 200)
_BUCKETS = 251
_TARGETS = 3
_HOSTS = (250, 500, 1_000)
_ORDERS = 20
_PACKETS = 2_000
_NOW_MS = 10_000


def measure() -> list[data.Slope]:
    """Measures all slopes of routing."""
    return [_exceptions(), *_services(), *_keepers()]


def _exceptions() -> data.Slope:
    """Measures the records of flows that their bucket does not tell."""

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
        for count in _FLOWS
    }
    return fit.fit_line("exception_memory", "bytes", "recorded flow", memory)


def _services() -> list[data.Slope]:
    """Measures a router with a growing number of services."""
    memory: dict[float, float] = {}
    rebuild_us: dict[float, float] = {}
    packet_us: dict[float, float] = {}
    for count in _SERVICES:
        buckets = float(count * _BUCKETS)
        routed, memory[buckets] = resource_usage.measure_memory_bytes(
            functools.partial(_routing, count)
        )
        revisions = itertools.count(2)
        rebuild_us[count] = resource_usage.least_cpu_time_us(
            functools.partial(_prepare, routed, count, revisions)
        )
        key = builders.service_key(_service(0))
        routed.set_view(builders.view([builders.member("h1")], 999), _NOW_MS)
        packet_us[count] = (
            resource_usage.least_cpu_time_us(
                functools.partial(_send, routed, key)
            )
            / _PACKETS
        )
    return [
        fit.fit_line("route_memory", "bytes", "bucket of a service", memory),
        fit.fit_line("rebuild_us", "us", "service", rebuild_us),
        fit.fit_line("packet_us", "us", "service", packet_us),
    ]


def _prepare(
    routed: router.Router, count: int, revisions: Iterator[int]
) -> None:
    """Prepares another revision of the same services."""
    routed.prepare(_configuration(count, next(revisions)), _NOW_MS)


def _send(routed: router.Router, key: bytes) -> None:
    """Routes packets of open flows."""
    for flow_hash in range(_PACKETS):
        routed.route(key, flow_hash, False, False, _NOW_MS)


def _routing(count: int) -> router.Router:
    """Returns a router with some services in force."""
    routed = router.Router("h1")
    routed.set_view(builders.view([builders.member("h1")]), _NOW_MS)
    routed.prepare(_configuration(count, 1), _NOW_MS)
    return routed


def _configuration(count: int, revision: int) -> records.Configuration:
    """Returns a configuration of services without a history."""
    services = [_service(number) for number in range(count)]
    return builders.configuration(revision, services)


@functools.cache
def _service(number: int) -> records.Service:
    """Returns one service; revisions share it, as in the daemon."""
    names = [f"s{number}-{index}" for index in range(_TARGETS)]
    upstreams = [builders.upstream(name) for name in names]
    return builders.service(
        f"s{number}",
        upstreams,
        [names],
        address=f"192.0.2.{number + 1}",
        bucket_count=_BUCKETS,
    )


def _keepers() -> list[data.Slope]:
    """Measures the keepers of ambiguous buckets among a growing fleet."""
    order_us: dict[float, float] = {}
    for count in _HOSTS:
        members = {
            f"h{index}": builders.member(f"h{index}", f"dc{index % 10}")
            for index in range(count)
        }
        orders = rendezvous.RendezvousOrders()
        orders.set_members(members)
        rounds = itertools.count()
        order_us[count] = (
            resource_usage.least_cpu_time_us(
                functools.partial(_orders, orders, rounds)
            )
            / _ORDERS
        )
    return [fit.fit_line("keeper_order_us", "us", "known host", order_us)]


def _orders(orders: rendezvous.RendezvousOrders, rounds: Iterator[int]) -> None:
    """Computes orders of buckets that are not cached."""
    service = f"s{next(rounds)}"
    for bucket in range(_ORDERS):
        orders.order(service, bucket)
