"""Models of the answers of a host's API for operators.

`GET /v1/status` answers with `HostStatus` and `GET /v1/slo` with `SloReport`.
Both take an optional query parameter `service`, which limits the answer to
one service. The status takes `detail=brief` besides, with which it leaves out
members, and upstreams unless a service is named: seven thousand hosts that
each list all others would be more than a reader can take.

A reader ignores fields that it does not know, so that hosts and command lines
of neighbouring versions understand each other.
"""

import enum

import pydantic

STATUS_PATH = "/v1/status"
SLO_PATH = "/v1/slo"
SERVICE_PARAMETER = "service"
DETAIL_PARAMETER = "detail"
DETAIL_BRIEF = "brief"

_NO_REVISION = 0


class _Answer(pydantic.BaseModel):
    """The base of all answers: immutable, unknown fields ignored."""

    model_config = pydantic.ConfigDict(frozen=True, extra="ignore")


class HostState(enum.StrEnum):
    """The state of a host process."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class MemberStatus(_Answer):
    """A host as the answering host knows it.

    Attributes:
        host_id: Its identity.
        data_centre: The name of its data centre.
        address: Its IP number.
        api_port: The TCP port of its API.
        state: Its state in the membership, such as `alive` or `suspect`.
        prepared_revision: The newest revision that it has prepared.
    """

    host_id: str
    data_centre: str
    address: str
    api_port: int = pydantic.Field(ge=0, le=65_535)
    state: str
    prepared_revision: int = _NO_REVISION


class UpstreamStatus(_Answer):
    """An upstream as the answering host sees it.

    Attributes:
        service: The name of the service.
        upstream: The name of the upstream.
        data_centre: The name of its data centre.
        flows: The flows that this host has forwarded to it recently.
        is_draining: Whether operators drain it.
        is_ready: Whether this host would give it a new flow now.
    """

    service: str
    upstream: str
    data_centre: str
    flows: int = pydantic.Field(ge=0)
    is_draining: bool = False
    is_ready: bool = True


class HostStatus(_Answer):
    """The answer of `GET /v1/status`.

    Attributes:
        host_id: The identity of the host process.
        data_centre: The name of its data centre.
        address: The IP number of its API.
        api_port: The TCP port of its API.
        state: The state of the process.
        active_revision: The revision by which it places new flows; 0 before
            the first.
        prepared_revision: The newest revision that it has prepared.
        known_revision: The newest revision that it has heard of.
        active_digest: The digest of the document in force here, hexadecimal.
        lag_ms: For how long a newer revision than the active one has been
            known here; 0 when the newest known one is in force.
        is_fresh: Whether peers confirmed the host recently enough for it to
            decide alone.
        is_store_reachable: Whether its last call of the store succeeded;
            absent where the host does not call the store.
        members: The membership as this host knows it.
        upstreams: The upstreams with the flows that this host sees.
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
    """Returns a status as `detail=brief` asks for it.

    Args:
        status: The whole status.
        service: The service that the asker named, if any.

    Returns:
        The status without members, and without upstreams unless a service
        was named.
    """
    upstreams = () if service is None else status.upstreams
    return status.model_copy(update={"members": (), "upstreams": upstreams})


class SloBucket(_Answer):
    """Counts of one interval of time.

    Attributes:
        index: The wall time of its start divided by the width of its tier.
        good: The number of good events.
        total: The number of events.
    """

    index: int
    good: int = pydantic.Field(ge=0)
    total: int = pydantic.Field(ge=0)


class SloTier(_Answer):
    """Counts at one resolution.

    Attributes:
        width_ms: The width of each interval.
        buckets: The intervals in which events were counted.
    """

    width_ms: int = pydantic.Field(gt=0)
    buckets: tuple[SloBucket, ...] = ()


class SloSeries(_Answer):
    """The counts of one objective of one service.

    Attributes:
        service: The name of the service.
        objective: `flows_kept`, `requests_answered` or `move_service`.
        tiers: The counts, at each resolution.
    """

    service: str
    objective: str
    tiers: tuple[SloTier, ...] = ()


class ChangeMark(_Answer):
    """The moment at which a host put a revision in force.

    Attributes:
        revision: The revision.
        activated_ms: The wall time of the activation.
    """

    revision: int
    activated_ms: int


class SloReport(_Answer):
    """The answer of `GET /v1/slo`.

    Attributes:
        host_id: The identity of the host process.
        data_centre: The name of its data centre.
        since_ms: The wall time since which the host counts.
        now_ms: The wall time of the answer.
        series: The counts.
        marks: The activations that the host remembers, oldest first.
    """

    host_id: str
    data_centre: str
    since_ms: int
    now_ms: int
    series: tuple[SloSeries, ...] = ()
    marks: tuple[ChangeMark, ...] = ()
