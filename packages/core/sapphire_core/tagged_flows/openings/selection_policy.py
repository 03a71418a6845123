"""The selection policy: the best of several upstreams for a new flow."""

from collections.abc import Container
from collections.abc import Iterable
import random
from typing import NamedTuple

from sapphire_core.tagged_flows import upstream_table
from sapphire_core.tagged_flows.flows import smoothed_load

# The cost of a crossing between data centres, relative to the time that one
# request occupies a slot.
REMOTE_COST = 0.35
# Ties between equally loaded upstreams are broken by a random cost up to this.
TIE_BREAK_COST = 0.01


class Candidate(NamedTuple):
    """An upstream that may get the flow.

    One is made of each upstream of a service for each new flow.

    Attributes:
        entry: The upstream.
        in_flight: The number of its in-flight requests of this host.
        consecutive_unanswered: How many opening packets in a row it left
            unanswered; 0 if it is not avoided for that.
        is_cold: Whether it is in slow start; its cold rate allows the flow.
        penalty: By how many in-flight requests it does worse than the others
            of its service.
        peers_in_flight: The number of its in-flight requests of peers, as an
            average over the last second.
    """

    entry: upstream_table.Entry
    in_flight: float
    consecutive_unanswered: int
    is_cold: bool
    penalty: float = 0.0
    peers_in_flight: float = 0.0


def select(
    candidates: Iterable[Candidate],
    data_centre: str,
    excluded_ids: Container[str],
    rng: random.Random,
) -> Candidate | None:
    """Selects the upstream for a new flow.

    Warm responsive upstreams come first, then cold responsive ones, then those
    with the fewest unanswered opening packets in a row. Within a group, the
    upstream with the fewest in-flight requests for its slots is selected, with
    a preference for the local data centre. It takes the least time if those of
    the local data centre come first.

    Args:
        candidates: The upstreams that may get it.
        data_centre: The data centre of this host.
        excluded_ids: The identities of upstreams that must not get the flow.
        rng: Draws the load of peers; breaks ties between equal upstreams.

    Returns:
        The candidate, None if there is none.
    """
    best: Candidate | None = None
    best_group = best_cost = float("inf")
    for candidate in candidates:
        group = candidate.consecutive_unanswered
        if group > 0:
            # After the two groups of responsive upstreams.
            group += 1
        elif candidate.is_cold:
            group = 1
        upstream = candidate.entry.upstream
        if group > best_group or upstream.upstream_id in excluded_ids:
            continue
        slots = upstream.slots or 1
        cost = (candidate.in_flight + 1 + candidate.penalty) / slots
        if upstream.data_centre != data_centre:
            cost += REMOTE_COST
        if group == best_group and cost >= best_cost:
            # What peers have in flight can only add to it.
            continue
        drawn = smoothed_load.draw_in_flight(candidate.peers_in_flight, rng)
        cost += drawn / slots + rng.random() * TIE_BREAK_COST
        if group < best_group or cost < best_cost:
            best, best_group, best_cost = candidate, group, cost
    return best
