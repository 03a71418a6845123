"""Encodes a configuration as a head and parts, and decodes the head.

Upstreams are split into parts by data centre and by shard of services,
services by shard, and both into chunks. So no part exceeds the store's limit,
and a change alters few parts.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import hashlib
from typing import Any
import zlib

import expression
import xxhash

from sapphire_core.configuration import data
from sapphire_data import failures
from sapphire_data import records
from sapphire_wire import codec
from sapphire_wire.gen.configuration import ttypes

DIGEST_BYTES = 16
# The most records in a part on average. Such a part is about 6 KB when
# compressed.
RECORDS_PER_PART = 256
# 4,096 records of at most about 200 bytes are less than 1 MB uncompressed.
MAX_RECORDS_PER_CHUNK = 4_096
MAX_PART_BYTES = 1_000_000
COMPRESSION_LEVEL = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Who made a revision, how, and from which document and bindings.

    Attributes:
        writer_id: Unique to this change. After a write whose response was lost
            it shows whether the write took effect.
        author: The operator or host that made the change.
        action: The kind of change, such as `apply`.
        written_ms: The wall time in milliseconds.
        document_digest: The digest of the document's bytes.
        bindings_digest: The digest of the bindings' bytes.
    """

    writer_id: str
    author: str
    action: str
    written_ms: int
    document_digest: str
    bindings_digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The decoded head of a revision.

    Attributes:
        version: The revision and the digest of the encoded head.
        change: Who made the revision, how, and from what.
        shard_count: The number of shards of services.
        data_centres_by_name: The data centres.
        part_digests: The digest of each part, in the order of the parts.
    """

    version: data.Version
    change: Change
    shard_count: int
    data_centres_by_name: Mapping[str, records.DataCentre]
    part_digests: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PackedConfiguration:
    """An encoded configuration.

    Attributes:
        version: The revision and the digest of the head.
        head: The encoded head.
        parts_by_digest: The compressed parts.
    """

    version: data.Version
    head: bytes
    parts_by_digest: Mapping[bytes, bytes]


def part_digest(content: bytes) -> bytes:
    """Returns the digest that names a part or a head."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()


def pack(
    configuration: records.Configuration,
    change: Change,
    min_shard_count: int = 1,
) -> PackedConfiguration:
    """Encodes a configuration.

    Args:
        configuration: The configuration.
        change: Who made the revision, how, and from what.
        min_shard_count: The shard count of the previous head. The count
            never decreases, because another count changes every part.

    Returns:
        The head and its parts.
    """
    shard_count = _shard_count(configuration, min_shard_count)
    parts_by_digest: dict[bytes, bytes] = {}
    digests: list[bytes] = []
    for part in _parts(configuration, shard_count):
        content = zlib.compress(codec.encode(part), COMPRESSION_LEVEL)
        digest = part_digest(content)
        digests.append(digest)
        parts_by_digest[digest] = content
    head = codec.encode(
        ttypes.Head(
            revision=configuration.revision,
            shard_count=shard_count,
            data_centres=[
                ttypes.DataCentreRecord(
                    name=name,
                    is_out=item.state is records.DataCentreState.OUT,
                )
                for name, item in sorted(
                    configuration.data_centres_by_name.items()
                )
            ],
            parts=digests,
            **dataclasses.asdict(change),
        )
    )
    version = data.Version(
        revision=configuration.revision, digest=part_digest(head).hex()
    )
    return PackedConfiguration(
        version=version, head=head, parts_by_digest=parts_by_digest
    )


def unpack_head(
    content: bytes,
) -> expression.Result[Head, failures.UnreadableInput]:
    """Decodes a head.

    Args:
        content: The encoded head; it may hold arbitrary bytes.

    Returns:
        The head, or why it cannot be decoded.
    """
    return codec.decode(ttypes.Head, content).map(
        lambda record: _head_of(record, content)
    )


