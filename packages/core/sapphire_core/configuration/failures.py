"""Typed failures of configuration changes."""

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
    """An upstream's name is still carried for another service or address.

    Attributes:
        upstream: The name.
        held_as: The service and address for which the name is carried.
        proposed: The service and address that the change would give it.
    """

    upstream: str
    held_as: str
    proposed: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAddressHeld(failures.Failure):
    """An address is bound to an upstream while another one still holds it.

    Packets of flows that the holder keeps would reach the new upstream.

    Attributes:
        upstream: The upstream that would get the address.
        holder: The upstream that holds it.
        address: The IP number and packet port.
    """

    upstream: str
    holder: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAddressHeld(failures.Failure):
    """A service's address is bound to another service, now or just before.

    Attributes:
        service: The service that would get the address.
        holder: The service that holds it.
        address: The IP number and port.
    """

    service: str
    holder: str
    address: str
