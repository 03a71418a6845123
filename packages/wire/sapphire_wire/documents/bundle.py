"""The record by which a host gives its configuration to a peer."""

from collections.abc import Mapping
import dataclasses
from typing import Any

import expression

from sapphire_core.configuration import data
from sapphire_data import failures
from sapphire_data import records
from sapphire_wire import codec
from sapphire_wire.documents import packing
from sapphire_wire.documents import unpacking
from sapphire_wire.gen.configuration import ttypes

MAX_KNOWN_REVISIONS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class DecodedConfiguration:
    """A configuration with the bytes that it was decoded from.

    Attributes:
        head: The decoded head.
        head_bytes: The encoded head.
        parts_by_digest: The compressed parts, no others.
        configuration: The configuration.
    """

    head: packing.Head
    head_bytes: bytes
    parts_by_digest: Mapping[bytes, bytes]
    configuration: records.Configuration

    @property
    def version(self) -> data.Version:
        """The revision and the digest of the head."""
        return self.head.version


class BundleEncoder:
    """The newest content of a host, and what earlier revisions consisted of.

    Attributes:
        newest: The newest configuration; none before the first.
    """

    def __init__(self) -> None:
        self.newest: DecodedConfiguration | None = None
        self._digests_by_revision: dict[int, frozenset[bytes]] = {}

    def update(self, content: DecodedConfiguration) -> None:
        """Replaces the content.

        Args:
            content: A newer one.
        """
        self.newest = content
        digests = frozenset(content.parts_by_digest)
        self._digests_by_revision[content.version.revision] = digests
        if len(self._digests_by_revision) > MAX_KNOWN_REVISIONS:
            oldest = min(self._digests_by_revision)
            del self._digests_by_revision[oldest]

    def encode(self, known_revision: int) -> bytes | None:
        """Encodes what a peer lacks.

        Args:
            known_revision: The revision that the peer has; 0 for none.

        Returns:
            The head and the parts that differ from that revision, or all
            parts if it is not known here; none before the first content.
        """
        content = self.newest
        if content is None:
            return None
        known = self._digests_by_revision.get(known_revision, frozenset())
        parts = {
            digest: part
            for digest, part in content.parts_by_digest.items()
            if digest not in known
        }
        return codec.encode(
            ttypes.Bundle(head=content.head_bytes, parts_by_digest=parts)
        )


def decode_bundle(
    encoded: bytes, known: DecodedConfiguration | None
) -> expression.Result[DecodedConfiguration, failures.UnreadableInput]:
    """Decodes what a peer gave, and checks all digests.

    Args:
        encoded: The record.
        known: What this host has; none before the first content.

    Returns:
        The content, or why it cannot be used.
    """
    bundle: Any = codec.decode(ttypes.Bundle, encoded)
    if bundle.is_error():
        return expression.Error(bundle.error)
    return assemble(bundle.ok.head, bundle.ok.parts_by_digest, known)


def assemble(
    head_bytes: bytes,
    new_parts: Mapping[bytes, bytes],
    known: DecodedConfiguration | None,
) -> expression.Result[DecodedConfiguration, failures.UnreadableInput]:
    """Builds content from a head and parts, and checks all digests.

    Args:
        head_bytes: The encoded head.
        new_parts: The parts that are not known, perhaps more.
        known: What this host has; none before the first content.

    Returns:
        The content, or why it cannot be used.
    """
    unpacked_head = packing.unpack_head(head_bytes)
    if unpacked_head.is_error():
        return expression.Error(unpacked_head.error)
    head = unpacked_head.ok
    if known is None:
        parts = dict(new_parts)
        unpacked = unpacking.unpack(head, parts)
    else:
        parts = {**known.parts_by_digest, **new_parts}
        unpacked = unpacking.unpack_incremental(
            head, parts, known.head, known.configuration
        )
    if unpacked.is_error():
        return expression.Error(unpacked.error)
    needed = {digest: parts[digest] for digest in head.part_digests}
    return expression.Ok(
        DecodedConfiguration(head, head_bytes, needed, unpacked.ok)
    )


def encode_notice(version: data.Version, wants_answer: bool) -> bytes:
    """Encodes which revision this host has.

    Args:
        version: The revision.
        wants_answer: Whether the peer is to tell its own.

    Returns:
        The body of a control datagram.
    """
    return codec.encode(
        ttypes.HeadNotice(
            revision=version.revision,
            digest=bytes.fromhex(version.digest),
            wants_answer=wants_answer,
        )
    )


def decode_notice(
    body: bytes,
) -> expression.Result[tuple[data.Version, bool], failures.UnreadableInput]:
    """Decodes which revision a peer has.

    Args:
        body: The body of a control datagram.

    Returns:
        The revision and whether the peer wants an answer, or why the body
        cannot be read.
    """
    decoded: Any = codec.decode(ttypes.HeadNotice, body)
    if decoded.is_error():
        return expression.Error(decoded.error)
    notice = decoded.ok
    version = data.Version(notice.revision, notice.digest.hex())
    return expression.Ok((version, notice.wants_answer))
