"""Builders of upstreams, configurations and requests for tests."""

from collections.abc import Iterable

from sapphire_core.requests import data
from sapphire_data import records

SERVICE = "plan-intake"
CENTRE = "tacoma"


def upstream(
    name: str = "u1",
    *,
    data_centre: str = CENTRE,
    port: int = 8080,
    slots: int = 1,
    warm_up_ms: int = 10_000,
    intent: records.UpstreamIntent = records.UpstreamIntent.SERVE,
) -> records.Upstream:
    """Returns an upstream on loopback."""
    return records.Upstream(
        name=name,
        data_centre=data_centre,
        address="127.0.0.1",
        packet_port=port,
        request_port=port,
        slots=slots,
        warm_up_ms=warm_up_ms,
        intent=intent,
    )


def service(
    upstreams: Iterable[records.Upstream],
    *,
    name: str = SERVICE,
    limits: records.Limits | None = None,
) -> records.Service:
    """Returns a service whose current generation holds all upstreams."""
    upstreams_by_name = {each.name: each for each in upstreams}
    generation = records.PoolGeneration(1, tuple(sorted(upstreams_by_name)))
    return records.Service(
        name=name,
        address="10.0.0.1",
        port=80,
        bucket_count=13,
        upstreams_by_name=upstreams_by_name,
        generations=(generation,),
        limits=limits or records.Limits(),
    )


def configuration(
    services: Iterable[records.Service],
    *,
    revision: int = 1,
    out: frozenset[str] = frozenset(),
) -> records.Configuration:
    """Returns a configuration with the services' data centres.

    Args:
        services: The services.
        revision: The revision.
        out: The data centres that are out of rotation.
    """
    services_by_name = {each.name: each for each in services}
    centres = {
        each.data_centre
        for one in services_by_name.values()
        for each in one.upstreams_by_name.values()
    }
    data_centres_by_name = {}
    for name in centres:
        state = records.DataCentreState.IN
        if name in out:
            state = records.DataCentreState.OUT
        data_centres_by_name[name] = records.DataCentre(name, state)
    return records.Configuration(
        revision, "digest", services_by_name, data_centres_by_name
    )


def view(
    host_ids: Iterable[str], *, is_fresh: bool = True
) -> records.MemberView:
    """Returns a membership view of live hosts."""
    members_by_id = {}
    for host_id in host_ids:
        host = records.HostAddress(host_id, CENTRE, "127.0.0.1", 1, 2)
        members_by_id[host_id] = records.Member(
            host, 0, records.MemberState.ALIVE, 1, 0
        )
    return records.MemberView(members_by_id, is_fresh, 1)


def request(
    serial: int = 1,
    *,
    service_name: str = SERVICE,
    caller: str = "caller",
    is_idempotent: bool = False,
    key: str | None = None,
    deadline_ms: int = 1_000,
    retries_left: int = 2,
) -> data.Request:
    """Returns a request; by default not idempotent and without a key."""
    return data.Request(
        serial,
        service_name,
        caller,
        is_idempotent,
        key,
        deadline_ms,
        retries_left,
    )
