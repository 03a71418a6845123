"""The routing of one service address, computed from the known revisions.

The first known configuration is active; the others are prepared. A bucket has
a decision of its own only if every host that knows any of them sends all its
packets, opening ones included, to the same upstream.
"""

import array
from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set as AbstractSet
import dataclasses

from sapphire_core.flows import bucket_table
from sapphire_core.flows import data
from sapphire_core.flows import failures
from sapphire_data import records


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationTable:
    """A pool generation with the owner of each bucket.

    Attributes:
        number: The number of the generation.
        upstreams: The sorted names of the eligible upstreams.
        table: For each bucket the index of its owner.
    """

    number: int
    upstreams: tuple[str, ...]
    table: "array.array[int]"

    def owner(self, bucket: int) -> str | None:
        """Returns the owner of a bucket, None in an empty generation."""
        index = self.table[bucket]
        if index == bucket_table.NO_OWNER:
            return None
        return self.upstreams[index]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceInputs:
    """All that the routes of a service depend on.

    Attributes:
        views: The service in each known configuration that has it, the
            oldest first.
        is_active: Whether the active configuration has the service.
        retired: The service in the previous active configuration, for as
            long as other hosts may still go by it.
        closed_data_centres: Data centres that are out in the active
            configuration.
        out_data_centres: Data centres that are out in any known revision;
            their upstreams get no new flows.
        given_up_data_centres: Those that are out in the newest revision;
            their open flows are given up.
        unsettled: Upstreams with an overlay, cold ones included.
        spread: Those of them whose overlay every host knows by now.
        refused: Upstreams that an overlay keeps from new flows.
        lost: Upstreams whose address passed to another service.
    """

    views: tuple[records.Service, ...]
    is_active: bool
    retired: records.Service | None
    closed_data_centres: frozenset[str]
    out_data_centres: frozenset[str]
    given_up_data_centres: frozenset[str]
    unsettled: frozenset[str]
    spread: frozenset[str]
    refused: frozenset[str]
    lost: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Routes:
    """The routing of one service address.

    Attributes:
        inputs: What the routes were computed from.
        name: The name of the service.
        bucket_count: The number of buckets.
        decisions: For each settled bucket its decision, else None.
        generations: The tables of the active view, the oldest first.
        bases: The oldest table of each view; they differ while a generation
            is being dropped.
        finals: The newest table of each view; they differ while a change of
            the pool waits for its barrier.
        shared: For each bucket whether every host treats it as ambiguous,
            so that a keeper may place flows anywhere.
        decision_by_upstream: What happens to a packet of an open flow.
        eligible: Upstreams that may get new flows.
        service: The service in the active view.
    """

    inputs: ServiceInputs
    name: str
    bucket_count: int
    decisions: list[data.Decision | None]
    generations: tuple[GenerationTable, ...]
    bases: tuple[GenerationTable, ...]
    finals: tuple[GenerationTable, ...]
    shared: bytearray
    decision_by_upstream: Mapping[str, data.Decision]
    eligible: AbstractSet[str]
    service: records.Service

    def base_owner(self, bucket: int) -> str | None:
        """Returns the upstream of flows of a bucket that are not recorded."""
        return self.generations[0].owner(bucket)

    def is_told_by_base(self, bucket: int, upstream: str) -> bool:
        """Returns whether all views name an upstream as the base owner."""
        for base in self.bases:
            if base.owner(bucket) != upstream:
                return False
        return True

    def is_preferred_by_all(self, bucket: int, upstream: str) -> bool:
        """Returns whether a new flow would go to an upstream in all views.

        A repeated opening packet finds the same upstream after the barrier
        only then, if the flow is not recorded.
        """
        for final in self.finals:
            if final.owner(bucket) != upstream:
                return False
        return True


