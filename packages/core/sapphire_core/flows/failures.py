"""Typed failures of flow routing: why a packet is dropped or given up."""

import dataclasses

from sapphire_data import failures


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownService(failures.Failure):
    """No service has the packet's destination."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAddressMoving(failures.Failure):
    """The destination passes to another service; nobody may use it yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotJoined(failures.Failure):
    """This host has just started and does not know the keepers yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class BarrierPending(failures.Failure):
    """A new flow cannot be placed until every host knows of the change.

    The caller's own retransmission of the opening packet comes later.
    """

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsCold(failures.Failure):
    """No upstream may admit one more flow at this moment."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoUpstream(failures.Failure):
    """The service has no upstream that is eligible for new flows."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamGone(failures.Failure):
    """The flow's upstream is no longer an upstream of the service."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentreOut(failures.Failure):
    """The flow's upstream is in a data centre that operators took out."""

    upstream: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class ForeignUpstream(failures.Failure):
    """A relayed packet names an upstream that is not of its service."""

    upstream: str
