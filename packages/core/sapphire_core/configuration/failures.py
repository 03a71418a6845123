"""Typed failures of merging a document and bindings into a configuration."""

import dataclasses

from sapphire_data import failures


@dataclasses.dataclass(frozen=True, slots=True)
class BucketCountChanged(failures.Failure):
    """A document changes the bucket count of a service that exists.

    Attributes:
        service: The name of the service.
        current: The bucket count in force.
        proposed: The bucket count of the document.
    """

    service: str
    current: int
    proposed: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnboundName(failures.Failure):
    """A name of the document has no address in the bindings.

    Attributes:
        path: The path of the missing binding, such as `upstreams.rota-1`.
    """

    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamNameReused(failures.Failure):
    """An upstream's name still stands for another service or address.

    Attributes:
        upstream: The name of the upstream.
        held_as: The service, data centre, address and ports that the name
            stands for, in the configuration in force or earlier in the same
            change.
        proposed: Those that the change would give to the name.
    """

    upstream: str
    held_as: str
    proposed: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAddressHeld(failures.Failure):
    """An upstream is bound to an address that another upstream still has.

    Packets of open flows of the other upstream would reach the new one.

    Attributes:
        upstream: The name of the upstream that would get the address.
        holder: The name of the upstream that has it.
        address: The IP address and packet port.
    """

    upstream: str
    holder: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAddressHeld(failures.Failure):
    """A service is bound to an address of another service.

    The other service has the address in the configuration in force or in the
    proposed one.

    Attributes:
        service: The name of the service that would get the address.
        holder: The name of the service that has it.
        address: The virtual IP address and port.
    """

    service: str
    holder: str
    address: str
