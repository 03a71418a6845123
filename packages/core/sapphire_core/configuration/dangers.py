"""Finds changes that lose service and need to be acknowledged by name."""

from collections.abc import Collection
import dataclasses

from sapphire_core.configuration import merge
from sapphire_data import failures
from sapphire_data import records

# Each carried generation costs memory on every host and lookups per packet.
MAX_POOL_GENERATIONS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Danger(failures.Failure):
    """The base of what needs an acknowledgement.

    Attributes:
        lost: The name of what is lost, which the operator has to give.
    """

    lost: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceWithoutUpstream(Danger):
    """A service that took new flows would have no eligible upstream."""


@dataclasses.dataclass(frozen=True, slots=True)
class LastDataCentreOut(Danger):
    """The last data centre that is in would go out."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRemoved(Danger):
    """A service would leave the configuration with its open flows."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAddressChanged(Danger):
    """Flows to the old address of a service would be given up."""


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryTooLong(Danger):
    """A service would carry more pool generations than hosts are sized for."""


def find_dangers(
    before: records.Configuration, after: records.Configuration
) -> list[Danger]:
    """Finds what a change would lose.

    Args:
        before: The configuration in force.
        after: The configuration that would replace it.

    Returns:
        The dangers, by service and then data centre.
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
        if _is_left_empty(before.services_by_name.get(name), new, after):
            dangers.append(ServiceWithoutUpstream(lost=name))
        if len(new.generations) > MAX_POOL_GENERATIONS:
            dangers.append(HistoryTooLong(lost=name))
    was_in = _data_centres_in(before)
    if was_in and not _data_centres_in(after):
        dangers.extend(LastDataCentreOut(lost=name) for name in was_in)
    return dangers


def unacknowledged_dangers(
    dangers: Collection[Danger], acknowledged: Collection[str]
) -> list[Danger]:
    """Returns the dangers whose loss the operator has not named.

    Args:
        dangers: What the change would lose.
        acknowledged: The names that the operator gave.

    Returns:
        The dangers that forbid the change.
    """
    return [danger for danger in dangers if danger.lost not in acknowledged]


def _is_left_empty(
    old: records.Service | None,
    new: records.Service,
    after: records.Configuration,
) -> bool:
    """Says whether a service loses its last eligible upstream."""
    if old is not None and not old.generations[-1].upstreams:
        return False
    eligible = merge.eligible_upstreams(
        new.upstreams_by_name.values(), after.data_centres_by_name
    )
    return not eligible


def _data_centres_in(configuration: records.Configuration) -> list[str]:
    """Names the data centres that are in, sorted."""
    return sorted(
        place.name
        for place in configuration.data_centres_by_name.values()
        if place.state is records.DataCentreState.IN
    )
