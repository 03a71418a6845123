"""Immutable records of the configuration that all packages share."""

from collections.abc import Mapping
import dataclasses
import enum


class DataCentreState(enum.Enum):
    """Whether operators let a data centre take traffic."""

    IN = "in"
    OUT = "out"


class UpstreamIntent(enum.Enum):
    """What operators want of an upstream."""

    SERVE = "serve"
    DRAIN = "drain"


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentre:
    """A data centre as the operators' document states it.

    Attributes:
        name: The name of the data centre.
        state: Whether it takes traffic.
    """

    name: str
    state: DataCentreState = DataCentreState.IN


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """An upstream of a service, with its address in this environment.

    Attributes:
        name: The name, unique over all services; never used again for
            another upstream.
        data_centre: The name of its data centre.
        address: The IP number of the host.
        packet_port: The UDP port that takes encapsulated packets.
        request_port: The TCP port that takes requests.
        slots: The number of requests that it runs at a time.
        cold_flows_per_second: The new flows a second that it bears when it
            has just started.
        warm_up_ms: The time from a cold start to full load.
        intent: What operators want of it.
    """

    name: str
    data_centre: str
    address: str
    packet_port: int
    request_port: int
    slots: int = 1
    cold_flows_per_second: float = 10.0
    warm_up_ms: int = 30_000
    intent: UpstreamIntent = UpstreamIntent.SERVE


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a service.

    Attributes:
        max_queue: The requests that may wait at one host.
        max_body_bytes: The largest request body that is accepted.
        request_timeout_ms: The deadline of a request that names none.
        retry_share: Retries allowed as a share of first attempts.
    """

    max_queue: int = 64
    max_body_bytes: int = 8_388_608
    request_timeout_ms: int = 10_000
    retry_share: float = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Objectives:
    """Service-level objectives of a service, each a share of good events.

    Attributes:
        flows_kept: The share of flows that end without being broken.
        requests_answered: The share of requests answered within deadline.
        move_service: The share of requests answered and flows kept while a
            data centre leaves or returns.
    """

    flows_kept: float = 0.9999
    requests_answered: float = 0.999
    move_service: float = 0.999


@dataclasses.dataclass(frozen=True, slots=True)
class PoolGeneration:
    """The upstreams that were eligible for new flows of a service.

    Attributes:
        number: The number of the generation, increasing by one.
        upstreams: The names of the eligible upstreams, sorted.
    """

    number: int
    upstreams: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service with its address, pool and pool history.

    Attributes:
        name: The name of the service.
        address: The virtual IP number that callers use.
        port: The port that callers use.
        bucket_count: The number of routing buckets; a prime, fixed for the
            life of the service.
        upstreams_by_name: All upstreams that may hold flows of the service,
            the draining ones included.
        generations: The pool history, oldest first; the last is current.
        limits: The limits of the service.
        objectives: The service-level objectives.
    """

    name: str
    address: str
    port: int
    bucket_count: int
    upstreams_by_name: Mapping[str, Upstream]
    generations: tuple[PoolGeneration, ...]
    limits: Limits = Limits()
    objectives: Objectives = Objectives()


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted revision of the configuration.

    Attributes:
        revision: The revision; it never goes backwards on a host.
        digest: The digest of the operators' document, hexadecimal.
        services_by_name: The services.
        data_centres_by_name: The data centres.
    """

    revision: int
    digest: str
    services_by_name: Mapping[str, Service]
    data_centres_by_name: Mapping[str, DataCentre]


@dataclasses.dataclass(frozen=True, slots=True)
class HostAddress:
    """How the other hosts reach a host.

    Attributes:
        host_id: The identity of the host process, new at each start.
        data_centre: The name of its data centre.
        address: The IP number.
        control_port: The UDP port of control messages and relayed packets.
        api_port: The TCP port of the control API.
    """

    host_id: str
    data_centre: str
    address: str
    control_port: int
    api_port: int


class MemberState(enum.Enum):
    """The state of a host in the membership."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A host as one other host knows it.

    Attributes:
        host: Its identity and addresses.
        incarnation: Raised by the host itself to refute a suspicion.
        state: Its state.
        prepared_revision: The newest configuration revision that the host
            has prepared, hence treats as ambiguous where it differs.
        since_ms: When this state was first known here, on the local clock.
    """

    host: HostAddress
    incarnation: int
    state: MemberState
    prepared_revision: int
    since_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberView:
    """The membership as one host knows it at one moment.

    Attributes:
        members_by_id: All members that are not dead, itself included.
        is_fresh: Whether peers confirmed this host recently enough for it
            to decide alone; see `docs/design/0001-overview.md`.
        prepared_everywhere: The newest revision that every live member has
            prepared.
    """

    members_by_id: Mapping[str, Member]
    is_fresh: bool
    prepared_everywhere: int
