"""The share of a host in the slots of the upstreams of a service."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

import xxhash


def _digest(*parts: str) -> int:
    return xxhash.xxh3_64_intdigest("\0".join(parts).encode())


def assigned_slots(
    service: str,
    slots_by_upstream: Mapping[str, int],
    host_ids: Iterable[str],
    own_id: str,
) -> Mapping[str, Sequence[int]]:
    """Deals the slots of a service out to the live hosts.

    Each host computes the same hands from the same membership, so the hosts
    share an upstream without talking. Hands differ by at most one slot. The
    slots of one upstream go to different hosts.

    Args:
        service: The name of the service.
        slots_by_upstream: The slots of each upstream.
        host_ids: The live hosts.
        own_id: This host.

    Returns:
        The numbers of the slots that this host may use, by upstream.
    """
    hosts = sorted(set(host_ids), key=lambda host: _digest(service, host))
    if own_id not in hosts:
        return {}
    own_place = hosts.index(own_id)
    names = sorted(
        slots_by_upstream, key=lambda name: _digest(service, name, "slot")
    )
    numbers_by_upstream: dict[str, list[int]] = {}
    dealt = 0
    for name in names:
        for number in range(slots_by_upstream[name]):
            if dealt % len(hosts) == own_place:
                numbers_by_upstream.setdefault(name, []).append(number)
            dealt += 1
    return numbers_by_upstream
