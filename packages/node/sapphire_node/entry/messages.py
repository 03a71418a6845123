"""What the tasks of the entry host tell each other."""

import dataclasses

from sapphire_core.replication import data as replication_data
from sapphire_core.tagged_flows import data as flow_data


@dataclasses.dataclass(frozen=True, slots=True)
class BatchReceived:
    """A source has told of a scope.

    Attributes:
        scope: The scope.
        batch: What it told.
        source: Who told it, for logs.
    """

    scope: replication_data.Scope
    batch: replication_data.Batch
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class KnownChange:
    """A change that this host has learned of.

    Attributes:
        change: The change.
        revision: The revision of the store at which it happened.
    """

    change: flow_data.Change
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesLearned:
    """Changes that the packet task is to act on.

    Attributes:
        scope: The scope that they belong to.
        changes: The changes, oldest first.
        may_return: Whether entries may have lapsed only because the registry
            was away.
        source: Who told them, for logs.
    """

    scope: replication_data.Scope
    changes: tuple[KnownChange, ...]
    may_return: bool
    source: str
