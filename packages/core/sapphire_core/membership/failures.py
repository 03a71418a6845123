"""Failures of the membership protocol."""

import dataclasses

from sapphire_data import failures


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipFailure(failures.Failure):
    """The base class of the failures of the membership protocol."""


@dataclasses.dataclass(frozen=True, slots=True)
class SenderMismatch(MembershipFailure):
    """A message names another origin than the host that sealed it.

    Attributes:
        sender: The host that sealed the message.
        origin: The host that the message names as its origin.
    """

    sender: str
    origin: str


@dataclasses.dataclass(frozen=True, slots=True)
class FactTooLarge(MembershipFailure):
    """A fact exceeds the size limit of facts.

    Attributes:
        key: The name of the fact.
        size: An upper bound of the encoded size of the fact in bytes.
        limit: The maximum size in bytes.
    """

    key: str
    size: int
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class TooManyFacts(MembershipFailure):
    """A new fact cannot be stored because the table of facts is full.

    Attributes:
        key: The name of the fact.
        limit: The maximum number of facts.
    """

    key: str
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReservedKey(MembershipFailure):
    """The key of a fact has a prefix that is reserved for internal facts.

    Attributes:
        key: The name of the fact.
    """

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class StaleFact(MembershipFailure):
    """A fact to publish is not newer than the version already known.

    Attributes:
        key: The name of the fact.
        version: The version to publish.
        known_version: The version that this host already knows.
    """

    key: str
    version: int
    known_version: int
