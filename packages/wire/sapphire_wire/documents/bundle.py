"""Encodes and decodes the record that carries a configuration to a peer."""

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
        parts_by_digest: The compressed parts that the head names.
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
    """Encodes the newest configuration without the parts that a peer has.

    Keeps the digests of the parts of earlier revisions, to tell which parts a
    peer with one of these revisions lacks.

    Attributes:
        newest: The newest configuration; None before the first.
    """

    def __init__(self) -> None:
        self.newest: DecodedConfiguration | None = None
        self._digests_by_revision: dict[int, frozenset[bytes]] = {}

    def update(self, newest: DecodedConfiguration) -> None:
        """Sets the newest configuration.

        Args:
            newest: The newer configuration.
        """
        self.newest = newest
        digests = frozenset(newest.parts_by_digest)
        self._digests_by_revision[newest.version.revision] = digests
        if len(self._digests_by_revision) > MAX_KNOWN_REVISIONS:
            oldest = min(self._digests_by_revision)
            del self._digests_by_revision[oldest]

    def encode(self, known_revision: int) -> bytes | None:
        """Encodes the newest configuration for a peer.

        Args:
            known_revision: The revision that the peer has; 0 for none.

        Returns:
            The encoded bundle of the head and of the parts that the peer's
            revision does not have, or of all parts if that revision is not
            known here; None before the first configuration.
        """
        newest = self.newest
        if newest is None:
            return None
        known_digests = self._digests_by_revision.get(
            known_revision, frozenset()
        )
        parts = {
            digest: part
            for digest, part in newest.parts_by_digest.items()
            if digest not in known_digests
        }
        return codec.encode(
            ttypes.Bundle(head=newest.head_bytes, parts_by_digest=parts)
        )


def decode_bundle(
    encoded: bytes, known: DecodedConfiguration | None
) -> expression.Result[DecodedConfiguration, failures.UnreadableInput]:
    """Decodes a bundle from a peer, and checks the digests of the parts.

    Args:
        encoded: The encoded bundle; it may hold arbitrary bytes.
        known: The configuration that this host has; None before the first.

    Returns:
        The configuration, or why the bundle cannot be decoded.
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
    """Decodes a head and parts, and checks the digests of the parts.

    Args:
        head_bytes: The encoded head.
        new_parts: The parts that `known` does not have; further ones are
            ignored.
        known: The configuration that this host has; None before the first.

    Returns:
        The configuration, or why it cannot be decoded.
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
    """Encodes a notice of the version that this host has.

    Args:
        version: The revision and the digest of its head.
        wants_answer: Whether the peer shall answer with its own version.

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
    """Decodes a notice of the version that a peer has.

    Args:
        body: The body of a control datagram; it may hold arbitrary bytes.

    Returns:
        The version and whether the peer wants an answer, or why the body
        cannot be decoded.
    """
    decoded: Any = codec.decode(ttypes.HeadNotice, body)
    if decoded.is_error():
        return expression.Error(decoded.error)
    notice = decoded.ok
    version = data.Version(notice.revision, notice.digest.hex())
    return expression.Ok((version, notice.wants_answer))
