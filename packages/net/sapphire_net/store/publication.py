"""Publishes a configuration by compare-and-swap of its head.

The head holds the identity of the change that wrote it, and is also kept under
a key of its revision. So if the response to a write was lost, reading that key
shows whether the write took effect.
"""

from collections.abc import Iterable
import dataclasses
import enum
import hashlib

import expression

from sapphire_core.configuration import difference
from sapphire_data import failures
from sapphire_data import records
from sapphire_net.store import change_failures
from sapphire_net.store import chunked_sources
from sapphire_net.store import data
from sapphire_net.store import environment as environments
from sapphire_net.store import failures as store_failures
from sapphire_net.store import stored_configuration
from sapphire_wire.documents import packing

MAX_ATTEMPTS = 6
FIRST_BACKOFF_MS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A change that is ready to be written.

    Attributes:
        seen: The configuration that the change was made from.
        configuration: The new configuration.
        change: The author and other metadata; its `writer_id` must be new.
        document: The bytes of the document; may be empty if the seen revision
            has the same document.
        bindings: The bytes of the bindings; may be empty if the seen revision
            has the same bindings.
    """

    seen: stored_configuration.Snapshot
    configuration: records.Configuration
    change: packing.Change
    document: bytes
    bindings: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Published:
    """A change that took effect.

    Attributes:
        stored: The head as written.
        was_answer_lost: Whether the store's response was lost, so that the
            outcome was found by reading the head back.
    """

    stored: stored_configuration.StoredHead
    was_answer_lost: bool = False


class ChangeOutcome(enum.Enum):
    """The outcome of a change that was sent to the store.

    Attributes:
        APPLIED: It took effect.
        SUPERSEDED: Another change replaced the head first; it can't take
            effect any more.
        OPEN: Not decided yet: a delayed write could still take effect.
    """

    APPLIED = "applied"
    SUPERSEDED = "superseded"
    OPEN = "open"


async def publish(
    environment: environments.Environment, proposal: Proposal
) -> expression.Result[Published, failures.Failure]:
    """Writes a change if the seen configuration is still in force.

    Args:
        environment: The environment.
        proposal: The change.

    Returns:
        The head as written; `WriteConflict` if another change was written
        first; `WriteUnconfirmed` if the outcome is not known; another failure
        if the change had no effect.
    """
    change = proposal.change
    seen_head = proposal.seen.stored.head
    packed = packing.pack(
        proposal.configuration,
        change,
        min_shard_count=1 if seen_head is None else seen_head.shard_count,
    )
    swap = _Swap(environment, proposal.seen.stored, packed, change.writer_id)
    is_swap_open = False
    problem = ""
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            await environment.sleep_ms(FIRST_BACKOFF_MS << (attempt - 1))
        attempted = await _attempt(
            environment, proposal, packed, swap, is_swap_open
        )
        if attempted.is_ok():
            return await _publication_result(
                environment, proposal, swap, attempted.ok
            )
        is_refused = isinstance(attempted.error, store_failures.StoreRejected)
        if is_refused and not is_swap_open:
            return expression.Error(attempted.error)
        is_swap_open = is_swap_open or isinstance(attempted.error, _SwapOpen)
        problem = repr(attempted.error)
    if is_swap_open:
        return expression.Error(
            change_failures.WriteUnconfirmed(
                change.writer_id, packed.version.revision, problem
            )
        )
    return expression.Error(store_failures.StoreUnavailable(problem))


async def resolve(
    environment: environments.Environment, writer_id: str, revision: int
) -> expression.Result[ChangeOutcome, failures.Failure]:
    """Finds the outcome of a change by reading the head of its revision.

    Args:
        environment: The environment.
        writer_id: The identity of the change.
        revision: The revision that the change creates if it is applied.

    Returns:
        The outcome, or why it cannot be read.
    """
    key = environment.history_key(revision)
    kept = await stored_configuration.read_head(environment, key)
    if kept.is_error():
        return expression.Error(kept.error)
    if kept.ok.head is None:
        return expression.Ok(ChangeOutcome.OPEN)
    if kept.ok.head.change.writer_id == writer_id:
        return expression.Ok(ChangeOutcome.APPLIED)
    return expression.Ok(ChangeOutcome.SUPERSEDED)


@dataclasses.dataclass(frozen=True, slots=True)
class _SwapOpen(failures.Failure):
    """The swap of the head was sent and its outcome is not known yet."""

    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Decision:
    """The known outcome of a swap.

    Attributes:
        outcome: The outcome, which is not `OPEN`.
        was_answer_lost: Whether the store's response was lost.
    """

    outcome: ChangeOutcome
    was_answer_lost: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Swap:
    """The compare-and-swap of a head.

    Attributes:
        environment: The environment.
        seen: The head to be replaced.
        packed: The encoded configuration with its new head.
        writer_id: The identity of the change.
    """

    environment: environments.Environment
    seen: stored_configuration.StoredHead
    packed: packing.PackedConfiguration
    writer_id: str

    async def send(
        self, collector_revision: int
    ) -> expression.Result[
        data.TransactionResponse, store_failures.StoreFailure
    ]:
        """Replaces the head if it and the collector's key have not changed."""
        environment = self.environment
        revision = self.packed.version.revision
        return await environment.store.transact(
            [
                data.Compare(environment.head_key, self.seen.mod_revision),
                data.Compare(environment.collector_key, collector_revision),
                data.Compare(environment.history_key(revision), 0),
            ],
            [
                data.Put(environment.head_key, self.packed.head),
                data.Put(environment.history_key(revision), self.packed.head),
            ],
        )


