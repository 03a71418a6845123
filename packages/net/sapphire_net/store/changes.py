"""Changes of the configuration: apply, roll back and truncate history."""

from collections.abc import Collection
from collections.abc import Mapping
import dataclasses
import uuid

import expression

from sapphire_core.configuration import dangers
from sapphire_core.configuration import merge
from sapphire_data import clock
from sapphire_data import failures
from sapphire_data import records
from sapphire_net.store import change_failures
from sapphire_net.store import chunked_sources
from sapphire_net.store import environment as environments
from sapphire_net.store import publication
from sapphire_net.store import stored_configuration
from sapphire_wire.documents import decode
from sapphire_wire.documents import packing


@dataclasses.dataclass(frozen=True, slots=True)
class Intent:
    """The document and bindings that an operator wants to be in force.

    Attributes:
        document: The bytes of the document.
        bindings: The bytes of the bindings of this environment.
        author: The operator.
        action: The action of the operator, such as `apply`.
        acknowledged: The names of the dangers that the operator accepts.
        revision_floor: The newest revision that any host reports. The new
            revision is higher, also if the store was restored from a backup.
    """

    document: bytes
    bindings: bytes
    author: str
    action: str = "apply"
    acknowledged: Collection[str] = ()
    revision_floor: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A change that was computed and not written.

    Attributes:
        proposal: The change.
        dangers: What the change would lose.
    """

    proposal: publication.Proposal
    dangers: tuple[dangers.Danger, ...]


def plan(
    seen: stored_configuration.Snapshot, intent: Intent
) -> expression.Result[Plan, failures.Failure]:
    """Computes a change without writing it.

    Args:
        seen: The configuration in force, as the operator saw it.
        intent: The document and bindings that the operator wants.

    Returns:
        The change with its dangers; or `IntentInvalid` with all errors of the
        document and the bindings.
    """
    document, errors = decode.decode_document(intent.document)
    bindings, binding_errors = decode.decode_bindings(intent.bindings)
    errors.extend(binding_errors)
    if document is None or bindings is None:
        return expression.Error(change_failures.IntentInvalid(tuple(errors)))
    configuration, errors = merge.next_configuration(
        seen.configuration, document, bindings
    )
    if errors:
        return expression.Error(change_failures.IntentInvalid(tuple(errors)))
    proposal = _proposal(seen, configuration, intent)
    found = dangers.find_dangers(seen.configuration, proposal.configuration)
    return expression.Ok(Plan(proposal, tuple(found)))


async def apply(
    environment: environments.Environment,
    seen: stored_configuration.Snapshot,
    intent: Intent,
) -> expression.Result[publication.Published, failures.Failure]:
    """Puts the document and bindings of an intent in force.

    Args:
        environment: The environment.
        seen: The configuration that the operator saw.
        intent: The document and bindings that the operator wants.

    Returns:
        The change that took effect; or `IntentInvalid`,
        `DangersNotAcknowledged` or a failure of `publication.publish`.
    """
    planned = plan(seen, intent)
    if planned.is_error():
        return expression.Error(planned.error)
    missing = dangers.unacknowledged_dangers(
        planned.ok.dangers, intent.acknowledged
    )
    if missing:
        return expression.Error(
            change_failures.DangersNotAcknowledged(tuple(missing))
        )
    return await publication.publish(environment, planned.ok.proposal)


async def truncate_history(
    environment: environments.Environment,
    seen: stored_configuration.Snapshot,
    oldest_kept_by_service: Mapping[str, int],
    author: str,
) -> expression.Result[publication.Published, failures.Failure]:
    """Removes old pool generations, which makes a new revision.

    Args:
        environment: The environment.
        seen: The configuration in force.
        oldest_kept_by_service: The oldest generation to keep, by service.
        author: The host or operator.

    Returns:
        The change that took effect; `RevisionNotFound` if the environment has
        no revision; or a failure of `publication.publish`.
    """
    head = seen.stored.head
    if head is None:
        return expression.Error(change_failures.RevisionNotFound(0))
    truncated = merge.truncate_history(
        seen.configuration, oldest_kept_by_service
    )
    # The revision keeps the document and the bindings, which are stored.
    change = dataclasses.replace(
        head.change,
        writer_id=new_writer_id(),
        author=author,
        action="cut-history",
        written_ms=clock.wall_time_ms(),
    )
    proposal = publication.Proposal(seen, truncated, change, b"", b"")
    return await publication.publish(environment, proposal)


async def read_intent(
    environment: environments.Environment,
    head: packing.Head,
    author: str,
    action: str,
) -> expression.Result[Intent, failures.Failure]:
    """Reads the document and bindings of a revision.

    Args:
        environment: The environment.
        head: The head of the revision.
        author: The author of the new intent.
        action: The action of the new intent, such as `rollback`.

    Returns:
        A new intent with the same bytes, or why they cannot be read.
    """
    change = head.change
    document = await chunked_sources.read(environment, change.document_digest)
    if document.is_error():
        return expression.Error(document.error)
    bindings = await chunked_sources.read(environment, change.bindings_digest)
    if bindings.is_error():
        return expression.Error(bindings.error)
    return expression.Ok(Intent(document.ok, bindings.ok, author, action))


async def rollback(
    environment: environments.Environment,
    seen: stored_configuration.Snapshot,
    revision: int,
    author: str,
    acknowledged: Collection[str] = (),
) -> expression.Result[publication.Published, failures.Failure]:
    """Puts the document and bindings of an earlier revision in force again.

    The pool history is continued rather than restored, so that flows opened
    since that revision survive.

    Args:
        environment: The environment.
        seen: The configuration in force.
        revision: The earlier revision.
        author: The operator.
        acknowledged: The names of the dangers that the operator accepts.

    Returns:
        The change that took effect, which is a new revision;
        `RevisionNotFound` if the store does not keep the earlier revision; or
        a failure of `apply`.
    """
    key = environment.history_key(revision)
    kept = await stored_configuration.read_head(environment, key)
    if kept.is_error():
        return expression.Error(kept.error)
    if kept.ok.head is None:
        return expression.Error(change_failures.RevisionNotFound(revision))
    intent = await read_intent(environment, kept.ok.head, author, "rollback")
    if intent.is_error():
        return expression.Error(intent.error)
    accepted = dataclasses.replace(intent.ok, acknowledged=acknowledged)
    return await apply(environment, seen, accepted)


async def read_history(
    environment: environments.Environment,
) -> expression.Result[list[packing.Head], failures.Failure]:
    """Reads the heads of all revisions that the store keeps.

    Args:
        environment: The environment.

    Returns:
        The heads, oldest first, or why one cannot be read.
    """
    response = await environment.store.get(
        environment.history_prefix, is_prefix=True
    )
    if response.is_error():
        return expression.Error(response.error)
    heads: list[packing.Head] = []
    for item in response.ok.items:
        stored = stored_configuration.decode_head(
            item.key, item.value, item.mod_revision
        )
        if stored.is_error():
            return expression.Error(stored.error)
        if stored.ok.head is not None:
            heads.append(stored.ok.head)
    return expression.Ok(heads)


def new_writer_id() -> str:
    """Returns a new identity for one change."""
    return uuid.uuid4().hex


def _proposal(
    seen: stored_configuration.Snapshot,
    configuration: records.Configuration,
    intent: Intent,
) -> publication.Proposal:
    """Returns the proposal that puts a configuration in force."""
    revision = max(configuration.revision, intent.revision_floor + 1)
    change = packing.Change(
        writer_id=new_writer_id(),
        author=intent.author,
        action=intent.action,
        written_ms=clock.wall_time_ms(),
        document_digest=decode.digest_of(intent.document),
        bindings_digest=decode.digest_of(intent.bindings),
    )
    return publication.Proposal(
        seen=seen,
        configuration=dataclasses.replace(configuration, revision=revision),
        change=change,
        document=intent.document,
        bindings=intent.bindings,
    )