def build(inputs: ServiceInputs) -> Routes:
    """Computes the routes of a service address.

    Args:
        inputs: The views of the service and the state of its upstreams.

    Returns:
        The routes.
    """
    service = inputs.views[0]
    tables = [_tables(view) for view in inputs.views]
    bases = [generations[0] for generations in tables]
    if inputs.retired is not None:
        bases.append(_tables(inputs.retired)[0])
    routes = Routes(
        inputs=inputs,
        name=service.name,
        bucket_count=service.bucket_count,
        decisions=[None] * service.bucket_count,
        generations=tables[0],
        bases=tuple(bases),
        finals=tuple(generations[-1] for generations in tables),
        shared=bytearray(service.bucket_count),
        decision_by_upstream=_decisions(inputs),
        eligible=_eligible(service, inputs),
        service=service,
    )
    if not inputs.is_active:
        return routes
    _mark_shared(routes)
    _settle(routes, tables)
    return routes


def _tables(service: records.Service) -> tuple[GenerationTable, ...]:
    """Returns the tables of all generations of a service."""
    tables = []
    for generation in service.generations:
        table = bucket_table.owners(
            service.name, service.bucket_count, generation.upstreams
        )
        tables.append(
            GenerationTable(generation.number, generation.upstreams, table)
        )
    if not tables:
        empty = bucket_table.owners(service.name, service.bucket_count, ())
        tables.append(GenerationTable(0, (), empty))
    return tuple(tables)


def _eligible(
    service: records.Service, inputs: ServiceInputs
) -> AbstractSet[str]:
    """Returns the upstreams that may get new flows."""
    eligible = set()
    for name, upstream in service.upstreams_by_name.items():
        if not _is_open(upstream, inputs.closed_data_centres):
            continue
        if upstream.data_centre in inputs.out_data_centres:
            continue
        if name in inputs.refused or name in inputs.lost:
            continue
        eligible.add(name)
    return eligible


def _is_open(
    upstream: records.Upstream, closed_data_centres: frozenset[str]
) -> bool:
    """Returns whether the active configuration gives it new flows."""
    if upstream.intent is not records.UpstreamIntent.SERVE:
        return False
    return upstream.data_centre not in closed_data_centres


def _decisions(inputs: ServiceInputs) -> dict[str, data.Decision]:
    """Returns the decision for open flows of each upstream."""
    decisions: dict[str, data.Decision] = {}
    for view in inputs.views:
        for name, upstream in view.upstreams_by_name.items():
            if name in inputs.lost:
                decisions[name] = data.Reset(failures.UpstreamGone(name))
                continue
            # While a data centre returns, hosts that have activated its
            # return already open flows there.
            if upstream.data_centre in inputs.given_up_data_centres:
                decisions[name] = data.Reset(
                    failures.DataCentreOut(name, upstream.data_centre)
                )
                continue
            decisions[name] = data.Forward(upstream)
    return decisions


def _mark_shared(routes: Routes) -> None:
    """Marks the buckets that every host treats as ambiguous by now."""
    newest = routes.generations[-1]
    open_owners = set()
    for name, upstream in routes.service.upstreams_by_name.items():
        if _is_open(upstream, routes.inputs.closed_data_centres):
            open_owners.add(name)
    open_owners -= routes.inputs.spread
    for bucket in range(routes.bucket_count):
        owner = newest.owner(bucket)
        if owner not in open_owners:
            routes.shared[bucket] = 1
            continue
        for generation in routes.generations[:-1]:
            if generation.owner(bucket) != owner:
                routes.shared[bucket] = 1
                break


def _settle(
    routes: Routes, tables: Sequence[tuple[GenerationTable, ...]]
) -> None:
    """Fills in the decisions of buckets on which all tables agree."""
    newest = routes.generations[-1]
    open_owners = routes.eligible - routes.inputs.unsettled
    prepared = [table for view in tables[1:] for table in view]
    for bucket in range(routes.bucket_count):
        owner = newest.owner(bucket)
        if owner is None or routes.shared[bucket] or owner not in open_owners:
            continue
        if any(table.owner(bucket) != owner for table in prepared):
            continue
        routes.decisions[bucket] = routes.decision_by_upstream[owner]
