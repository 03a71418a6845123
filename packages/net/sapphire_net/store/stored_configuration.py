"""Reads the head and the parts of a configuration from the store.

The head describes a revision: its version, the change that made it, and the
digests of the parts that hold the configuration.
"""

import dataclasses

import expression

from sapphire_core.configuration import merge
from sapphire_data import failures
from sapphire_data import records
from sapphire_net.store import change_failures
from sapphire_net.store import environment as environments
from sapphire_wire.documents import packing
from sapphire_wire.documents import unpacking


@dataclasses.dataclass(frozen=True, slots=True)
class StoredHead:
    """A head as read from the store.

    Attributes:
        head: The decoded head; none before the first revision.
        content: The encoded head.
        mod_revision: The store revision of the last change of its key.
    """

    head: packing.Head | None
    content: bytes
    mod_revision: int

    @property
    def revision(self) -> int:
        """The configuration revision; 0 before the first one."""
        return 0 if self.head is None else self.head.version.revision


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A configuration as it was when read.

    Attributes:
        stored: Its head, which a change replaces by compare-and-swap.
        configuration: The configuration; `merge.EMPTY` before the first.
    """

    stored: StoredHead
    configuration: records.Configuration


async def read_head(
    environment: environments.Environment, key: str | None = None
) -> expression.Result[StoredHead, failures.Failure]:
    """Reads the head in force, or a head under another key.

    Args:
        environment: The environment.
        key: The key; none for the head in force.

    Returns:
        The head, or why it cannot be read.
    """
    key = environment.head_key if key is None else key
    response = await environment.store.get(key)
    if response.is_error():
        return expression.Error(response.error)
    if not response.ok.items:
        return expression.Ok(StoredHead(None, b"", 0))
    item = response.ok.items[0]
    return decode_head(key, item.value, item.mod_revision)


def decode_head(
    key: str, content: bytes, mod_revision: int
) -> expression.Result[StoredHead, failures.Failure]:
    """Decodes a head from a read or a watch of the store.

    Args:
        key: Its key, for the failure.
        content: The encoded head.
        mod_revision: The store revision of the last change of its key.

    Returns:
        The head, or why it cannot be decoded.
    """
    head = packing.unpack_head(content)
    if head.is_error():
        return expression.Error(
            change_failures.StoredDataInvalid(key, head.error.problem)
        )
    return expression.Ok(StoredHead(head.ok, content, mod_revision))


async def read_parts(
    environment: environments.Environment,
    head: packing.Head,
    known_by_digest: dict[bytes, bytes] | None = None,
) -> expression.Result[dict[bytes, bytes], failures.Failure]:
    """Reads the parts of a head, except those that are known.

    Args:
        environment: The environment.
        head: The head.
        known_by_digest: Parts that were read earlier.

    Returns:
        All parts of the head by digest, or why one cannot be read.
    """
    known = known_by_digest or {}
    parts_by_digest: dict[bytes, bytes] = {}
    for digest in head.part_digests:
        content = known.get(digest)
        if content is None:
            key = environment.part_key(digest)
            response = await environment.store.get(key)
            if response.is_error():
                return expression.Error(response.error)
            if not response.ok.items:
                return expression.Error(
                    change_failures.StoredDataInvalid(key, "missing")
                )
            content = response.ok.items[0].value
            if packing.part_digest(content) != digest:
                return expression.Error(
                    change_failures.StoredDataInvalid(key, "altered")
                )
        parts_by_digest[digest] = content
    return expression.Ok(parts_by_digest)


async def read_snapshot(
    environment: environments.Environment,
) -> expression.Result[Snapshot, failures.Failure]:
    """Reads the configuration in force.

    Args:
        environment: The environment.

    Returns:
        The configuration with its head, or why it cannot be read.
    """
    stored = await read_head(environment)
    if stored.is_error():
        return expression.Error(stored.error)
    return await read_configuration(environment, stored.ok)


async def read_configuration(
    environment: environments.Environment, stored: StoredHead
) -> expression.Result[Snapshot, failures.Failure]:
    """Reads and decodes the configuration of a head.

    Args:
        environment: The environment.
        stored: The head.

    Returns:
        The configuration with its head, or why it cannot be read.
    """
    if stored.head is None:
        return expression.Ok(Snapshot(stored, merge.EMPTY))
    parts = await read_parts(environment, stored.head)
    if parts.is_error():
        return expression.Error(parts.error)
    unpacked = unpacking.unpack(stored.head, parts.ok)
    if unpacked.is_error():
        return expression.Error(
            change_failures.StoredDataInvalid(
                environment.head_key, unpacked.error.problem
            )
        )
    return expression.Ok(Snapshot(stored, unpacked.ok))
