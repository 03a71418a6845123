"""The differences, effects and dangers of a planned change."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from sapphire_core.configuration import dangers
from sapphire_core.configuration import difference
from sapphire_data import records

# Flows by service and upstream, summed over the hosts that have answered. Hosts
# count the flows opened since they started, of which some have ended.
FlowsByUpstream = Mapping[tuple[str, str], int]

_NO_CAPACITY = difference.ServiceCapacity("", 0, 0, 0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentreBroughtBack(dangers.Danger):
    """A document would bring back a data centre that operators took out."""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamUndrained(dangers.Danger):
    """A document would undrain an upstream that operators drained."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceEffect:
    """What a change does to the capacity and the flows of a service.

    Attributes:
        service: The name of the service.
        upstreams_before: The number of upstreams eligible for new flows
            before the change.
        upstreams_after: The same number after the change.
        slots_before: The number of requests that the service handles at the
            same time before the change.
        slots_after: The same number after the change.
        flows_opened: How many flows the hosts have opened, since they started,
            to upstreams whose open flows the change ends. It includes flows
            that have ended; None where it is not known.
    """

    service: str
    upstreams_before: int
    upstreams_after: int
    slots_before: int
    slots_after: int
    flows_opened: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class PlanSummary:
    """A planned change as it is shown to operators.

    Attributes:
        revision_before: The revision that it starts from.
        revision_after: The revision that it would make.
        digest_before: The digest of the document before.
        digest_after: The digest of the document after.
        differences: The fields that differ.
        effects: The effect on each service that changes.
        dangers: The losses that the operator has to accept by name.
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
    """Summarises the change from one configuration to another.

    Args:
        before: The configuration in force.
        after: The configuration that would follow.
        found_dangers: The dangers of the change.
        flows_by_upstream: The flows by service and upstream; None where they
            are not known.

    Returns:
        The summary.
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

    Equal services are left out first: listing all fields of a large
    configuration takes seconds, for which an urgent change has no time.

    Args:
        before: The earlier configuration.
        after: The later configuration.

    Returns:
        The differences.
    """
    old_services: dict[str, records.Service] = {}
    new_services: dict[str, records.Service] = {}
    names = before.services_by_name.keys() | after.services_by_name.keys()
    for name in names:
        old_service = before.services_by_name.get(name)
        new_service = after.services_by_name.get(name)
        if old_service == new_service:
            continue
        if old_service is not None:
            old_services[name] = old_service
        if new_service is not None:
            new_services[name] = new_service
    found = difference.differences(
        dataclasses.replace(before, services_by_name=old_services),
        dataclasses.replace(after, services_by_name=new_services),
    )
    return tuple(found)


def find_reverted_intent(
    before: records.Configuration, after: records.Configuration
) -> list[dangers.Danger]:
    """Finds the states and intents of operators that a document would revert.

    Operators take a data centre out in production without a new document from
    the trial environment, so the next document from there still has it in.

    Args:
        before: The configuration in force.
        after: The configuration that would follow.

    Returns:
        A danger for each data centre brought back and upstream undrained.
    """
    found: list[dangers.Danger] = []
    for name, data_centre in sorted(before.data_centres_by_name.items()):
        new_data_centre = after.data_centres_by_name.get(name, data_centre)
        if data_centre.state is not records.DataCentreState.OUT:
            continue
        if new_data_centre.state is records.DataCentreState.IN:
            found.append(DataCentreBroughtBack(lost=name))
    for service_name, service in sorted(before.services_by_name.items()):
        new_service = after.services_by_name.get(service_name)
        if new_service is None:
            continue
        for name, upstream in sorted(service.upstreams_by_name.items()):
            new_upstream = new_service.upstreams_by_name.get(name, upstream)
            if upstream.intent is not records.UpstreamIntent.DRAIN:
                continue
            if new_upstream.intent is records.UpstreamIntent.SERVE:
                found.append(UpstreamUndrained(lost=name))
    return found


def _effects(
    before: records.Configuration,
    after: records.Configuration,
    flows_by_upstream: FlowsByUpstream | None,
) -> tuple[ServiceEffect, ...]:
    """Computes the effect on services whose capacity or open flows change."""
    old_by_service = difference.capacity_by_service(before)
    new_by_service = difference.capacity_by_service(after)
    opened_by_service = _flows_opened(before, after, flows_by_upstream)
    effects = []
    for name in sorted(old_by_service.keys() | new_by_service.keys()):
        old_capacity = old_by_service.get(name, _NO_CAPACITY)
        new_capacity = new_by_service.get(name, _NO_CAPACITY)
        effect = ServiceEffect(
            service=name,
            upstreams_before=old_capacity.upstreams,
            upstreams_after=new_capacity.upstreams,
            slots_before=old_capacity.slots,
            slots_after=new_capacity.slots,
            flows_opened=opened_by_service.get(name, 0)
            if flows_by_upstream is not None
            else None,
        )
        has_same_capacity = (old_capacity.upstreams, old_capacity.slots) == (
            new_capacity.upstreams,
            new_capacity.slots,
        )
        if has_same_capacity and name not in opened_by_service:
            continue
        effects.append(effect)
    return tuple(effects)


def _flows_opened(
    before: records.Configuration,
    after: records.Configuration,
    flows_by_upstream: FlowsByUpstream | None,
) -> dict[str, int]:
    """Sums by service the flows opened to upstreams whose open flows end."""
    losing_flows = set(difference.upstreams_losing_flows(before, after))
    sums: dict[str, int] = {}
    for name, service in before.services_by_name.items():
        for upstream_name in service.upstreams_by_name:
            if upstream_name not in losing_flows:
                continue
            flows = (flows_by_upstream or {}).get((name, upstream_name), 0)
            sums[name] = sums.get(name, 0) + flows
    return sums
