"""Lists the differences of two configurations and the capacity of each."""

from collections.abc import Mapping
import dataclasses
import enum
from typing import Any

from sapphire_core.configuration import merge
from sapphire_data import records

ABSENT = "absent"


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """One field that differs.

    Attributes:
        path: The path, such as `services.rota.upstreams.rota-1.intent`.
        before: The value before, `absent` if there was none.
        after: The value after, `absent` if there is none.
    """

    path: str
    before: str
    after: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCapacity:
    """The capacity of a service for new flows and requests.

    Attributes:
        service: The name of the service.
        upstreams: The number of upstreams that are eligible for new flows.
        slots: The sum of their slots: the requests that they handle at the
            same time.
        cold_flows_per_second: The sum of the rates of new flows that they
            can take at the beginning of slow start.
    """

    service: str
    upstreams: int
    slots: int
    cold_flows_per_second: float


def differences(
    before: records.Configuration, after: records.Configuration
) -> list[Difference]:
    """Lists the fields in which two configurations differ.

    The revision and digest are left out; the pool history is shown as the
    numbers of its current and its oldest generation.

    Args:
        before: The earlier configuration.
        after: The later configuration.

    Returns:
        The differences, sorted by path.
    """
    old = _fields_by_path(before)
    new = _fields_by_path(after)
    found: list[Difference] = []
    for path in sorted(old.keys() | new.keys()):
        old_value = old.get(path, ABSENT)
        new_value = new.get(path, ABSENT)
        if old_value == new_value:
            continue
        found.append(Difference(path, old_value, new_value))
    return found


def capacity_by_service(
    configuration: records.Configuration,
) -> dict[str, ServiceCapacity]:
    """Returns the capacity of each service.

    Args:
        configuration: The configuration that names the upstreams.

    Returns:
        The capacities, by the name of the service.
    """
    capacities: dict[str, ServiceCapacity] = {}
    for name, service in configuration.services_by_name.items():
        eligible = merge.eligible_upstreams(
            service.upstreams_by_name.values(),
            configuration.data_centres_by_name,
        )
        pool = [service.upstreams_by_name[upstream] for upstream in eligible]
        capacities[name] = ServiceCapacity(
            service=name,
            upstreams=len(pool),
            slots=sum(upstream.slots for upstream in pool),
            cold_flows_per_second=sum(
                upstream.cold_flows_per_second for upstream in pool
            ),
        )
    return capacities


def upstreams_losing_flows(
    before: records.Configuration, after: records.Configuration
) -> list[str]:
    """Returns the upstreams whose open flows are lost by a change.

    Args:
        before: The configuration in force.
        after: The configuration that would replace it.

    Returns:
        The names of the upstreams whose data centre is taken out, and of
        those that the configuration no longer has, sorted.
    """
    kept = _upstreams_in(after)
    return sorted(_upstreams_in(before) - kept)


def _upstreams_in(configuration: records.Configuration) -> set[str]:
    """Returns the upstreams whose data centre is in, the draining included."""
    names: set[str] = set()
    for service in configuration.services_by_name.values():
        for upstream in service.upstreams_by_name.values():
            data_centre = configuration.data_centres_by_name[
                upstream.data_centre
            ]
            if data_centre.state is records.DataCentreState.IN:
                names.add(upstream.name)
    return names


def _fields_by_path(configuration: records.Configuration) -> dict[str, str]:
    """Returns each field of a configuration as text, by its path."""
    fields: dict[str, str] = {}
    for name, data_centre in configuration.data_centres_by_name.items():
        fields[f"data_centres.{name}.state"] = data_centre.state.value
    for name, service in configuration.services_by_name.items():
        path = f"services.{name}"
        fields[f"{path}.address"] = f"{service.address} port {service.port}"
        fields[f"{path}.buckets"] = str(service.bucket_count)
        fields[f"{path}.generation"] = str(service.generations[-1].number)
        oldest = service.generations[0].number
        fields[f"{path}.oldest_generation"] = str(oldest)
        _add_fields(fields, f"{path}.limits", service.limits)
        _add_fields(fields, f"{path}.objectives", service.objectives)
        _add_pool(fields, f"{path}.upstreams", service.upstreams_by_name)
    return fields


def _add_pool(
    fields: dict[str, str],
    path: str,
    upstreams_by_name: Mapping[str, records.Upstream],
) -> None:
    """Adds the fields of each upstream of a pool."""
    for name, upstream in upstreams_by_name.items():
        _add_fields(fields, f"{path}.{name}", upstream)


def _add_fields(fields: dict[str, str], path: str, record: Any) -> None:
    """Adds the fields of a dataclass under their own names.

    The name is left out, since the path has it already.
    """
    for name, value in dataclasses.asdict(record).items():
        if name == "name":
            continue
        shown = value.value if isinstance(value, enum.Enum) else value
        fields[f"{path}.{name}"] = str(shown)