async def _attempt(
    environment: environments.Environment,
    proposal: Proposal,
    packed: packing.PackedConfiguration,
    swap: _Swap,
    was_sent: bool,
) -> expression.Result[_Decision, failures.Failure]:
    """Writes the parts and swaps the head once.

    Args:
        environment: The environment.
        proposal: The change.
        packed: The encoded configuration.
        swap: The swap of the head.
        was_sent: Whether an earlier attempt sent a swap whose outcome is not
            known.

    Returns:
        The outcome of the swap; `_SwapOpen` if it is not known; another
        failure if this attempt had no effect.
    """
    revision = packed.version.revision
    if was_sent:
        outcome = await resolve(environment, swap.writer_id, revision)
        if outcome.is_error():
            return expression.Error(_SwapOpen(repr(outcome.error)))
        if outcome.ok is not ChangeOutcome.OPEN:
            return expression.Ok(_Decision(outcome.ok, was_answer_lost=True))
    collector = await environment.store.get(environment.collector_key)
    if collector.is_error():
        return expression.Error(collector.error)
    items = collector.ok.items
    collector_revision = items[0].mod_revision if items else 0
    source_puts = await _source_puts(environment, proposal)
    if source_puts.is_error():
        return expression.Error(source_puts.error)
    part_puts = _part_puts(environment, proposal, packed)
    for put in (*part_puts, *source_puts.ok):
        written = await environment.store.transact([], [put])
        if written.is_error():
            return expression.Error(written.error)
    response = await swap.send(collector_revision)
    if response.is_error():
        if isinstance(response.error, store_failures.StoreOutcomeUnknown):
            return expression.Error(_SwapOpen(response.error.problem))
        return expression.Error(response.error)
    if response.ok.succeeded:
        return expression.Ok(
            _Decision(ChangeOutcome.APPLIED, was_answer_lost=False)
        )
    outcome = await resolve(environment, swap.writer_id, revision)
    if outcome.is_error():
        return expression.Error(_SwapOpen(repr(outcome.error)))
    if outcome.ok is ChangeOutcome.OPEN:
        return await _explain_refusal(environment, swap)
    return expression.Ok(_Decision(outcome.ok, was_answer_lost=True))


