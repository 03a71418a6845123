"""Failures of the membership."""

import dataclasses

from sapphire_data import failures


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipFailure(failures.Failure):
    """The base of the failures of the membership."""


@dataclasses.dataclass(frozen=True, slots=True)
class SenderMismatch(MembershipFailure):
    """A message whose origin is not the host that sealed it.

    Attributes:
        sender: The host that sealed the message.
        origin: The host that the message names as its origin.
    """

    sender: str
    origin: str


@dataclasses.dataclass(frozen=True, slots=True)
class FactTooLarge(MembershipFailure):
    """A fact whose key or value is longer than a message can carry.

    Attributes:
        key: The name of the fact.
        size: The length of its key and value in bytes.
        limit: The largest length in bytes.
    """

    key: str
    size: int
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class TooManyFacts(MembershipFailure):
    """A fact that found the table full.

    Attributes:
        key: The name of the fact.
        limit: The largest number of facts.
    """

    key: str
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReservedKey(MembershipFailure):
    """A key with a prefix that the membership keeps for its own facts.

    Attributes:
        key: The name of the fact.
    """

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class StaleFact(MembershipFailure):
    """A local fact whose version is not newer than the known one.

    Attributes:
        key: The name of the fact.
        version: The version that was offered.
        known_version: The version that is known.
    """

    key: str
    version: int
    known_version: int
