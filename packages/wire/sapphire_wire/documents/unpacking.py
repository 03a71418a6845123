"""Decodes the parts of a configuration, all or those that have changed."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import sys
from typing import Any
import zlib

import expression

from sapphire_data import failures
from sapphire_data import records
from sapphire_wire import codec
from sapphire_wire.documents import packing
from sapphire_wire.gen.configuration import ttypes

_ConfigurationResult = expression.Result[
    records.Configuration, failures.UnreadableInput
]


@dataclasses.dataclass(slots=True)
class _Records:
    """The thrift records of several parts."""

    services: list[Any] = dataclasses.field(default_factory=list)
    upstreams: list[Any] = dataclasses.field(default_factory=list)

    def service_names(self) -> set[str]:
        """Returns the services that the records describe."""
        names = {record.name for record in self.services}
        return names | {record.service_name for record in self.upstreams}


def unpack(
    head: packing.Head, parts_by_digest: Mapping[bytes, bytes]
) -> _ConfigurationResult:
    """Decodes a configuration from all its parts, and checks their digests.

    Args:
        head: The decoded head.
        parts_by_digest: The compressed parts; those that the head does not
            name are ignored.

    Returns:
        The configuration, or why it cannot be decoded.
    """
    pool_by_service: dict[str, dict[str, records.Upstream]] = {}
    names_by_generation: dict[tuple[str, int], list[str]] = {}
    service_records: list[Any] = []
    # One part at a time, because thrift records take much memory.
    for digest in head.part_digests:
        decoded = _decode((digest,), parts_by_digest)
        if decoded.is_error():
            return expression.Error(decoded.error)
        service_records.extend(decoded.ok.services)
        _add_upstreams(
            decoded.ok.upstreams, pool_by_service, names_by_generation
        )
    services_by_name: dict[str, records.Service] = {}
    for record in service_records:
        if not record.generations:
            return _unreadable(f"service {record.name} has no generation")
        services_by_name[record.name] = _service_of(
            record, pool_by_service.get(record.name, {}), names_by_generation
        )
    return expression.Ok(_configuration(head, services_by_name))


def unpack_incremental(
    head: packing.Head,
    parts_by_digest: Mapping[bytes, bytes],
    previous_head: packing.Head,
    previous: records.Configuration,
) -> _ConfigurationResult:
    """Decodes a configuration from the parts that differ from a previous one.

    Decodes the parts that only one of the two heads names, so that the work
    grows with the change and not with the whole configuration. All other
    services and upstreams are taken from the previous configuration.

    Args:
        head: The decoded head.
        parts_by_digest: The compressed parts of both heads.
        previous_head: The head of the previous configuration.
        previous: The previous configuration.

    Returns:
        The configuration, or why it cannot be decoded.
    """
    new_digests = set(head.part_digests)
    old_digests = set(previous_head.part_digests)
    added = _decode(sorted(new_digests - old_digests), parts_by_digest)
    if added.is_error():
        return expression.Error(added.error)
    removed = _decode(sorted(old_digests - new_digests), parts_by_digest)
    if removed.is_error():
        return expression.Error(removed.error)
    added_services = {record.name: record for record in added.ok.services}
    outdated_services = {record.name for record in removed.ok.services}
    outdated_upstreams = {record.name for record in removed.ok.upstreams}
    pool_by_service: dict[str, dict[str, records.Upstream]] = {}
    names_by_generation: dict[tuple[str, int], list[str]] = {}
    _add_upstreams(added.ok.upstreams, pool_by_service, names_by_generation)
    services_by_name = dict(previous.services_by_name)
    for name in added.ok.service_names() | removed.ok.service_names():
        before = previous.services_by_name.get(name)
        service_record = added_services.get(name)
        if service_record is None and name in outdated_services:
            services_by_name.pop(name, None)
            continue
        if before is not None:
            _keep_unchanged(
                before, outdated_upstreams, pool_by_service, names_by_generation
            )
        if service_record is not None:
            if not service_record.generations:
                return _unreadable(f"service {name} has no generation")
            services_by_name[name] = _service_of(
                service_record,
                pool_by_service.get(name, {}),
                names_by_generation,
            )
            continue
        if before is None:
            return _unreadable(f"upstreams of unknown service {name}")
        services_by_name[name] = dataclasses.replace(
            before,
            upstreams_by_name=pool_by_service.get(name, {}),
            generations=_generations(
                name,
                [item.number for item in before.generations],
                names_by_generation,
            ),
        )
    return expression.Ok(_configuration(head, services_by_name))


def _keep_unchanged(
    before: records.Service,
    outdated_upstreams: Collection[str],
    pool_by_service: dict[str, dict[str, records.Upstream]],
    names_by_generation: dict[tuple[str, int], list[str]],
) -> None:
    """Adds the upstreams of a service whose records have not changed.

    Args:
        before: The service in the previous configuration.
        outdated_upstreams: The upstreams whose records are in parts that the
            new head does not name.
        pool_by_service: The upstreams by name, by service; added to.
        names_by_generation: The names of upstreams by service and number of
            the generation; added to.
    """
    pool = pool_by_service.setdefault(before.name, {})
    for name, upstream in before.upstreams_by_name.items():
        if name not in outdated_upstreams:
            pool[name] = upstream
    for generation in before.generations:
        kept = [
            name
            for name in generation.upstreams
            if name not in outdated_upstreams
        ]
        key = (before.name, generation.number)
        names_by_generation.setdefault(key, []).extend(kept)


def _decode(
    digests: Iterable[bytes], parts_by_digest: Mapping[bytes, bytes]
) -> expression.Result[_Records, failures.UnreadableInput]:
    """Decodes parts, each of which must match its digest."""
    decoded = _Records()
    for digest in digests:
        content = parts_by_digest.get(digest)
        if content is None or packing.part_digest(content) != digest:
            return _unreadable(f"part {digest.hex()} is missing or altered")
        try:
            decompressed = zlib.decompressobj().decompress(
                content, codec.MAX_RECORD_BYTES
            )
        except zlib.error as error:
            return _unreadable(f"part {digest.hex()}: {error}")
        part: Any = codec.decode(ttypes.Part, decompressed)
        if part.is_error():
            return expression.Error(part.error)
        decoded.services.extend(part.ok.services)
        decoded.upstreams.extend(part.ok.upstreams)
    return expression.Ok(decoded)


def _add_upstreams(
    upstreams: Iterable[Any],
    pool_by_service: dict[str, dict[str, records.Upstream]],
    names_by_generation: dict[tuple[str, int], list[str]],
) -> None:
    """Adds upstreams to the pools and to the generations that name them."""
    for record in upstreams:
        pool = pool_by_service.setdefault(record.service_name, {})
        pool[record.name] = _upstream_of(record)
        for number in record.generations:
            key = (record.service_name, number)
            names_by_generation.setdefault(key, []).append(record.name)


def _service_of(
    record: Any,
    pool: Mapping[str, records.Upstream],
    names_by_generation: Mapping[tuple[str, int], list[str]],
) -> records.Service:
    """Returns the service of a thrift record and the upstreams of its pool."""
    return records.Service(
        name=record.name,
        address=record.address,
        port=record.port,
        bucket_count=record.bucket_count,
        upstreams_by_name=pool,
        generations=_generations(
            record.name, record.generations, names_by_generation
        ),
        limits=_limits_of(record),
        objectives=_objectives_of(record),
    )


def _generations(
    service: str,
    numbers: Iterable[int],
    names_by_generation: Mapping[tuple[str, int], list[str]],
) -> tuple[records.PoolGeneration, ...]:
    """Returns the history of a service's pool."""
    return tuple(
        records.PoolGeneration(
            number=number,
            upstreams=tuple(
                sorted(names_by_generation.get((service, number), ()))
            ),
        )
        for number in numbers
    )


