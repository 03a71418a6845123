"""The choice of an upstream for a new flow."""

from collections.abc import Container
from collections.abc import Sequence
import dataclasses
import random

from sapphire_core.tagged_flows import upstream_table

# What a crossing between data centres counts for, as a share of the time that
# a request keeps one slot busy.
REMOTE_COST = 0.35


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may get the flow.

    Attributes:
        entry: The upstream.
        busy: The requests that it is believed to have in progress.
        unanswered: How many openings in a row it left unanswered; 0 if it is
            not avoided for that.
        is_cold: Whether it bears only its cold rate, and has room in it.
    """

    entry: upstream_table.Entry
    busy: float
    unanswered: int
    is_cold: bool


def choose(
    candidates: Sequence[Candidate],
    data_centre: str,
    tried: Container[str],
    rng: random.Random,
) -> Candidate | None:
    """Returns the upstream that is to get a new flow.

    Warm upstreams that answer go first, then cold ones with room, then those
    that left openings unanswered, the fewest first; within a group the one with
    the least work for its slots, own data centre first.

    Args:
        candidates: The upstreams that may get it.
        data_centre: The data centre of this host.
        tried: The identities of those that already got its opening.
        rng: Decides between equals.

    Returns:
        The candidate, None if there is none.
    """
    fresh = [c for c in candidates if c.entry.upstream.upstream_id not in tried]
    for belongs in (_is_good, _is_cold_only):
        group = [c for c in fresh if belongs(c)]
        if group:
            return _least_loaded(group, data_centre, rng)
    if not fresh:
        return None
    fewest = min(c.unanswered for c in fresh)
    group = [c for c in fresh if c.unanswered == fewest]
    return _least_loaded(group, data_centre, rng)


def _is_good(candidate: Candidate) -> bool:
    return candidate.unanswered == 0 and not candidate.is_cold


def _is_cold_only(candidate: Candidate) -> bool:
    return candidate.unanswered == 0


def _least_loaded(
    group: Sequence[Candidate], data_centre: str, rng: random.Random
) -> Candidate:
    """Returns the candidate with the least work for its slots."""
    best = group[0]
    best_cost = float("inf")
    for candidate in group:
        upstream = candidate.entry.upstream
        cost = (candidate.busy + 1) / max(upstream.slots, 1)
        if upstream.data_centre != data_centre:
            cost += REMOTE_COST
        cost += rng.random() * 0.01
        if cost < best_cost:
            best = candidate
            best_cost = cost
    return best
