"""The routing of one service address, computed from the known configurations.

Each pool generation of a service assigns an upstream, the owner, to each
bucket. The first known configuration is the active one; the others are
prepared and wait for their barrier. A bucket is settled if every host that
knows any of these configurations sends all its packets, opening packets
included, to the same upstream. All other buckets are ambiguous.
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
        table: For each bucket the index of its owner in `upstreams`.
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
class RouteInputs:
    """All that the routes of a service depend on.

    Attributes:
        versions: The service in each known configuration that has it, the
            oldest first.
        is_active: Whether the active configuration has the service.
        previous: The service in the previous active configuration, for as
            long as other hosts may still route by it.
        data_centres_out_in_active: Data centres that are out of rotation in
            the active configuration.
        data_centres_out_in_any: Data centres that are out of rotation in any
            known configuration; their upstreams get no new flows.
        data_centres_out_in_newest: Data centres that are out of rotation in
            the newest configuration; their open flows are reset.
        unsettled: Upstreams whose observation makes their buckets ambiguous,
            cold ones included.
        propagated: The subset of `unsettled` whose observation every host has
            received by now.
        failed: Upstreams that get no new flows because they were observed to
            have failed.
        reassigned: Upstreams whose name or address now belongs to another
            service.
    """

    versions: tuple[records.Service, ...]
    is_active: bool
    previous: records.Service | None
    data_centres_out_in_active: frozenset[str]
    data_centres_out_in_any: frozenset[str]
    data_centres_out_in_newest: frozenset[str]
    unsettled: frozenset[str]
    propagated: frozenset[str]
    failed: frozenset[str]
    reassigned: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Routes:
    """The routing of one service address.

    Attributes:
        inputs: What the routes were computed from.
        name: The name of the service.
        bucket_count: The number of buckets.
        decisions: For each settled bucket its decision, else None.
        generations: The tables of the active version of the service, the
            oldest first.
        oldest_tables: The oldest table of each version, and of the previous
            one; they differ while a generation is being removed.
        newest_tables: The newest table of each version; they differ while a
            change of the pool waits for its barrier.
        ambiguous_everywhere: For each bucket whether every host treats it as
            ambiguous, so that a replica host may select any upstream for its
            new flows.
        decision_by_upstream: What is done with a packet of an open flow.
        eligible: Upstreams that may get new flows.
        answering: Upstreams that may get retransmitted opening packets of their
            flows: the eligible ones and those that leave.
        service: The active version of the service.
    """

    inputs: RouteInputs
    name: str
    bucket_count: int
    decisions: list[data.Decision | None]
    generations: tuple[GenerationTable, ...]
    oldest_tables: tuple[GenerationTable, ...]
    newest_tables: tuple[GenerationTable, ...]
    ambiguous_everywhere: bytearray
    decision_by_upstream: Mapping[str, data.Decision]
    eligible: AbstractSet[str]
    answering: AbstractSet[str]
    service: records.Service

    def default_owner(self, bucket: int) -> str | None:
        """Returns the upstream of the flows of a bucket that are not recorded.

        It is the owner of the bucket in the oldest generation.
        """
        return self.generations[0].owner(bucket)

    def is_default_owner_in_all(self, bucket: int, upstream: str) -> bool:
        """Returns whether an upstream is the default owner in all versions.

        Only then every host sends a flow of the bucket that is not recorded to
        this upstream.
        """
        for table in self.oldest_tables:
            if table.owner(bucket) != upstream:
                return False
        return True

    def is_newest_owner_in_all(self, bucket: int, upstream: str) -> bool:
        """Returns whether an upstream is the newest owner in all versions.

        Only then a retransmitted opening packet gets the same upstream after
        the barrier as before, if the flow is not recorded.
        """
        for table in self.newest_tables:
            if table.owner(bucket) != upstream:
                return False
        return True

    def is_selected_everywhere(self, bucket: int, upstream: str) -> bool:
        """Returns whether every host selects an upstream for new flows.

        Only then a flow of the bucket needs no record.
        """
        return (
            upstream in self.eligible
            and upstream not in self.inputs.unsettled
            and self.is_default_owner_in_all(bucket, upstream)
            and self.is_newest_owner_in_all(bucket, upstream)
        )

    def serves_in_all(self, upstream: str) -> bool:
        """Returns whether an upstream may get new flows in all versions."""
        if upstream not in self.eligible:
            return False
        for version in self.inputs.versions:
            found = version.upstreams_by_name.get(upstream)
            if found is None:
                return False
            if found.intent is not records.UpstreamIntent.SERVE:
                return False
        return True


def build(inputs: RouteInputs) -> Routes:
    """Computes the routes of a service address.

    Args:
        inputs: The versions of the service and the state of its upstreams.

    Returns:
        The routes.
    """
    service = inputs.versions[0]
    tables = [_tables(version) for version in inputs.versions]
    oldest_tables = [generations[0] for generations in tables]
    if inputs.previous is not None:
        oldest_tables.append(_tables(inputs.previous)[0])
    routes = Routes(
        inputs=inputs,
        name=service.name,
        bucket_count=service.bucket_count,
        decisions=[None] * service.bucket_count,
        generations=tables[0],
        oldest_tables=tuple(oldest_tables),
        newest_tables=tuple(generations[-1] for generations in tables),
        ambiguous_everywhere=bytearray(service.bucket_count),
        decision_by_upstream=_decisions(inputs),
        eligible=_eligible(service, inputs),
        answering=_answering(inputs),
        service=service,
    )
    if not inputs.is_active:
        return routes
    _mark_ambiguous(routes)
    _settle(routes, tables)
    return routes


def _tables(service: records.Service) -> tuple[GenerationTable, ...]:
    """Returns the tables of all generations, one empty table if none."""
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
    service: records.Service, inputs: RouteInputs
) -> AbstractSet[str]:
    """Returns the upstreams that may get new flows."""
    eligible = set()
    for name, upstream in service.upstreams_by_name.items():
        if not _is_serving(upstream, inputs.data_centres_out_in_active):
            continue
        if upstream.data_centre in inputs.data_centres_out_in_any:
            continue
        if name in inputs.failed or name in inputs.reassigned:
            continue
        eligible.add(name)
    return eligible


def _answering(inputs: RouteInputs) -> AbstractSet[str]:
    """Returns the upstreams that answer packets of their open flows."""
    answering = set()
    for version in inputs.versions:
        for name, upstream in version.upstreams_by_name.items():
            if upstream.data_centre in inputs.data_centres_out_in_any:
                continue
            if name not in inputs.failed and name not in inputs.reassigned:
                answering.add(name)
    return answering


def _is_serving(
    upstream: records.Upstream, data_centres_out: frozenset[str]
) -> bool:
    """Returns whether the active configuration gives it new flows."""
    if upstream.intent is not records.UpstreamIntent.SERVE:
        return False
    return upstream.data_centre not in data_centres_out


def _decisions(inputs: RouteInputs) -> dict[str, data.Decision]:
    """Returns the decision for open flows of each upstream."""
    decisions: dict[str, data.Decision] = {}
    for version in inputs.versions:
        for name, upstream in version.upstreams_by_name.items():
            if name in inputs.reassigned:
                decisions[name] = data.Reset(failures.UpstreamGone(name))
                continue
            # Only the newest configuration counts here. When it brings a data
            # centre back, hosts that have activated it already open flows
            # there, which the others must not reset.
            if upstream.data_centre in inputs.data_centres_out_in_newest:
                decisions[name] = data.Reset(
                    failures.DataCentreOut(name, upstream.data_centre)
                )
                continue
            decisions[name] = data.Forward(upstream)
    return decisions


def _mark_ambiguous(routes: Routes) -> None:
    """Marks the buckets that every host treats as ambiguous by now."""
    newest = routes.generations[-1]
    settled_owners = set()
    for name, upstream in routes.service.upstreams_by_name.items():
        if _is_serving(upstream, routes.inputs.data_centres_out_in_active):
            settled_owners.add(name)
    settled_owners -= routes.inputs.propagated
    for bucket in range(routes.bucket_count):
        owner = newest.owner(bucket)
        if owner not in settled_owners:
            routes.ambiguous_everywhere[bucket] = 1
            continue
        for generation in routes.generations[:-1]:
            if generation.owner(bucket) != owner:
                routes.ambiguous_everywhere[bucket] = 1
                break


def _settle(
    routes: Routes, tables: Sequence[tuple[GenerationTable, ...]]
) -> None:
    """Fills in the decisions of buckets whose owner is the same in all tables.

    Args:
        routes: The routes; their decisions are changed.
        tables: The tables of each version, the active one first.
    """
    newest = routes.generations[-1]
    settled_owners = routes.eligible - routes.inputs.unsettled
    prepared = [table for version in tables[1:] for table in version]
    for bucket in range(routes.bucket_count):
        owner = newest.owner(bucket)
        if (
            owner is None
            or routes.ambiguous_everywhere[bucket]
            or owner not in settled_owners
        ):
            continue
        if any(table.owner(bucket) != owner for table in prepared):
            continue
        routes.decisions[bucket] = routes.decision_by_upstream[owner]
