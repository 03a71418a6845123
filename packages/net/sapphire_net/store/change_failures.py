"""Typed failures of configuration changes in the store."""

import dataclasses

from sapphire_core.configuration import dangers
from sapphire_core.configuration import difference
from sapphire_data import failures


@dataclasses.dataclass(frozen=True, slots=True)
class WriteConflict(failures.Failure):
    """Another change was written first; this one had no effect.

    Attributes:
        seen_revision: The revision that the change was made from.
        current_revision: The revision in force.
        author: The author of the current revision.
        action: The action that made the current revision, such as `apply`.
        differences: The differences between the two revisions.
    """

    seen_revision: int
    current_revision: int
    author: str
    action: str
    differences: tuple[difference.Difference, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteUnconfirmed(failures.Failure):
    """The change was sent, but its outcome is not known.

    `publication.resolve` can find the outcome later.

    Attributes:
        writer_id: The identity of the change.
        revision: The revision that the change creates if it is applied.
        problem: The last failure of the store client.
    """

    writer_id: str
    revision: int
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionNotFound(failures.Failure):
    """A revision is not in the store.

    Attributes:
        revision: The revision; 0 if the environment has none yet.
    """

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoredDataInvalid(failures.Failure):
    """A value in the store is missing, altered or cannot be decoded.

    Attributes:
        key: The key of the value.
        problem: What is wrong with the value.
    """

    key: str
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotProven(failures.Failure):
    """The document was not proven in the trial environment.

    A document is proven when it has been in force there and the services were
    healthy.

    Attributes:
        document_digest: The digest of the document.
        reason: Which condition of the proof is not met.
    """

    document_digest: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class DangersNotAcknowledged(failures.Failure):
    """The change has dangers that the operator has not acknowledged.

    Attributes:
        dangers: What the change would lose and the operator did not accept.
    """

    dangers: tuple[dangers.Danger, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class IntentInvalid(failures.Failure):
    """The document or the bindings have errors.

    Attributes:
        errors: All errors of both.
    """

    errors: tuple[failures.Failure, ...]
