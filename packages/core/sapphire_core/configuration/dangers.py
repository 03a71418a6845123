"""Finds what a change would take out of service.

Each loss needs to be acknowledged by its name before the change is accepted.
"""

from collections.abc import Collection
import dataclasses

from sapphire_core.configuration import merge
from sapphire_data import failures
from sapphire_data import records

# Each generation costs memory on every host and lookups for each packet.
MAX_POOL_GENERATIONS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Danger(failures.Failure):
    """The base class of losses that the operator has to acknowledge.

    Attributes:
        lost: The name of the service or data centre that is lost, which the
            operator has to give.
    """

    lost: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceWithoutUpstream(Danger):
    """A service would lose its last upstream that is eligible for new flows.

    A new service without an eligible upstream counts too.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class LastDataCentreOut(Danger):
    """The last data centres that are in service would be taken out."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRemoved(Danger):
    """A service would be removed, and its open flows lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAddressChanged(Danger):
    """The address of a service would change, and its open flows be lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryTooLong(Danger):
    """A service would have more pool generations than hosts are sized for."""


def find_dangers(
    before: records.Configuration, after: records.Configuration
) -> list[Danger]:
    """Finds the losses that a change would cause.

    Args:
        before: The configuration in force.
        after: The configuration that would replace it.

    Returns:
        The dangers: services that are removed or change their address, then
        services that end up without upstreams or with too long a history,
        then data centres.
    """
    dangers: list[Danger] = []
    for name, old in sorted(before.services_by_name.items()):
        new = after.services_by_name.get(name)
        if new is None:
            dangers.append(ServiceRemoved(lost=name))
            continue
        if (old.address, old.port) != (new.address, new.port):
            dangers.append(ServiceAddressChanged(lost=name))
    for name, new in sorted(after.services_by_name.items()):
        if _loses_last_upstream(before.services_by_name.get(name), new, after):
            dangers.append(ServiceWithoutUpstream(lost=name))
        if len(new.generations) > MAX_POOL_GENERATIONS:
            dangers.append(HistoryTooLong(lost=name))
    in_before = _data_centres_in(before)
    if in_before and not _data_centres_in(after):
        dangers.extend(LastDataCentreOut(lost=name) for name in in_before)
    return dangers


def unacknowledged_dangers(
    dangers: Collection[Danger], acknowledged: Collection[str]
) -> list[Danger]:
    """Returns the dangers whose loss the operator has not acknowledged.

    Args:
        dangers: The losses that the change would cause.
        acknowledged: The names of losses that the operator accepts.

    Returns:
        The dangers because of which the change is refused.
    """
    return [danger for danger in dangers if danger.lost not in acknowledged]


def _loses_last_upstream(
    old: records.Service | None,
    new: records.Service,
    after: records.Configuration,
) -> bool:
    """Returns whether a service ends up without eligible upstreams.

    A service that had none before doesn't count.
    """
    if old is not None and not old.generations[-1].upstreams:
        return False
    eligible = merge.eligible_upstreams(
        new.upstreams_by_name.values(), after.data_centres_by_name
    )
    return not eligible


def _data_centres_in(configuration: records.Configuration) -> list[str]:
    """Returns the names of the data centres that are in service, sorted."""
    return sorted(
        data_centre.name
        for data_centre in configuration.data_centres_by_name.values()
        if data_centre.state is records.DataCentreState.IN
    )
