"""Typed failures of flow routing: why a packet is dropped or reset."""

import dataclasses

from sapphire_data import failures


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownService(failures.Failure):
    """No service has the packet's destination."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAddressMoving(failures.Failure):
    """The destination address moves to another service.

    Neither service gets packets until the move is active.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class NotJoined(failures.Failure):
    """This host has just started and does not know the replica hosts yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class BarrierPending(failures.Failure):
    """A new flow gets no upstream before a change has passed its barrier.

    The caller retransmits the opening packet; by then the change may be active.
    """

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsCold(failures.Failure):
    """Slow start lets no eligible upstream get one more new flow now."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoUpstream(failures.Failure):
    """The service has no upstream that may get new flows."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamGone(failures.Failure):
    """The flow's upstream is no longer an upstream of the service."""

    upstream: str


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentreOut(failures.Failure):
    """Operators took the data centre of the flow's upstream out of rotation."""

    upstream: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class ForeignUpstream(failures.Failure):
    """A relayed packet names an upstream that its service does not have."""

    upstream: str
