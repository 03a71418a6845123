"""Decodes the operators' document and the bindings, and reports all errors."""

import hashlib

from sapphire_core.configuration import data
from sapphire_data import failures
from sapphire_data import records
from sapphire_wire import validation
from sapphire_wire.documents import models


def digest_of(content: bytes) -> str:
    """Returns the SHA-256 of a document or of bindings in hexadecimal."""
    return hashlib.sha256(content).hexdigest()


def decode_document(
    content: bytes, source: str = "document"
) -> tuple[data.Document | None, list[failures.Failure]]:
    """Decodes and checks the operators' document.

    Args:
        content: The bytes, in JSON with comments; they may be arbitrary.
        source: The name of the document in failures.

    Returns:
        The document, or None if it has errors; and all errors.
    """
    model, errors = validation.parse(models.DocumentModel, content, source)
    if model is None:
        return None, errors
    errors = _check_references(model)
    if errors:
        return None, errors
    document = data.Document(
        digest=digest_of(content),
        services_by_name={
            name: _service_intent(name, service)
            for name, service in model.services.items()
        },
        data_centres_by_name={
            name: records.DataCentre(name=name, state=data_centre.state)
            for name, data_centre in model.data_centres.items()
        },
    )
    return document, []


def decode_bindings(
    content: bytes, source: str = "bindings"
) -> tuple[data.Bindings | None, list[failures.Failure]]:
    """Decodes and checks the address bindings of one environment.

    Args:
        content: The bytes, in JSON with comments; they may be arbitrary.
        source: The name of the bindings in failures.

    Returns:
        The bindings, or None if they have errors; and all errors.
    """
    model, errors = validation.parse(models.BindingsModel, content, source)
    if model is None:
        return None, errors
    bindings = data.Bindings(
        digest=digest_of(content),
        services_by_name={
            name: data.ServiceAddress(address=entry.address, port=entry.port)
            for name, entry in model.services.items()
        },
        upstreams_by_name={
            name: data.UpstreamAddress(
                address=entry.address,
                packet_port=entry.packet_port,
                request_port=entry.request_port,
            )
            for name, entry in model.upstreams.items()
        },
    )
    return bindings, []


def _check_references(model: models.DocumentModel) -> list[failures.Failure]:
    """Checks references to data centres, and that upstreams' names are unique.

    Returns:
        A failure for each unknown data centre and for each upstream whose name
        also occurs in the pool of another service.
    """
    errors: list[failures.Failure] = []
    service_by_upstream: dict[str, str] = {}
    known = ", ".join(sorted(model.data_centres)) or "none is declared"
    for service_name, service in model.services.items():
        for upstream_name, upstream in service.pool.items():
            path = f"services.{service_name}.pool.{upstream_name}"
            if upstream.data_centre not in model.data_centres:
                errors.append(
                    failures.InvalidField(
                        path=f"{path}.data_centre",
                        problem=f"unknown: {upstream.data_centre}",
                        expected=f"a data centre of the document: {known}",
                    )
                )
            first_service = service_by_upstream.setdefault(
                upstream_name, service_name
            )
            if first_service == service_name:
                continue
            errors.append(
                failures.InvalidField(
                    path=path,
                    problem=f"the name is also in the pool of {first_service}",
                    expected="a name that no other upstream has",
                )
            )
    return errors


def _service_intent(
    name: str, model: models.ServiceModel
) -> data.ServiceIntent:
    """Returns the intent record of a service."""
    return data.ServiceIntent(
        name=name,
        bucket_count=model.buckets,
        pool_by_name={
            upstream_name: data.PoolMember(
                name=upstream_name,
                data_centre=upstream.data_centre,
                slots=upstream.slots,
                cold_flows_per_second=upstream.cold_flows_per_second,
                warm_up_ms=upstream.warm_up_ms,
                intent=upstream.intent,
            )
            for upstream_name, upstream in model.pool.items()
        },
        limits=records.Limits(**model.limits.model_dump()),
        objectives=records.Objectives(**model.objectives.model_dump()),
    )
