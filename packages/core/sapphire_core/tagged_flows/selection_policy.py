"""The selection policy: the best of several upstreams for a new flow."""

from collections.abc import Container
from collections.abc import Sequence
import dataclasses
import random

from sapphire_core.tagged_flows import upstream_table

# The cost of a crossing between data centres, relative to the time that one
# request occupies a slot.
REMOTE_COST = 0.35


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may get the flow.

    Attributes:
        entry: The upstream.
        in_flight: The estimated number of its in-flight requests.
        consecutive_unanswered: How many opening packets in a row it left
            unanswered; 0 if it is not avoided for that.
        is_cold: Whether it is in slow start; its cold rate allows the flow.
        penalty: By how many in-flight requests it does worse than the others
            of its service.
    """

    entry: upstream_table.Entry
    in_flight: float
    consecutive_unanswered: int
    is_cold: bool
    penalty: float = 0.0


def select(
    candidates: Sequence[Candidate],
    data_centre: str,
    excluded_ids: Container[str],
    rng: random.Random,
) -> Candidate | None:
    """Selects the upstream for a new flow.

    Warm responsive upstreams come first, then cold responsive ones, then those
    with the fewest unanswered opening packets in a row. Within a group, the
    upstream with the fewest in-flight requests for its slots is selected, with
    a preference for the local data centre.

    Args:
        candidates: The upstreams that may get it.
        data_centre: The data centre of this host.
        excluded_ids: The identities of upstreams that must not get the flow.
        rng: Breaks ties between equally loaded upstreams.

    Returns:
        The candidate, None if there is none.
    """
    remaining = [
        c
        for c in candidates
        if c.entry.upstream.upstream_id not in excluded_ids
    ]
    for belongs_to_group in (_is_warm_and_responsive, _is_responsive):
        group = [c for c in remaining if belongs_to_group(c)]
        if group:
            return _least_loaded(group, data_centre, rng)
    if not remaining:
        return None
    fewest = min(c.consecutive_unanswered for c in remaining)
    group = [c for c in remaining if c.consecutive_unanswered == fewest]
    return _least_loaded(group, data_centre, rng)


def _is_warm_and_responsive(candidate: Candidate) -> bool:
    return candidate.consecutive_unanswered == 0 and not candidate.is_cold


def _is_responsive(candidate: Candidate) -> bool:
    return candidate.consecutive_unanswered == 0


def _least_loaded(
    group: Sequence[Candidate], data_centre: str, rng: random.Random
) -> Candidate:
    """Returns the candidate with the lowest load per slot, remote cost added.

    A random term of up to 0.01 breaks ties.
    """
    best = group[0]
    best_cost = float("inf")
    for candidate in group:
        upstream = candidate.entry.upstream
        load = candidate.in_flight + 1 + candidate.penalty
        cost = load / max(upstream.slots, 1)
        if upstream.data_centre != data_centre:
            cost += REMOTE_COST
        cost += rng.random() * 0.01
        if cost < best_cost:
            best = candidate
            best_cost = cost
    return best
