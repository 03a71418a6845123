"""Immutable records of operators' intent before it becomes a configuration."""

from collections.abc import Mapping
import dataclasses

from sapphire_data import records


@dataclasses.dataclass(frozen=True, slots=True)
class PoolMember:
    """An upstream as the document states it, without an address.

    Attributes:
        name: The name, unique over all services.
        data_centre: The name of its data centre.
        slots: The number of requests that it runs at a time.
        cold_flows_per_second: The new flows a second that it bears when it
            has just started.
        warm_up_ms: The time from a cold start to full load.
        intent: What operators want of it.
    """

    name: str
    data_centre: str
    slots: int = 1
    cold_flows_per_second: float = 10.0
    warm_up_ms: int = 30_000
    intent: records.UpstreamIntent = records.UpstreamIntent.SERVE


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceIntent:
    """A service as the document states it.

    Attributes:
        name: The name of the service.
        bucket_count: The number of routing buckets; a prime.
        pool_by_name: The upstreams of the pool.
        limits: The limits of the service.
        objectives: The service-level objectives.
    """

    name: str
    bucket_count: int
    pool_by_name: Mapping[str, PoolMember]
    limits: records.Limits = dataclasses.field(default_factory=records.Limits)
    objectives: records.Objectives = dataclasses.field(
        default_factory=records.Objectives
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """The operators' document, the same bytes in every environment.

    Attributes:
        digest: The SHA-256 of its bytes, hexadecimal.
        services_by_name: The services.
        data_centres_by_name: The data centres.
    """

    digest: str
    services_by_name: Mapping[str, ServiceIntent]
    data_centres_by_name: Mapping[str, records.DataCentre]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAddress:
    """The address of a service in one environment.

    Attributes:
        address: The virtual IP number that callers use.
        port: The port that callers use.
    """

    address: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAddress:
    """The address of an upstream in one environment.

    Attributes:
        address: The IP number of the host.
        packet_port: The UDP port that takes encapsulated packets.
        request_port: The TCP port that takes requests.
    """

    address: str
    packet_port: int
    request_port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Bindings:
    """The addresses of one environment, bound to the document's names.

    Attributes:
        digest: The SHA-256 of the bytes, hexadecimal.
        services_by_name: The address of each service.
        upstreams_by_name: The address of each upstream.
    """

    digest: str
    services_by_name: Mapping[str, ServiceAddress]
    upstreams_by_name: Mapping[str, UpstreamAddress]


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """A revision with the digest of its head, as hosts tell each other.

    Attributes:
        revision: The revision; 0 means that no configuration is known.
        digest: The digest of the encoded head, hexadecimal.
    """

    revision: int
    digest: str


NO_VERSION = Version(revision=0, digest="")
