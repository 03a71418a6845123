"""Typed failures of changes to the configuration in the store."""

import dataclasses

from sapphire_core.configuration import dangers
from sapphire_core.configuration import difference
from sapphire_data import failures


@dataclasses.dataclass(frozen=True, slots=True)
class WriteConflict(failures.Failure):
    """Another change came first; this one had no effect.

    Attributes:
        seen_revision: The revision that the change was made from.
        current_revision: The revision in force.
        author: Who made the current revision.
        action: What was done, such as `apply`.
        differences: What changed since the revision that was seen.
    """

    seen_revision: int
    current_revision: int
    author: str
    action: str
    differences: tuple[difference.Difference, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteUnconfirmed(failures.Failure):
    """The change was sent, and the store did not say whether it counts.

    `publication.resolve` finds out later.

    Attributes:
        writer_id: The identity of the change.
        revision: The revision that it would have.
        problem: The last report of the client.
    """

    writer_id: str
    revision: int
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionNotFound(failures.Failure):
    """A revision or its document is not in the store.

    Attributes:
        revision: The revision.
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoredDataInvalid(failures.Failure):
    """A value of the store is missing, altered or cannot be read.

    Attributes:
        key: The key.
        problem: What is wrong.
    """

    key: str
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotProven(failures.Failure):
    """The document has not been in force and healthy in the trial.

    Attributes:
        document_digest: The digest of the document.
        reason: What the proof lacks.
    """

    document_digest: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class DangersNotAcknowledged(failures.Failure):
    """The change loses service that the operator has not named.

    Attributes:
        dangers: What would be lost.
    """

    dangers: tuple[dangers.Danger, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class IntentInvalid(failures.Failure):
    """The document or the bindings have errors.

    Attributes:
        errors: All errors.
    """

    errors: tuple[failures.Failure, ...]
