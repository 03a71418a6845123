"""Failures of the tasks of the daemon."""

import dataclasses

from sapphire_data import failures


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownHost(failures.Failure):
    """A host that is no longer a member.

    Attributes:
        host_id: Its identity.
    """

    host_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingFull(failures.Failure):
    """More control messages wait to be sent than are kept."""


@dataclasses.dataclass(frozen=True, slots=True)
class AddressRefused(failures.Failure):
    """A datagram cannot be sent to an address from the host's socket.

    So are addresses of the other version of IP.

    Attributes:
        address: The IP number.
    """

    address: str
