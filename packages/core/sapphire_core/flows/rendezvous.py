"""The hosts that store the flow records of each ambiguous bucket.

The replica hosts of a bucket are the first two live hosts by rendezvous
hashing, in different data centres where possible; the first one is the primary
replica host. If it lacks records of the bucket, a replica host relays packets
to the hosts that follow in the rendezvous order. A leaving host is not a
replica host, unless all hosts are leaving, but stays in the order until it has
left.
"""

from collections.abc import Mapping
import struct

import xxhash

from sapphire_data import records

REPLICA_HOST_COUNT = 2
ORDER_DEPTH = 5

_PAIR = struct.Struct("<QQ")


class RendezvousOrders:
    """The rendezvous orders of buckets, with a cache.

    A host that joins or stops evicts only the cached orders that it may affect,
    so that the orders of most buckets need not be computed again. A host that
    begins or ceases to be leaving evicts all.
    """

    def __init__(self) -> None:
        self._seed_by_host: dict[str, int] = {}
        self._data_centre_by_host: dict[str, str] = {}
        self._leaving: set[str] = set()
        self._order_by_bucket: dict[tuple[str, int], tuple[str, ...]] = {}

    def set_members(self, members_by_id: Mapping[str, records.Member]) -> bool:
        """Replaces the membership.

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
        changed = (leaving ^ self._leaving) - gone - joined
        if not gone and not joined and not changed:
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
        self._evict_affected(gone, joined, changed)
        return True

    def order(self, service: str, bucket: int) -> tuple[str, ...]:
        """Returns the first hosts by rendezvous, the replica hosts first.

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
        """Returns whether a host is leaving."""
        return host_id in self._leaving

    def primary_host(self, service: str, bucket: int) -> str | None:
        """Returns the primary replica host, None without members."""
        order = self.order(service, bucket)
        return order[0] if order else None

    def replica_hosts(self, service: str, bucket: int) -> tuple[str, ...]:
        """Returns the replica hosts of a bucket, the primary one first."""
        return self.order(service, bucket)[:REPLICA_HOST_COUNT]

    def _compute(self, service: str, bucket: int) -> tuple[str, ...]:
        """Computes the order of a bucket over all members."""
        seed = _bucket_seed(service, bucket)
        ranked = sorted(
            self._seed_by_host,
            key=lambda host_id: _score(self._seed_by_host[host_id], seed),
            reverse=True,
        )
        eligible = [host for host in ranked if host not in self._leaving]
        if not eligible:
            return tuple(ranked[:ORDER_DEPTH])
        order = [eligible[0]]
        second = self._second_replica_host(eligible)
        if second is not None:
            order.append(second)
        for host_id in ranked:
            if len(order) == ORDER_DEPTH:
                break
            if host_id not in order:
                order.append(host_id)
        return tuple(order)

    def _second_replica_host(self, eligible: list[str]) -> str | None:
        """Returns the second replica host, None if only one host is eligible.

        It is in another data centre than the first one where possible.
        """
        first_data_centre = self._data_centre_by_host[eligible[0]]
        for host_id in eligible[1:]:
            if self._data_centre_by_host[host_id] != first_data_centre:
                return host_id
        return eligible[1] if len(eligible) > 1 else None

    def _evict_affected(
        self, gone: set[str], joined: set[str], changed: set[str]
    ) -> None:
        """Evicts the cached orders that a change of membership may affect.

        Args:
            gone: The hosts that are no longer members.
            joined: The hosts that are new members.
            changed: The members that began or ceased to be leaving.
        """
        removed = gone | changed
        affected = []
        for key, order in self._order_by_bucket.items():
            if not removed.isdisjoint(order):
                affected.append(key)
                continue
            if changed or len(order) < ORDER_DEPTH:
                affected.append(key)
                continue
            if joined and self._may_enter(key, order, joined):
                affected.append(key)
        for key in affected:
            del self._order_by_bucket[key]

    def _may_enter(
        self, key: tuple[str, int], order: tuple[str, ...], joined: set[str]
    ) -> bool:
        """Returns whether a new host may belong in a cached order."""
        data_centres = self._data_centre_by_host
        if data_centres[order[0]] == data_centres[order[1]]:
            return True
        seed = _bucket_seed(*key)
        lowest = min(_score(self._seed_by_host[host], seed) for host in order)
        return any(
            _score(self._seed_by_host[host], seed) > lowest for host in joined
        )


def _bucket_seed(service: str, bucket: int) -> int:
    """Returns the hash of a bucket of a service."""
    return xxhash.xxh3_64_intdigest(f"{service}\0{bucket}".encode())


def _score(host_seed: int, bucket_seed: int) -> int:
    """Returns the rendezvous score of a host for a bucket."""
    return xxhash.xxh3_64_intdigest(_PAIR.pack(host_seed, bucket_seed))
