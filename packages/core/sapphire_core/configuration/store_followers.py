"""Chooses, without consensus, the few hosts that watch the store."""

from collections.abc import Mapping

import xxhash

# Fewer watchers than this could all fail between two views of the membership.
MIN_STORE_FOLLOWERS = 3


def select(data_centre_by_host: Mapping[str, str]) -> frozenset[str]:
    """Names the hosts that watch, given who is alive.

    Each data centre has one, so that one that is cut off from the others
    but not from the store still learns of changes. Their number grows with
    data centres and not with hosts.

    Args:
        data_centre_by_host: The data centre of each live host.

    Returns:
        The host identities. Hosts with the same view name the same ones.
    """
    ranked = sorted(data_centre_by_host, key=_rank)
    chosen: list[str] = []
    covered: set[str] = set()
    for host_id in ranked:
        data_centre = data_centre_by_host[host_id]
        if data_centre in covered:
            continue
        covered.add(data_centre)
        chosen.append(host_id)
    for host_id in ranked:
        if len(chosen) >= MIN_STORE_FOLLOWERS:
            break
        if host_id not in chosen:
            chosen.append(host_id)
    return frozenset(chosen)


def _rank(host_id: str) -> tuple[int, str]:
    """Returns the rendezvous rank of a host."""
    return xxhash.xxh64_intdigest(f"watch {host_id}".encode()), host_id