def _configuration(
    head: packing.Head, services_by_name: Mapping[str, records.Service]
) -> records.Configuration:
    """Returns the configuration of a head and its services."""
    return records.Configuration(
        revision=head.version.revision,
        digest=head.change.document_digest,
        services_by_name=services_by_name,
        data_centres_by_name=head.data_centres_by_name,
    )


def _unreadable(problem: str) -> expression.Result[Any, Any]:
    """Returns the failure for a configuration that cannot be decoded."""
    return expression.Error(
        failures.UnreadableInput(source="configuration", problem=problem)
    )


def _upstream_of(record: Any) -> records.Upstream:
    """Returns the upstream of a thrift record."""
    intent = records.UpstreamIntent.SERVE
    if record.drains:
        intent = records.UpstreamIntent.DRAIN
    return records.Upstream(
        name=record.name,
        data_centre=sys.intern(record.data_centre),
        address=record.address,
        packet_port=record.packet_port,
        request_port=record.request_port,
        slots=record.slots,
        cold_flows_per_second=record.cold_flows_per_second,
        warm_up_ms=record.warm_up_ms,
        intent=intent,
    )


def _limits_of(record: Any) -> records.Limits:
    """Returns the limits of a service's thrift record."""
    return records.Limits(
        max_queue=record.max_queue,
        max_body_bytes=record.max_body_bytes,
        request_timeout_ms=record.request_timeout_ms,
        retry_share=record.retry_share,
    )


def _objectives_of(record: Any) -> records.Objectives:
    """Returns the objectives of a service's thrift record."""
    return records.Objectives(
        flows_kept=record.flows_kept,
        requests_answered=record.requests_answered,
        move_service=record.move_service,
    )
