"""Immutable records of the store's items, as hosts replicate them."""

from collections.abc import Mapping
import dataclasses
import enum

from sapphire_data import failures


class Scope(enum.Enum):
    """A part of the store that hosts replicate as a whole.

    The values are numbers of the protocol between hosts.

    Attributes:
        INTENT: What the operators configured.
        REGISTRY: The upstreams that are registered.
        HOSTS: The host list.
    """

    INTENT = 1
    REGISTRY = 2
    HOSTS = 3


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Position:
    """A point in the history of the store; ordered by era, then revision.

    A store that comes back from an older copy of itself starts a new era, in
    which it gives out revisions again that it gave out before.

    Attributes:
        era: The era; 0 where the store names none.
        revision: The revision.
    """

    era: int
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A key of the store with the value that its last change gave it.

    Attributes:
        key: The key.
        revision: The revision of the store at which it last changed.
        value: The value; None for a tombstone, as the key was removed.
    """

    key: str
    revision: int
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Items of one scope, as read from a source: the store or a peer.

    Attributes:
        items: The items, in any order.
        as_of: The revision up to which no change is missing.
        is_full: Whether these are all items of the scope; otherwise they are
            changes only.
        era: The era of the store that all revisions belong to.
        left_ms: Of what is carried from a former era (`carried_items`): how
            much longer it counts, unless the store decides on it before.
    """

    items: tuple[Item, ...]
    as_of: int
    is_full: bool
    era: int = 0
    left_ms: int = 0

    @property
    def position(self) -> Position:
        """The position up to which no change is missing."""
        return Position(self.era, self.as_of)


@dataclasses.dataclass(frozen=True, slots=True)
class HostListing:
    """The entry of a host in the host list.

    Attributes:
        value: The encoded contact of the host.
        lease: The lease that the entry is attached to; 0 for none.
    """

    value: bytes
    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All items of the store that hosts replicate, from one read.

    Attributes:
        batches_by_scope: A full batch of each scope.
        listings_by_host: The host list, by the name of the host.
    """

    batches_by_scope: Mapping[Scope, Batch]
    listings_by_host: Mapping[str, HostListing]


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """A host has been added to the host list.

    Attributes:
        lease: The lease that its entry is attached to.
        revision: The revision of the store at which it was added.
        era: The era of the store in which both were given out.
    """

    lease: int
    revision: int
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SourceFailure(failures.Failure):
    """A call to a source failed.

    Attributes:
        problem: What happened.
    """

    problem: str


class SourceUnavailable(SourceFailure):
    """The source cannot be reached, is busy, or returned an error."""


class SourceSilent(SourceFailure):
    """The source did not respond within the timeout."""


class HistoryGone(SourceFailure):
    """The source no longer has the changes; all items must be read."""


class LeaseEnded(SourceFailure):
    """The lease has ended, and its keys were removed with it."""
