"""Immutable records of configuration and membership, for all packages."""

from collections.abc import Mapping
import dataclasses
import enum


class DataCentreState(enum.Enum):
    """Whether a data centre is in service, as operators set it."""

    IN = "in"
    OUT = "out"


class UpstreamIntent(enum.Enum):
    """Whether operators want an upstream to serve or to drain.

    A draining upstream gets no new flows and keeps its open ones.
    """

    SERVE = "serve"
    DRAIN = "drain"


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentre:
    """A data centre as the operators' document states it.

    Attributes:
        name: The name of the data centre.
        state: Whether it is in service.
    """

    name: str
    state: DataCentreState = DataCentreState.IN


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """An upstream of a service, with its address in this environment.

    Attributes:
        name: The name of the upstream, unique over all services and never
            reused for another upstream.
        data_centre: The name of its data centre.
        address: The IP address of the upstream.
        packet_port: The UDP port that receives encapsulated packets.
        request_port: The TCP port that receives requests.
        slots: The number of requests that it handles at the same time.
        cold_flows_per_second: The new flows per second that it can take when
            it has just started; slow start begins at this rate.
        warm_up_ms: The duration of slow start, up to full load.
        intent: Whether operators want it to serve or to drain.
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
        max_queue: The number of requests that may wait at one host.
        max_body_bytes: The size of the largest request body that is accepted.
        request_timeout_ms: The time until the deadline of a request that
            states none.
        retry_share: The retries allowed, as a share of first attempts.
    """

    max_queue: int = 64
    max_body_bytes: int = 8_388_608
    request_timeout_ms: int = 10_000
    retry_share: float = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Objectives:
    """Service-level objectives of a service, each a share of good events.

    Attributes:
        flows_kept: The share of flows that the load balancer doesn't break.
        requests_answered: The share of requests that are answered before
            their deadline.
        move_service: The share of requests answered and flows kept while a
            data centre is taken out of service or returns to it.
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
        address: The virtual IP address that callers connect to.
        port: The port that callers connect to.
        bucket_count: The number of routing buckets; a prime, fixed for the
            lifetime of the service.
        upstreams_by_name: All upstreams that may have open flows of the
            service, including draining ones.
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
        revision: The number of the revision; on a host it only increases.
        digest: The digest of the operators' document, hexadecimal.
        services_by_name: The services, by their name.
        data_centres_by_name: The data centres, by their name.
    """

    revision: int
    digest: str
    services_by_name: Mapping[str, Service]
    data_centres_by_name: Mapping[str, DataCentre]


@dataclasses.dataclass(frozen=True, slots=True)
class HostAddress:
    """The identity of a host and the addresses at which others reach it.

    Attributes:
        host_id: The identity of the host process, new at each start.
        data_centre: The name of its data centre.
        address: The IP address of the host.
        control_port: The UDP port of control messages and relayed packets.
        api_port: The TCP port of the API.
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
    """A host in the membership, as one host knows it.

    Attributes:
        host: Its identity and addresses.
        incarnation: A number that the host increases to refute a suspicion.
        state: Its state in the failure detector.
        prepared_revision: The newest configuration revision that the host
            has prepared. The host treats buckets as ambiguous where this
            revision differs from the one that it routes by.
        since_ms: When the local host first learned of this state, on its
            clock.
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
        members_by_id: All members that are not dead, this host included; none
            of a data centre that cannot be reached.
        is_fresh: Whether peers have confirmed this host recently enough for
            it to decide alone. If not, it may be partitioned from them; see
            `docs/design/0001-overview.md`.
        prepared_everywhere: The newest revision that all live hosts of the
            data centres that can be reached have prepared.
    """

    members_by_id: Mapping[str, Member]
    is_fresh: bool
    prepared_everywhere: int