async def _explain_refusal(
    environment: environments.Environment, swap: _Swap
) -> expression.Result[_Decision, failures.Failure]:
    """Finds why a swap failed whose revision nobody has written.

    Returns:
        `SUPERSEDED` if the head has changed; a failure that allows another
        attempt if keys were deleted since the attempt began.
    """
    current = await stored_configuration.read_head(environment)
    if current.is_error():
        return expression.Error(current.error)
    if current.ok.mod_revision != swap.seen.mod_revision:
        # The head changed, but not to the revision of this change: the store
        # was restored from a backup, or a revision floor applied. A delayed
        # swap from the old head can't succeed any more.
        return expression.Ok(
            _Decision(ChangeOutcome.SUPERSEDED, was_answer_lost=False)
        )
    return expression.Error(
        store_failures.StoreUnavailable("unused parts were being deleted")
    )


async def _publication_result(
    environment: environments.Environment,
    proposal: Proposal,
    swap: _Swap,
    decision: _Decision,
) -> expression.Result[Published, failures.Failure]:
    """Returns the written head, or the conflict with the current revision."""
    if decision.outcome is ChangeOutcome.APPLIED:
        key = environment.history_key(swap.packed.version.revision)
        stored = stored_configuration.decode_head(key, swap.packed.head, 0)
        return stored.map(
            lambda head: Published(head, decision.was_answer_lost)
        )
    seen = proposal.seen
    current = await stored_configuration.read_snapshot(environment)
    if current.is_error() or current.ok.stored.head is None:
        return expression.Error(
            change_failures.WriteConflict(
                seen.stored.revision, seen.stored.revision + 1, "", "", ()
            )
        )
    head = current.ok.stored.head
    found = difference.differences(seen.configuration, current.ok.configuration)
    return expression.Error(
        change_failures.WriteConflict(
            seen_revision=seen.stored.revision,
            current_revision=head.version.revision,
            author=head.change.author,
            action=head.change.action,
            differences=tuple(found),
        )
    )


def _part_puts(
    environment: environments.Environment,
    proposal: Proposal,
    packed: packing.PackedConfiguration,
) -> Iterable[data.Put]:
    """Yields the writes of the parts that the seen revision lacks."""
    head = proposal.seen.stored.head
    known = frozenset(() if head is None else head.part_digests)
    for digest, content in packed.parts_by_digest.items():
        if digest in known:
            continue
        yield data.Put(environment.part_key(digest), content)


async def _source_puts(
    environment: environments.Environment, proposal: Proposal
) -> expression.Result[list[data.Put], failures.Failure]:
    """Returns the writes of the sources that the seen revision lacks."""
    head = proposal.seen.stored.head
    change = proposal.change
    pairs = [
        (change.document_digest, proposal.document),
        (change.bindings_digest, proposal.bindings),
    ]
    seen_digests: tuple[str, ...] = ()
    if head is not None:
        seen = head.change
        seen_digests = (seen.document_digest, seen.bindings_digest)
    known_sources: set[str] = set()
    known_chunks: set[bytes] = set()
    for digest in seen_digests:
        manifest = await chunked_sources.read_manifest(environment, digest)
        if manifest.is_ok():
            known_sources.add(digest)
            known_chunks.update(chunked_sources.chunk_digests(manifest.ok))
            continue
        # The seen revision may be so old that garbage collection has deleted
        # its sources. Then the swap is refused, as the head has changed.
        error = manifest.error
        if not isinstance(error, change_failures.StoredDataInvalid):
            return expression.Error(error)
    puts: list[data.Put] = []
    for digest, source in pairs:
        has_bytes = hashlib.sha256(source).hexdigest() == digest
        if digest in known_sources or not has_bytes:
            continue
        stored = chunked_sources.encode(source)
        for chunk_digest, chunk in stored.chunks_by_digest.items():
            if chunk_digest not in known_chunks:
                key = environment.chunk_key(chunk_digest)
                puts.append(data.Put(key, chunk))
        key = environment.source_key(digest)
        puts.append(data.Put(key, stored.manifest))
    return expression.Ok(puts)
