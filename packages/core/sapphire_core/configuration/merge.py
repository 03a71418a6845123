"""Computes the next configuration from the previous one and new input.

The input is the operators' document and the bindings of one environment.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from sapphire_core.configuration import data
from sapphire_core.configuration import failures as config_failures
from sapphire_core.configuration import merge_checks
from sapphire_data import failures
from sapphire_data import records

EMPTY = records.Configuration(
    revision=0, digest="", services_by_name={}, data_centres_by_name={}
)


def next_configuration(
    previous: records.Configuration,
    document: data.Document,
    bindings: data.Bindings,
) -> tuple[records.Configuration, list[failures.Failure]]:
    """Merges a new document and bindings into the configuration in force.

    Earlier pool generations and their upstreams are kept, so that open flows
    stay on their upstreams; `truncate_history` removes them.

    Args:
        previous: The configuration in force, or `EMPTY`.
        document: The new document.
        bindings: The addresses of this environment.

    Returns:
        The next configuration, and all failures. The configuration may be
        published only if there are none.
    """
    errors: list[failures.Failure] = []
    data_centres_by_name = _merge_data_centres(previous, document)
    services_by_name: dict[str, records.Service] = {}
    for name, intent in sorted(document.services_by_name.items()):
        address = bindings.services_by_name.get(name)
        if address is None:
            errors.append(config_failures.UnboundName(path=f"services.{name}"))
            continue
        upstreams_by_name = _bind_pool(intent, bindings, errors)
        service = _merge_service(
            previous.services_by_name.get(name),
            intent,
            address,
            upstreams_by_name,
            data_centres_by_name,
        )
        services_by_name[name] = service
    configuration = records.Configuration(
        revision=previous.revision + 1,
        digest=document.digest,
        services_by_name=services_by_name,
        data_centres_by_name=data_centres_by_name,
    )
    errors.extend(merge_checks.check_change(previous, configuration))
    return configuration, errors


def truncate_history(
    previous: records.Configuration,
    oldest_kept_by_service: Mapping[str, int],
) -> records.Configuration:
    """Removes old pool generations, as a new revision.

    The current generation always stays. An upstream is removed with the last
    generation that names it, unless its intent is to serve.

    Args:
        previous: The configuration in force.
        oldest_kept_by_service: For each service to truncate, the number of
            the oldest generation that may still have open flows.

    Returns:
        The next configuration.
    """
    services_by_name = dict(previous.services_by_name)
    for name, oldest in oldest_kept_by_service.items():
        service = services_by_name.get(name)
        if service is None:
            continue
        services_by_name[name] = _truncate_service(service, oldest)
    return dataclasses.replace(
        previous,
        revision=previous.revision + 1,
        services_by_name=services_by_name,
    )


def eligible_upstreams(
    upstreams: Iterable[records.Upstream],
    data_centres_by_name: Mapping[str, records.DataCentre],
) -> tuple[str, ...]:
    """Returns the upstreams that are eligible for new flows.

    Args:
        upstreams: The upstreams of a service.
        data_centres_by_name: The data centres of the configuration.

    Returns:
        The names of the upstreams that serve and whose data centre is in
        service, sorted.
    """
    names: list[str] = []
    for upstream in upstreams:
        if upstream.intent is not records.UpstreamIntent.SERVE:
            continue
        data_centre = data_centres_by_name.get(upstream.data_centre)
        if data_centre is None:
            continue
        if data_centre.state is not records.DataCentreState.IN:
            continue
        names.append(upstream.name)
    return tuple(sorted(names))


def _truncate_service(service: records.Service, oldest: int) -> records.Service:
    """Returns the service without the generations before `oldest`."""
    last = service.generations[-1]
    kept = tuple(
        generation
        for generation in service.generations
        if generation.number >= oldest or generation is last
    )
    named = {name for generation in kept for name in generation.upstreams}
    upstreams_by_name = {
        name: upstream
        for name, upstream in service.upstreams_by_name.items()
        if name in named or upstream.intent is records.UpstreamIntent.SERVE
    }
    return dataclasses.replace(
        service, generations=kept, upstreams_by_name=upstreams_by_name
    )


def _merge_data_centres(
    previous: records.Configuration, document: data.Document
) -> dict[str, records.DataCentre]:
    """Returns the data centres of the document and of the previous revision.

    A data centre that left the document stays, with the state out, because
    upstreams that are kept for their open flows may still name it.
    """
    merged: dict[str, records.DataCentre] = {}
    for name in previous.data_centres_by_name:
        merged[name] = records.DataCentre(
            name=name, state=records.DataCentreState.OUT
        )
    merged.update(document.data_centres_by_name)
    return merged


def _bind_pool(
    intent: data.ServiceIntent,
    bindings: data.Bindings,
    errors: list[failures.Failure],
) -> dict[str, records.Upstream]:
    """Returns the pool with addresses; adds a failure for each missing one."""
    upstreams_by_name: dict[str, records.Upstream] = {}
    for name, member in sorted(intent.pool_by_name.items()):
        address = bindings.upstreams_by_name.get(name)
        if address is None:
            errors.append(config_failures.UnboundName(path=f"upstreams.{name}"))
            continue
        upstreams_by_name[name] = records.Upstream(
            name=name,
            data_centre=member.data_centre,
            address=address.address,
            packet_port=address.packet_port,
            request_port=address.request_port,
            slots=member.slots,
            cold_flows_per_second=member.cold_flows_per_second,
            warm_up_ms=member.warm_up_ms,
            intent=member.intent,
        )
    return upstreams_by_name


def _merge_service(
    previous: records.Service | None,
    intent: data.ServiceIntent,
    address: data.ServiceAddress,
    upstreams_by_name: dict[str, records.Upstream],
    data_centres_by_name: Mapping[str, records.DataCentre],
) -> records.Service:
    """Returns the service with its pool history continued.

    A new generation begins if the set of eligible upstreams has changed.
    """
    eligible = eligible_upstreams(
        upstreams_by_name.values(), data_centres_by_name
    )
    generations: tuple[records.PoolGeneration, ...] = ()
    merged_by_name: dict[str, records.Upstream] = {}
    if previous is not None:
        generations = previous.generations
        merged_by_name = _upstreams_of_history(previous)
    if not generations or generations[-1].upstreams != eligible:
        number = generations[-1].number + 1 if generations else 1
        generations = (
            *generations,
            records.PoolGeneration(number=number, upstreams=eligible),
        )
    merged_by_name.update(upstreams_by_name)
    return records.Service(
        name=intent.name,
        address=address.address,
        port=address.port,
        bucket_count=intent.bucket_count,
        upstreams_by_name=merged_by_name,
        generations=generations,
        limits=intent.limits,
        objectives=intent.objectives,
    )


def _upstreams_of_history(
    service: records.Service,
) -> dict[str, records.Upstream]:
    """Returns the upstreams that any generation names, all as draining.

    Those that the new document still has replace them afterwards.
    """
    named = {
        name
        for generation in service.generations
        for name in generation.upstreams
    }
    draining_by_name: dict[str, records.Upstream] = {}
    for name, upstream in service.upstreams_by_name.items():
        if name not in named:
            continue
        draining_by_name[name] = dataclasses.replace(
            upstream, intent=records.UpstreamIntent.DRAIN
        )
    return draining_by_name
