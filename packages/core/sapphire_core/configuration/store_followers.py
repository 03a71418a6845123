"""Selects, without consensus, the hosts that watch the store."""

from collections.abc import Mapping

import xxhash

# Fewer store followers could all fail between two views of the membership.
MIN_STORE_FOLLOWERS = 3


def select(data_centre_by_host: Mapping[str, str]) -> frozenset[str]:
    """Selects the store followers among the live hosts.

    Each data centre has one, so that a data centre that is partitioned from
    the others but not from the store still learns of changes. Above the
    minimum, their number grows with data centres and not with hosts.

    Args:
        data_centre_by_host: The data centre of each live host.

    Returns:
        The identities of the store followers. Hosts with the same view
        select the same ones.
    """
    ranked = sorted(data_centre_by_host, key=_rank)
    selected: list[str] = []
    covered: set[str] = set()
    for host_id in ranked:
        data_centre = data_centre_by_host[host_id]
        if data_centre in covered:
            continue
        covered.add(data_centre)
        selected.append(host_id)
    for host_id in ranked:
        if len(selected) >= MIN_STORE_FOLLOWERS:
            break
        if host_id not in selected:
            selected.append(host_id)
    return frozenset(selected)


def _rank(host_id: str) -> tuple[int, str]:
    """Returns the rank of a host by rendezvous hashing; equal on all hosts."""
    return xxhash.xxh64_intdigest(f"watch {host_id}".encode()), host_id
