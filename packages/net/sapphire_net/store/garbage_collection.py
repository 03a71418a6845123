"""Deletes keys that no kept revision references: heads, parts and sources.

Each deletion also changes the collector's key, which each writer of a revision
has among its conditions. So a writer that stored a part before the deletion is
refused, and stores the part again.
"""

from collections.abc import Iterable
import dataclasses

import expression

from sapphire_core.configuration import lease as leases
from sapphire_data import clock
from sapphire_data import failures
from sapphire_net.store import chunked_sources
from sapphire_net.store import data
from sapphire_net.store import environment as environments
from sapphire_net.store import lease_calls
from sapphire_net.store import stored_configuration
from sapphire_wire.documents import packing

KEPT_REVISIONS = 2_000
LEASE_MS = 60_000
# The store allows 128 operations in a transaction.
DELETES_PER_TRANSACTION = 100


@dataclasses.dataclass(frozen=True, slots=True)
class CollectionResult:
    """The result of a garbage collection.

    Attributes:
        deleted: The number of keys deleted.
        is_finished: Whether all unused keys are deleted. A change of the
            configuration or of the lease's holder ends a collection early.
    """

    deleted: int
    is_finished: bool


async def collect(
    environment: environments.Environment,
    time: clock.Clock,
    kept_revisions: int = KEPT_REVISIONS,
) -> expression.Result[CollectionResult, failures.Failure]:
    """Deletes unused keys while holding a lease.

    Args:
        environment: The environment.
        time: The clock.
        kept_revisions: How many revisions are kept for history and rollback.

    Returns:
        The result; `LeaseNotHeld` if another host holds the lease; or why a
        call to the store failed.
    """
    key = environment.collection_lease_key
    held = await lease_calls.try_to_acquire(
        environment.store, key, LEASE_MS, time
    )
    outcome: expression.Result[CollectionResult, failures.Failure] = (
        expression.Error(leases.LeaseNotHeld(key))
    )
    if isinstance(held.fencing_token(time.now_ms()), leases.FencingToken):
        outcome = await _collect_with_lease(
            environment, held, time, kept_revisions
        )
    if held.lease_id:
        await environment.store.revoke_lease(held.lease_id)
    return outcome


async def _collect_with_lease(
    environment: environments.Environment,
    held: leases.Lease,
    time: clock.Clock,
    kept_revisions: int,
) -> expression.Result[CollectionResult, failures.Failure]:
    """Finds unused keys and deletes them in batches."""
    current = await stored_configuration.read_head(environment)
    if current.is_error():
        return expression.Error(current.error)
    unused = await _unused_keys(environment, kept_revisions)
    if unused.is_error():
        return expression.Error(unused.error)
    keys = unused.ok
    collector = await environment.store.get(environment.collector_key)
    if collector.is_error():
        return expression.Error(collector.error)
    items = collector.ok.items
    collector_revision = items[0].mod_revision if items else 0
    deleted = 0
    for start in range(0, len(keys), DELETES_PER_TRANSACTION):
        batch = keys[start : start + DELETES_PER_TRANSACTION]
        response = await lease_calls.write_fenced(
            environment.store,
            held,
            [
                data.Compare(environment.head_key, current.ok.mod_revision),
                data.Compare(environment.collector_key, collector_revision),
            ],
            [
                data.Put(environment.collector_key, b""),
                *(data.Delete(key) for key in batch),
            ],
            time,
        )
        if response.is_error():
            return expression.Error(response.error)
        if not response.ok.succeeded:
            return expression.Ok(CollectionResult(deleted, is_finished=False))
        collector_revision = response.ok.store_revision
        deleted += len(batch)
    return expression.Ok(CollectionResult(deleted, is_finished=True))


async def _unused_keys(
    environment: environments.Environment, kept_revisions: int
) -> expression.Result[list[str], failures.Failure]:
    """Returns the keys that no kept revision references."""
    history = await environment.store.get(
        environment.history_prefix, is_prefix=True
    )
    if history.is_error():
        return expression.Error(history.error)
    items = history.ok.items
    kept = items[max(0, len(items) - kept_revisions) :]
    heads: list[packing.Head] = []
    for item in kept:
        stored = stored_configuration.decode_head(
            item.key, item.value, item.mod_revision
        )
        if stored.is_error():
            return expression.Error(stored.error)
        if stored.ok.head is not None:
            heads.append(stored.ok.head)
    referenced = await _referenced_keys(environment, heads)
    if referenced.is_error():
        return expression.Error(referenced.error)
    unused = [item.key for item in items[: len(items) - len(kept)]]
    for prefix in (
        environment.parts_prefix,
        environment.sources_prefix,
        environment.chunks_prefix,
    ):
        found = await environment.store.get(
            prefix, is_prefix=True, is_keys_only=True
        )
        if found.is_error():
            return expression.Error(found.error)
        unused.extend(
            item.key for item in found.ok.items if item.key not in referenced.ok
        )
    return expression.Ok(unused)


async def _referenced_keys(
    environment: environments.Environment, heads: Iterable[packing.Head]
) -> expression.Result[set[str], failures.Failure]:
    """Returns the keys of the parts, manifests and chunks of the heads."""
    referenced: set[str] = set()
    digests: set[str] = set()
    for head in heads:
        referenced.update(map(environment.part_key, head.part_digests))
        digests.add(head.change.document_digest)
        digests.add(head.change.bindings_digest)
    for digest in sorted(digests):
        manifest = await chunked_sources.read_manifest(environment, digest)
        if manifest.is_error():
            return expression.Error(manifest.error)
        referenced.add(environment.source_key(digest))
        chunks = chunked_sources.chunk_digests(manifest.ok)
        referenced.update(map(environment.chunk_key, chunks))
    return expression.Ok(referenced)