def _shard_count(configuration: records.Configuration, minimum: int) -> int:
    """Returns the number of shards.

    The smallest number, doubled from the minimum, at which parts have at most
    `RECORDS_PER_PART` records on average.
    """
    record_count = 0
    for service in configuration.services_by_name.values():
        record_count += 1 + len(service.upstreams_by_name)
    parts_per_shard = 1 + len(configuration.data_centres_by_name)
    count = max(minimum, 1)
    while record_count > count * parts_per_shard * RECORDS_PER_PART:
        count *= 2
    return count


def _parts(
    configuration: records.Configuration, shard_count: int
) -> Iterable[Any]:
    """Yields the thrift records of the parts in a deterministic order."""
    services_by_shard: dict[int, list[Any]] = {}
    upstreams_by_data_centre_and_shard: dict[tuple[str, int], list[Any]] = {}
    for name in sorted(configuration.services_by_name):
        service = configuration.services_by_name[name]
        shard = xxhash.xxh64_intdigest(name.encode()) % shard_count
        services_by_shard.setdefault(shard, []).append(_service_record(service))
        for record in _upstream_records(service):
            key = (record.data_centre, shard)
            upstreams_by_data_centre_and_shard.setdefault(key, []).append(
                record
            )
    for _, services in sorted(services_by_shard.items()):
        for chunk in _chunks(services):
            yield ttypes.Part(services=chunk, upstreams=[])
    for _, upstreams in sorted(upstreams_by_data_centre_and_shard.items()):
        for chunk in _chunks(upstreams):
            yield ttypes.Part(services=[], upstreams=chunk)


def _chunks(items: list[Any]) -> Iterable[list[Any]]:
    """Yields consecutive items, as many as fit into one part."""
    for start in range(0, len(items), MAX_RECORDS_PER_CHUNK):
        yield items[start : start + MAX_RECORDS_PER_CHUNK]


def _service_record(service: records.Service) -> Any:
    """Returns the thrift record of a service without its pool."""
    return ttypes.ServiceRecord(
        name=service.name,
        address=service.address,
        port=service.port,
        bucket_count=service.bucket_count,
        generations=[item.number for item in service.generations],
        **dataclasses.asdict(service.limits),
        **dataclasses.asdict(service.objectives),
    )


def _upstream_records(service: records.Service) -> Iterable[Any]:
    """Yields the thrift records of a service's upstreams, by name."""
    generations_by_name: dict[str, list[int]] = {}
    for generation in service.generations:
        for name in generation.upstreams:
            generations_by_name.setdefault(name, []).append(generation.number)
    for name, upstream in sorted(service.upstreams_by_name.items()):
        yield ttypes.UpstreamRecord(
            service_name=service.name,
            name=name,
            data_centre=upstream.data_centre,
            address=upstream.address,
            packet_port=upstream.packet_port,
            request_port=upstream.request_port,
            slots=upstream.slots,
            cold_flows_per_second=upstream.cold_flows_per_second,
            warm_up_ms=upstream.warm_up_ms,
            drains=upstream.intent is records.UpstreamIntent.DRAIN,
            generations=generations_by_name.get(name, []),
        )


def _head_of(record: Any, content: bytes) -> Head:
    """Returns the head of a thrift record that was decoded from content."""
    return Head(
        version=data.Version(
            revision=record.revision, digest=part_digest(content).hex()
        ),
        change=Change(
            writer_id=record.writer_id,
            author=record.author,
            action=record.action,
            written_ms=record.written_ms,
            document_digest=record.document_digest,
            bindings_digest=record.bindings_digest,
        ),
        shard_count=record.shard_count,
        data_centres_by_name={
            item.name: records.DataCentre(
                name=item.name,
                state=records.DataCentreState.OUT
                if item.is_out
                else records.DataCentreState.IN,
            )
            for item in record.data_centres
        },
        part_digests=tuple(record.parts),
    )
