"""Assignment of the slots of a service's upstreams to hosts.

A slot of an upstream stands for one request that it runs at a time.
"""

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
    """Assigns the slots of a service to the live hosts in round-robin order.

    Each host computes the same assignment from the same membership, so the
    hosts share an upstream without communicating. The numbers of slots of any
    two hosts differ by at most one. The slots of one upstream go to different
    hosts as long as there are as many hosts.

    Args:
        service: The name of the service.
        slots_by_upstream: The number of slots of each upstream.
        host_ids: The live hosts.
        own_id: This host.

    Returns:
        The numbers of the slots assigned to this host, by upstream; empty if
        it is not among the live hosts.
    """
    hosts = sorted(set(host_ids), key=lambda host: _digest(service, host))
    if own_id not in hosts:
        return {}
    own_index = hosts.index(own_id)
    names = sorted(
        slots_by_upstream, key=lambda name: _digest(service, name, "slot")
    )
    numbers_by_upstream: dict[str, list[int]] = {}
    assigned = 0
    for name in names:
        for number in range(slots_by_upstream[name]):
            if assigned % len(hosts) == own_index:
                numbers_by_upstream.setdefault(name, []).append(number)
            assigned += 1
    return numbers_by_upstream
