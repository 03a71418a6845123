"""Immutable records of replicated items."""

import dataclasses
import enum

from sapphire_data import failures


class Scope(enum.Enum):
    """A part of the store that hosts follow.

    The values are numbers of the protocol between hosts.
    """

    INTENT = 1
    REGISTRY = 2
    HOSTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A key of the store at its last change.

    Attributes:
        key: The key.
        revision: The revision of the store at which it changed.
        value: The value; None if the key was removed.
    """

    key: str
    revision: int
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """What a source tells of a scope.

    Attributes:
        items: The items, in any order.
        as_of: The revision up to which they are complete.
        is_full: Whether they are all items of the scope, not changes only.
    """

    items: tuple[Item, ...]
    as_of: int
    is_full: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SourceFailure(failures.Failure):
    """A source that did not tell.

    Attributes:
        problem: What happened.
    """

    problem: str


class SourceUnavailable(SourceFailure):
    """The source cannot be reached, is busy, or answered with an error."""


class SourceSilent(SourceFailure):
    """The source did not answer in time."""


class HistoryGone(SourceFailure):
    """The source no longer has the changes; all items must be read."""


class LeaseEnded(SourceFailure):
    """The lease is no longer there, and neither are its keys."""
