"""Stores documents and bindings in chunks that revisions share.

Documents and bindings are called sources. Chunk boundaries depend on the
content (content-defined chunking) and not on fixed offsets. So an edit changes
the chunk around it, and the chunks after it stay the same.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import hashlib
import re
import zlib

import expression
import xxhash

from sapphire_data import failures
from sapphire_net.store import change_failures
from sapphire_net.store import environment as environments
from sapphire_wire.documents import packing

# A chunk may end after a line or an object.
_BOUNDARY_CANDIDATES = re.compile(rb"\n|\},")
# One candidate in this many is a boundary, which makes chunks of about 16 KB.
BOUNDARY_DIVISOR = 512
# Boundaries are chosen by a hash of the bytes before them. In a window of fewer
# bytes, the same content would often repeat.
WINDOW_BYTES = 256
MIN_CHUNK_BYTES = 4_096
MAX_CHUNK_BYTES = 262_144
MAX_SOURCE_BYTES = 67_108_864


@dataclasses.dataclass(frozen=True, slots=True)
class EncodedSource:
    """A document or bindings as encoded for the store.

    Attributes:
        manifest: The concatenated digests of the chunks, in order.
        chunks_by_digest: The compressed chunks by their digest.
    """

    manifest: bytes
    chunks_by_digest: Mapping[bytes, bytes]


def encode(source: bytes) -> EncodedSource:
    """Splits and compresses a document or bindings.

    Args:
        source: The bytes.

    Returns:
        The manifest and the chunks.
    """
    chunks_by_digest: dict[bytes, bytes] = {}
    manifest = bytearray()
    for chunk in split(source):
        stored = zlib.compress(chunk, packing.COMPRESSION_LEVEL)
        digest = packing.part_digest(stored)
        chunks_by_digest[digest] = stored
        manifest += digest
    return EncodedSource(bytes(manifest), chunks_by_digest)


def chunk_digests(manifest: bytes) -> list[bytes]:
    """Returns the digests of the chunks of a manifest, in order."""
    size = packing.DIGEST_BYTES
    return [
        manifest[start : start + size]
        for start in range(0, len(manifest), size)
    ]


async def read_manifest(
    environment: environments.Environment, digest: str
) -> expression.Result[bytes, failures.Failure]:
    """Reads the manifest of a document or of bindings.

    Args:
        environment: The environment.
        digest: The SHA-256 of the whole source, hexadecimal.

    Returns:
        The manifest, or why it cannot be read.
    """
    return await _read(environment, environment.source_key(digest))


async def read(
    environment: environments.Environment, digest: str
) -> expression.Result[bytes, failures.Failure]:
    """Reads a document or bindings, and verifies the digest.

    Args:
        environment: The environment.
        digest: The SHA-256 of the whole source, hexadecimal.

    Returns:
        The bytes, or why they cannot be read.
    """
    manifest = await read_manifest(environment, digest)
    if manifest.is_error():
        return manifest
    source = bytearray()
    for chunk_digest in chunk_digests(manifest.ok):
        key = environment.chunk_key(chunk_digest)
        stored = await _read(environment, key)
        if stored.is_error():
            return stored
        try:
            source += zlib.decompressobj().decompress(
                stored.ok, MAX_CHUNK_BYTES
            )
        except zlib.error as error:
            return _invalid(key, str(error))
        if len(source) > MAX_SOURCE_BYTES:
            return _invalid(key, "too long")
    if hashlib.sha256(source).hexdigest() != digest:
        return _invalid(environment.source_key(digest), "altered")
    return expression.Ok(bytes(source))


def split(source: bytes) -> Iterable[bytes]:
    """Splits a document or bindings into chunks.

    Args:
        source: The bytes.

    Yields:
        The chunks in order.
    """
    start = 0
    for match in _BOUNDARY_CANDIDATES.finditer(source):
        end = match.end()
        while end - start > MAX_CHUNK_BYTES:
            yield source[start : start + MAX_CHUNK_BYTES]
            start += MAX_CHUNK_BYTES
        if end - start < MIN_CHUNK_BYTES:
            continue
        window = source[end - WINDOW_BYTES : end]
        if xxhash.xxh64_intdigest(window) % BOUNDARY_DIVISOR == 0:
            yield source[start:end]
            start = end
    while start < len(source):
        yield source[start : start + MAX_CHUNK_BYTES]
        start += MAX_CHUNK_BYTES


async def _read(
    environment: environments.Environment, key: str
) -> expression.Result[bytes, failures.Failure]:
    """Reads the value of a key that must exist."""
    response = await environment.store.get(key)
    if response.is_error():
        return expression.Error(response.error)
    if not response.ok.items:
        return _invalid(key, "missing")
    return expression.Ok(response.ok.items[0].value)


def _invalid(
    key: str, problem: str
) -> expression.Result[bytes, failures.Failure]:
    """Returns the failure for a value that cannot be used."""
    return expression.Error(change_failures.StoredDataInvalid(key, problem))
