"""Immutable records of the document, the bindings and the version.

Operators write a document, which is the same in all environments, and
bindings, which give its names the addresses of one environment. `merge` makes
the next configuration of them.
"""

from collections.abc import Mapping
import dataclasses

from sapphire_data import records


@dataclasses.dataclass(frozen=True, slots=True)
class PoolMember:
    """An upstream as the document states it, without an address.

    Attributes:
        name: The name of the upstream, unique over all services.
        data_centre: The name of its data centre.
        slots: The number of requests that it handles at the same time.
        cold_flows_per_second: The new flows per second that it can take when
            it has just started; slow start begins at this rate.
        warm_up_ms: The duration of slow start, up to full load.
        intent: Whether operators want it to serve or to drain.
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
        pool_by_name: The upstreams of the pool, by their name.
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
        services_by_name: The services, by their name.
        data_centres_by_name: The data centres, by their name.
    """

    digest: str
    services_by_name: Mapping[str, ServiceIntent]
    data_centres_by_name: Mapping[str, records.DataCentre]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAddress:
    """The address of a service in one environment.

    Attributes:
        address: The virtual IP address that callers connect to.
        port: The port that callers connect to.
    """

    address: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAddress:
    """The address of an upstream in one environment.

    Attributes:
        address: The IP address of the upstream.
        packet_port: The UDP port that receives encapsulated packets.
        request_port: The TCP port that receives requests.
    """

    address: str
    packet_port: int
    request_port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Bindings:
    """The addresses of one environment, bound to the document's names.

    Attributes:
        digest: The SHA-256 of the bindings' bytes, hexadecimal.
        services_by_name: The address of each service.
        upstreams_by_name: The address of each upstream.
    """

    digest: str
    services_by_name: Mapping[str, ServiceAddress]
    upstreams_by_name: Mapping[str, UpstreamAddress]


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """The revision of a configuration and the digest of its head.

    Hosts compare versions: a higher revision is newer, and two versions with
    the same revision but different digests are a fork. The head is the
    record in the store that names the parts of a configuration.

    Attributes:
        revision: The revision; 0 means that no configuration is known.
        digest: The digest of the encoded head, hexadecimal.
    """

    revision: int
    digest: str


NO_VERSION = Version(revision=0, digest="")
