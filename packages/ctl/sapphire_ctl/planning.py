"""The effect of a planned change on capacity and flows."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from sapphire_core.configuration import dangers
from sapphire_core.configuration import difference
from sapphire_data import records

# Flows by service and upstream, summed over the hosts that have answered.
FlowsByUpstream = Mapping[tuple[str, str], int]

_NO_CAPACITY = difference.ServiceCapacity("", 0, 0, 0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentreBroughtBack(dangers.Danger):
    """A document would bring a data centre back that operators took out."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamUndrained(dangers.Danger):
    """A document would undrain an upstream that operators drain."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceEffect:
    """What a change does to the capacity and the flows of a service.

    Attributes:
        service: The name of the service.
        upstreams_before: The upstreams that take new flows before.
        upstreams_after: Those that do so after.
        slots_before: The requests that these run at a time before.
        slots_after: Those that they run after.
        flows_given_up: The open flows that end; None where no host has
            answered.
    """

    service: str
    upstreams_before: int
    upstreams_after: int
    slots_before: int
    slots_after: int
    flows_given_up: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class PlanSummary:
    """A planned change as operators see it.

    Attributes:
        revision_before: The revision that it starts from.
        revision_after: The revision that it would make.
        digest_before: The digest of the document before.
        digest_after: The digest of the document after.
        differences: The fields that differ.
        effects: The effect on each service that changes.
        dangers: What the operator has to name for the change to be made.
    """

    revision_before: int
    revision_after: int
    digest_before: str
    digest_after: str
    differences: tuple[difference.Difference, ...]
    effects: tuple[ServiceEffect, ...]
    dangers: tuple[dangers.Danger, ...]

    @property
    def is_empty(self) -> bool:
        """Whether nothing would change, not even the document's bytes."""
        return not self.differences and self.digest_before == self.digest_after


def summarise_plan(
    before: records.Configuration,
    after: records.Configuration,
    found_dangers: Iterable[dangers.Danger],
    flows_by_upstream: FlowsByUpstream | None,
) -> PlanSummary:
    """Describes the change from one configuration to another.

    Args:
        before: The configuration in force.
        after: The configuration that would follow.
        found_dangers: What the change loses.
        flows_by_upstream: The open flows, by service and upstream; None where
            no host has answered.

    Returns:
        The view.
    """
    return PlanSummary(
        revision_before=before.revision,
        revision_after=after.revision,
        digest_before=before.digest,
        digest_after=after.digest,
        differences=find_differences(before, after),
        effects=_effects(before, after, flows_by_upstream),
        dangers=tuple(found_dangers),
    )


def find_differences(
    before: records.Configuration, after: records.Configuration
) -> tuple[difference.Difference, ...]:
    """Lists the fields that differ, by path.

    Services that are equal are left out first: to write out all fields of a
    large configuration takes seconds, and an urgent change has none.

    Args:
        before: The one configuration.
        after: The other one.

    Returns:
        The differences.
    """
    old: dict[str, records.Service] = {}
    new: dict[str, records.Service] = {}
    names = before.services_by_name.keys() | after.services_by_name.keys()
    for name in names:
        old_service = before.services_by_name.get(name)
        new_service = after.services_by_name.get(name)
        if old_service == new_service:
            continue
        if old_service is not None:
            old[name] = old_service
        if new_service is not None:
            new[name] = new_service
    found = difference.differences(
        dataclasses.replace(before, services_by_name=old),
        dataclasses.replace(after, services_by_name=new),
    )
    return tuple(found)


def find_reverted_intent(
    before: records.Configuration, after: records.Configuration
) -> list[dangers.Danger]:
    """Finds what a document reverts that operators have set in force.

    A data centre is taken out in production without a new document from the
    trial, so the next document from there still has it in.

    Args:
        before: The configuration in force.
        after: The configuration that would follow.

    Returns:
        One danger for each data centre and upstream.
    """
    found: list[dangers.Danger] = []
    for name, place in sorted(before.data_centres_by_name.items()):
        new_place = after.data_centres_by_name.get(name, place)
        if place.state is not records.DataCentreState.OUT:
            continue
        if new_place.state is records.DataCentreState.IN:
            found.append(DataCentreBroughtBack(lost=name))
    for service_name, service in sorted(before.services_by_name.items()):
        new_service = after.services_by_name.get(service_name)
        if new_service is None:
            continue
        for name, upstream in sorted(service.upstreams_by_name.items()):
            new = new_service.upstreams_by_name.get(name, upstream)
            if upstream.intent is not records.UpstreamIntent.DRAIN:
                continue
            if new.intent is records.UpstreamIntent.SERVE:
                found.append(UpstreamUndrained(lost=name))
    return found


def _effects(
    before: records.Configuration,
    after: records.Configuration,
    flows_by_upstream: FlowsByUpstream | None,
) -> tuple[ServiceEffect, ...]:
    """Computes the effect on each service that changes."""
    old_by_service = difference.capacity_by_service(before)
    new_by_service = difference.capacity_by_service(after)
    given_up_by_service = _flows_given_up(before, after, flows_by_upstream)
    effects = []
    for name in sorted(old_by_service.keys() | new_by_service.keys()):
        old = old_by_service.get(name, _NO_CAPACITY)
        new = new_by_service.get(name, _NO_CAPACITY)
        effect = ServiceEffect(
            service=name,
            upstreams_before=old.upstreams,
            upstreams_after=new.upstreams,
            slots_before=old.slots,
            slots_after=new.slots,
            flows_given_up=given_up_by_service.get(name, 0)
            if flows_by_upstream is not None
            else None,
        )
        has_same_capacity = (old.upstreams, old.slots) == (
            new.upstreams,
            new.slots,
        )
        if has_same_capacity and name not in given_up_by_service:
            continue
        effects.append(effect)
    return tuple(effects)


def _flows_given_up(
    before: records.Configuration,
    after: records.Configuration,
    flows_by_upstream: FlowsByUpstream | None,
) -> dict[str, int]:
    """Adds up the flows to upstreams that are given up, by service."""
    given_up = set(difference.upstreams_losing_flows(before, after))
    sums: dict[str, int] = {}
    for name, service in before.services_by_name.items():
        for upstream_name in service.upstreams_by_name:
            if upstream_name not in given_up:
                continue
            flows = (flows_by_upstream or {}).get((name, upstream_name), 0)
            sums[name] = sums.get(name, 0) + flows
    return sums
