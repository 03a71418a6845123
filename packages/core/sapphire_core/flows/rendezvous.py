"""The hosts that remember the placements of an ambiguous bucket.

The keepers of a bucket are the first two live hosts by rendezvous hashing, in
different data centres where possible. Hosts that follow them in the order are
asked when neither keeper has a full record; a leaving host is never a keeper
but stays in the order until it is gone.
"""

from collections.abc import Mapping
import struct

import xxhash

from sapphire_data import records

REPLICA_HOST_COUNT = 2
ORDER_DEPTH = 5

_PAIR = struct.Struct("<QQ")


class RendezvousOrders:
    """Rendezvous orders with a cache that survives membership changes.

    A change of membership drops only the cached orders that it affects, so
    that the cost of a change does not grow with the number of buckets.
    """

    def __init__(self) -> None:
        self._seed_by_host: dict[str, int] = {}
        self._data_centre_by_host: dict[str, str] = {}
        self._leaving: set[str] = set()
        self._order_by_bucket: dict[tuple[str, int], tuple[str, ...]] = {}

    def set_members(self, members_by_id: Mapping[str, records.Member]) -> bool:
        """Takes a new membership.

        Args:
            members_by_id: All members that are not dead.

        Returns:
            Whether any order may have changed.
        """
        leaving = set()
        for host_id, member in members_by_id.items():
            if member.state is records.MemberState.LEAVING:
                leaving.add(host_id)
        gone = self._seed_by_host.keys() - members_by_id.keys()
        joined = members_by_id.keys() - self._seed_by_host.keys()
        turned = (leaving ^ self._leaving) - gone - joined
        if not gone and not joined and not turned:
            return False
        self._leaving = leaving
        for host_id in gone:
            del self._seed_by_host[host_id]
            del self._data_centre_by_host[host_id]
        for host_id in joined:
            seed = xxhash.xxh3_64_intdigest(host_id.encode())
            self._seed_by_host[host_id] = seed
            data_centre = members_by_id[host_id].host.data_centre
            self._data_centre_by_host[host_id] = data_centre
        self._drop_affected(gone, joined, turned)
        return True

    def order(self, service: str, bucket: int) -> tuple[str, ...]:
        """Returns the hosts to ask about a bucket, its keepers first.

        Args:
            service: The name of the service.
            bucket: The bucket.

        Returns:
            Up to `ORDER_DEPTH` host identities; empty without members.
        """
        key = (service, bucket)
        order = self._order_by_bucket.get(key)
        if order is None:
            order = self._compute(service, bucket)
            self._order_by_bucket[key] = order
        return order

    def is_leaving(self, host_id: str) -> bool:
        """Returns whether a host is leaving, so that it keeps nothing."""
        return host_id in self._leaving

    def primary_host(self, service: str, bucket: int) -> str | None:
        """Returns the first keeper of a bucket, None without members."""
        order = self.order(service, bucket)
        return order[0] if order else None

    def replica_hosts(self, service: str, bucket: int) -> tuple[str, ...]:
        """Returns the keepers of a bucket, the first one first."""
        return self.order(service, bucket)[:REPLICA_HOST_COUNT]

    def _compute(self, service: str, bucket: int) -> tuple[str, ...]:
        """Computes an order over all members."""
        seed = _bucket_seed(service, bucket)
        ranked = sorted(
            self._seed_by_host,
            key=lambda host_id: _score(self._seed_by_host[host_id], seed),
            reverse=True,
        )
        eligible = [host for host in ranked if host not in self._leaving]
        if not eligible:
            return tuple(ranked[:ORDER_DEPTH])
        chosen = [eligible[0]]
        second = self._second(eligible)
        if second is not None:
            chosen.append(second)
        for host_id in ranked:
            if len(chosen) == ORDER_DEPTH:
                break
            if host_id not in chosen:
                chosen.append(host_id)
        return tuple(chosen)

    def _second(self, eligible: list[str]) -> str | None:
        """Returns the second keeper, elsewhere than the first if possible."""
        home = self._data_centre_by_host[eligible[0]]
        for host_id in eligible[1:]:
            if self._data_centre_by_host[host_id] != home:
                return host_id
        return eligible[1] if len(eligible) > 1 else None

    def _drop_affected(
        self, gone: set[str], joined: set[str], turned: set[str]
    ) -> None:
        """Drops the cached orders that a change of membership may affect."""
        removed = gone | turned
        affected = []
        for key, order in self._order_by_bucket.items():
            if not removed.isdisjoint(order):
                affected.append(key)
                continue
            if turned or len(order) < ORDER_DEPTH:
                affected.append(key)
                continue
            if joined and self._is_overtaken(key, order, joined):
                affected.append(key)
        for key in affected:
            del self._order_by_bucket[key]

    def _is_overtaken(
        self, key: tuple[str, int], order: tuple[str, ...], joined: set[str]
    ) -> bool:
        """Returns whether a new host may stand in a cached order."""
        homes = self._data_centre_by_host
        if homes[order[0]] == homes[order[1]]:
            return True
        seed = _bucket_seed(*key)
        lowest = min(_score(self._seed_by_host[host], seed) for host in order)
        return any(
            _score(self._seed_by_host[host], seed) > lowest for host in joined
        )


def _bucket_seed(service: str, bucket: int) -> int:
    """Returns the hash that stands for a bucket of a service."""
    return xxhash.xxh3_64_intdigest(f"{service}\0{bucket}".encode())


def _score(host_seed: int, bucket_seed: int) -> int:
    """Returns the rendezvous score of a host for a bucket."""
    return xxhash.xxh3_64_intdigest(_PAIR.pack(host_seed, bucket_seed))
