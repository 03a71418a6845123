"""Models of the responses of a host's API for operators.

`GET /v1/status` returns `HostStatus` and `GET /v1/slo` returns `SloReport`.
Both accept an optional query parameter `service`, which limits the response to
one service. The status also accepts `detail=brief`, which leaves out the
members, and the upstreams unless a service is named: in a fleet of seven
thousand hosts, of which each lists all others, the statuses of all hosts would
be too large for a client.

Unknown fields are ignored when a response is read, so that hosts and
operators' tools of adjacent versions work together.
"""

import enum

import pydantic

STATUS_PATH = "/v1/status"
SLO_PATH = "/v1/slo"
SERVICE_PARAMETER = "service"
DETAIL_PARAMETER = "detail"
DETAIL_BRIEF = "brief"

_NO_REVISION = 0


class _Response(pydantic.BaseModel):
    """The base class of all responses: immutable, unknown fields ignored."""

    model_config = pydantic.ConfigDict(frozen=True, extra="ignore")


class HostState(enum.StrEnum):
    """The state of a host process."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class MemberStatus(_Response):
    """A member of the fleet as the responding host knows it.

    Attributes:
        host_id: The identity of the member's process.
        data_centre: The name of the member's data centre.
        address: The member's IP address.
        api_port: The TCP port of the member's API.
        state: The state in the membership, such as `alive` or `suspect`.
        prepared_revision: The newest revision that the member has prepared.
    """

    host_id: str
    data_centre: str
    address: str
    api_port: int = pydantic.Field(ge=0, le=65_535)
    state: str
    prepared_revision: int = _NO_REVISION


class UpstreamStatus(_Response):
    """An upstream as the responding host sees it.

    Attributes:
        service: The name of the service.
        upstream: The name of the upstream.
        data_centre: The name of the upstream's data centre.
        flows: The number of flows whose opening packet the host has forwarded
            to the upstream since the host started.
        is_draining: Whether operators drain the upstream.
        is_ready: Whether the host may select the upstream for new flows now.
    """

    service: str
    upstream: str
    data_centre: str
    flows: int = pydantic.Field(ge=0)
    is_draining: bool = False
    is_ready: bool = True


class HostStatus(_Response):
    """The response of `GET /v1/status`.

    Attributes:
        host_id: The identity of the host process.
        data_centre: The name of its data centre.
        address: The IP address of its API.
        api_port: The TCP port of its API.
        state: The state of the process.
        active_revision: The revision by which the host selects upstreams for
            new flows; 0 before the first.
        prepared_revision: The newest revision that the host has prepared.
        known_revision: The newest revision that the host knows to exist.
        active_digest: The digest of the document in force on the host,
            hexadecimal.
        lag_ms: For how long the host has known a newer revision than the
            active one; 0 if the newest known revision is active.
        is_fresh: Whether peers confirmed the host recently enough for it to
            select upstreams on its own.
        is_store_reachable: Whether the host's last call of the store
            succeeded; absent if the host does not call the store.
        members: The membership as the host knows it.
        upstreams: The upstreams as the host sees them.
    """

    host_id: str
    data_centre: str
    address: str
    api_port: int = pydantic.Field(ge=0, le=65_535)
    state: HostState
    active_revision: int = _NO_REVISION
    prepared_revision: int = _NO_REVISION
    known_revision: int = _NO_REVISION
    active_digest: str = ""
    lag_ms: int = pydantic.Field(default=0, ge=0)
    is_fresh: bool = True
    is_store_reachable: bool | None = None
    members: tuple[MemberStatus, ...] = ()
    upstreams: tuple[UpstreamStatus, ...] = ()


def brief_status(status: HostStatus, service: str | None) -> HostStatus:
    """Returns the status that a request with `detail=brief` gets.

    Args:
        status: The status with all details.
        service: The service that the request named, if any.

    Returns:
        The status without members, and without upstreams unless a service
        was named.
    """
    upstreams = () if service is None else status.upstreams
    return status.model_copy(update={"members": (), "upstreams": upstreams})


class SloBucket(_Response):
    """Counts of one interval of time.

    Attributes:
        index: The wall time of the interval's start divided by the `width_ms`
            of its tier.
        good: The number of good events.
        total: The number of events.
    """

    index: int
    good: int = pydantic.Field(ge=0)
    total: int = pydantic.Field(ge=0)


class SloTier(_Response):
    """Counts at one resolution.

    Attributes:
        width_ms: The length of each interval.
        buckets: The intervals in which events were counted.
    """

    width_ms: int = pydantic.Field(gt=0)
    buckets: tuple[SloBucket, ...] = ()


class SloSeries(_Response):
    """The counts of one objective of one service.

    Attributes:
        service: The name of the service.
        objective: `flows_kept`, `requests_answered` or `move_service`.
        tiers: The counts, at each resolution.
    """

    service: str
    objective: str
    tiers: tuple[SloTier, ...] = ()


class ChangeMark(_Response):
    """The moment at which a host put a revision in force.

    Attributes:
        revision: The configuration revision.
        activated_ms: The wall time of the activation.
    """

    revision: int
    activated_ms: int


class SloReport(_Response):
    """The response of `GET /v1/slo`.

    Attributes:
        host_id: The identity of the host process.
        data_centre: The name of its data centre.
        since_ms: The wall time at which the host started to count.
        now_ms: The wall time of the response.
        series: The counts.
        marks: The activations that the host has recorded, oldest first.
    """

    host_id: str
    data_centre: str
    since_ms: int
    now_ms: int
    series: tuple[SloSeries, ...] = ()
    marks: tuple[ChangeMark, ...] = ()
