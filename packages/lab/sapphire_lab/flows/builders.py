"""Builders of configurations and membership views for flow routing."""

from collections.abc import Iterable
from collections.abc import Mapping

from sapphire_core.flows import service_versions
from sapphire_data import records

BUCKETS = 251
PACKET_PORT = 6080
SERVICE_PORT = 443


def upstream(
    name: str,
    data_centre: str = "tacoma",
    *,
    intent: records.UpstreamIntent = records.UpstreamIntent.SERVE,
    address: str | None = None,
    cold_flows_per_second: float = 10.0,
    warm_up_ms: int = 30_000,
) -> records.Upstream:
    """Returns an upstream; without an address, one derived from its name."""
    last_octet = sum(ord(letter) * 31 for letter in name) % 250
    return records.Upstream(
        name=name,
        data_centre=data_centre,
        address=address or f"10.1.{len(name)}.{last_octet}",
        packet_port=PACKET_PORT,
        request_port=8080,
        cold_flows_per_second=cold_flows_per_second,
        warm_up_ms=warm_up_ms,
        intent=intent,
    )


def service(
    name: str,
    upstreams: Iterable[records.Upstream],
    generations: Iterable[Iterable[str]],
    *,
    address: str = "192.0.2.1",
    bucket_count: int = BUCKETS,
    first_number: int = 1,
) -> records.Service:
    """Returns a service with numbered generations.

    Args:
        name: The name.
        upstreams: The records of all its upstreams.
        generations: The upstream names of each pool, oldest first.
        address: The IP address that callers connect to.
        bucket_count: The number of buckets.
        first_number: The number of the oldest generation.
    """
    pools = []
    for number, names in enumerate(generations, start=first_number):
        pools.append(records.PoolGeneration(number, tuple(sorted(names))))
    return records.Service(
        name=name,
        address=address,
        port=SERVICE_PORT,
        bucket_count=bucket_count,
        upstreams_by_name={item.name: item for item in upstreams},
        generations=tuple(pools),
    )


def configuration(
    revision: int,
    services: Iterable[records.Service],
    data_centres: Iterable[str] = ("tacoma", "salem", "spokane"),
    out: Iterable[str] = (),
) -> records.Configuration:
    """Returns a configuration.

    Args:
        revision: The revision; the digest follows from it.
        services: The services.
        data_centres: The names of all data centres.
        out: The names of those that are taken out.
    """
    names_out = set(out)
    centres_by_name = {}
    for name in data_centres:
        state = records.DataCentreState.IN
        if name in names_out:
            state = records.DataCentreState.OUT
        centres_by_name[name] = records.DataCentre(name, state)
    return records.Configuration(
        revision=revision,
        digest=f"{revision:064x}",
        services_by_name={item.name: item for item in services},
        data_centres_by_name=centres_by_name,
    )


def member(
    host_id: str,
    data_centre: str = "tacoma",
    state: records.MemberState = records.MemberState.ALIVE,
    prepared: int = 0,
) -> records.Member:
    """Returns a host as the membership lists it.

    Args:
        host_id: The identity of the host.
        data_centre: Its data centre.
        state: Its state.
        prepared: The revision that it has prepared.
    """
    host = records.HostAddress(host_id, data_centre, "127.0.0.1", 7000, 7001)
    return records.Member(host, 0, state, prepared, 0)


def view(
    members: Iterable[records.Member],
    prepared_everywhere: int = 0,
    is_fresh: bool = True,
) -> records.MemberView:
    """Returns a membership view.

    Args:
        members: The hosts.
        prepared_everywhere: The revision that all of them have prepared.
        is_fresh: Whether peers have confirmed the host lately.
    """
    members_by_id: Mapping[str, records.Member] = {
        item.host.host_id: item for item in members
    }
    return records.MemberView(members_by_id, is_fresh, prepared_everywhere)


def service_key(item: records.Service) -> bytes:
    """Returns the key under which a router finds a service."""
    return service_versions.service_key(item.address, item.port)


def service_key_at(address: str) -> bytes:
    """Returns the key of a service at an address and `SERVICE_PORT`."""
    return service_versions.service_key(address, SERVICE_PORT)
