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
    """The queue of outgoing control messages is full."""


@dataclasses.dataclass(frozen=True, slots=True)
class AddressRefused(failures.Failure):
    """The host's socket cannot send a datagram to an address.

    The address may be of the other version of IP, for example.

    Attributes:
        address: The IP address.
    """

    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class MessageFailed(failures.Failure):
    """Handling a message raised an error that was not foreseen.

    Attributes:
        sender: The identity of the host that sent it, or `fabric`.
    """

    sender: str
