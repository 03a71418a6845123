"""Table of known hosts, with the rules for merging entries about them."""

import dataclasses

import xxhash

from sapphire_core.membership import data
from sapphire_data import records

BUCKET_COUNT = 32

# At the same incarnation, a state of higher rank replaces one of lower rank.
_RANK_BY_STATE = {
    records.MemberState.ALIVE: 0,
    records.MemberState.SUSPECT: 1,
    records.MemberState.LEAVING: 2,
    records.MemberState.DEAD: 3,
}


class MemberTable:
    """All known hosts, including dead ones until they are evicted.

    Attributes:
        entries_by_id: The entry of each host.
        since_ms_by_id: When this host learned the current state of each host,
            in milliseconds.
        live_ids_by_data_centre: The hosts of each data centre that are not
            dead.
        digest: The digest of all entries that are not dead.
        revision: A number that increases with each change.
        revision_by_data_centre: The value of `revision` at the last change in
            each data centre.
    """

    def __init__(self) -> None:
        self.entries_by_id: dict[str, data.MemberEntry] = {}
        self.since_ms_by_id: dict[str, int] = {}
        self.live_ids_by_data_centre: dict[str, set[str]] = {}
        self.digest = 0
        self.revision = 0
        self.revision_by_data_centre: dict[str, int] = {}
        self._ids_by_endpoint: dict[tuple[str, int], str] = {}
        self._bucket_digests = [0] * BUCKET_COUNT
        self._ids_by_bucket: list[set[str]] = [
            set() for _ in range(BUCKET_COUNT)
        ]
        self._dead_ids: set[str] = set()

    def merge(
        self, entry: data.MemberEntry, now_ms: int, is_direct: bool = False
    ) -> list[data.MemberEntry]:
        """Merges an entry about a host.

        Args:
            entry: The received entry.
            now_ms: The time in milliseconds.
            is_direct: Whether it came directly from the host it is about.

        Returns:
            The entries that changed. They include that of a host which this one
            replaced at the same address.
        """
        known = self.entries_by_id.get(entry.host.host_id)
        if known is None:
            return self._add(entry, now_ms, is_direct)
        if not replaces(entry, known):
            return []
        return [self._replace(entry, now_ms)]

    def evict_dead(self, before_ms: int) -> None:
        """Evicts the hosts that were declared dead before a given time.

        Args:
            before_ms: That time in milliseconds.
        """
        for host_id in sorted(self._dead_ids):
            if self.since_ms_by_id[host_id] >= before_ms:
                continue
            self._remove(host_id)

    def live_entry(self, host_id: str) -> data.MemberEntry | None:
        """Returns the entry of a host unless it is dead or unknown."""
        entry = self.entries_by_id.get(host_id)
        if entry is None or entry.state is records.MemberState.DEAD:
            return None
        return entry

    def live_ids(self, data_centre: str) -> set[str]:
        """Returns the hosts of a data centre that are not dead."""
        return self.live_ids_by_data_centre.get(data_centre, set())

    def id_at(self, address: str, port: int) -> str | None:
        """Returns the live host at an address and control port."""
        host_id = self._ids_by_endpoint.get((address, port))
        if host_id is None or self.live_entry(host_id) is None:
            return None
        return host_id

    def bucket_digests(self) -> tuple[int, ...]:
        """Returns the digest of the live entries of each bucket."""
        return tuple(self._bucket_digests)

    def bucket_ids(self, bucket: int) -> list[str]:
        """Returns the hosts of a bucket, including dead ones, in order."""
        return sorted(self._ids_by_bucket[bucket])

    def _add(
        self, entry: data.MemberEntry, now_ms: int, is_direct: bool
    ) -> list[data.MemberEntry]:
        """Adds an unknown host.

        If another host is known at its address, the older of the two is
        declared dead.

        Returns:
            The entries that changed.
        """
        endpoint = (entry.host.address, entry.host.control_port)
        holder_id = self.id_at(*endpoint)
        changes: list[data.MemberEntry] = []
        if entry.state is records.MemberState.DEAD:
            # Entries of unknown dead hosts are ignored, since hosts that join
            # would otherwise pass them on for ever.
            return changes
        if holder_id is not None:
            holder = self.entries_by_id[holder_id]
            if is_direct or _is_newer_process(entry, holder):
                dead = dataclasses.replace(
                    holder, state=records.MemberState.DEAD
                )
                changes.append(self._replace(dead, now_ms))
            else:
                entry = dataclasses.replace(
                    entry, state=records.MemberState.DEAD
                )
                changes.append(self._replace(entry, now_ms))
                return changes
        changes.append(self._replace(entry, now_ms))
        return changes

    def _replace(
        self, entry: data.MemberEntry, now_ms: int
    ) -> data.MemberEntry:
        """Stores an entry and updates the indexes and digests."""
        host_id = entry.host.host_id
        old = self.entries_by_id.get(host_id)
        if old is not None:
            self._toggle_in_digest(old)
        self.entries_by_id[host_id] = entry
        self.since_ms_by_id[host_id] = now_ms
        self._toggle_in_digest(entry)
        self._ids_by_bucket[bucket_of(host_id)].add(host_id)
        live_ids = self.live_ids_by_data_centre.setdefault(
            entry.host.data_centre, set()
        )
        if entry.state is records.MemberState.DEAD:
            live_ids.discard(host_id)
            self._dead_ids.add(host_id)
        else:
            live_ids.add(host_id)
            self._dead_ids.discard(host_id)
            endpoint = (entry.host.address, entry.host.control_port)
            self._ids_by_endpoint[endpoint] = host_id
        self.revision += 1
        self.revision_by_data_centre[entry.host.data_centre] = self.revision
        return entry

    def _remove(self, host_id: str) -> None:
        """Removes a dead host from the table and its indexes."""
        entry = self.entries_by_id.pop(host_id)
        del self.since_ms_by_id[host_id]
        self._dead_ids.discard(host_id)
        self._ids_by_bucket[bucket_of(host_id)].discard(host_id)
        endpoint = (entry.host.address, entry.host.control_port)
        if self._ids_by_endpoint.get(endpoint) == host_id:
            del self._ids_by_endpoint[endpoint]

    def _toggle_in_digest(self, entry: data.MemberEntry) -> None:
        """Adds an entry to the digests, or removes it if it was added (XOR)."""
        if entry.state is records.MemberState.DEAD:
            return
        digest = _entry_digest(entry)
        self.digest ^= digest
        self._bucket_digests[bucket_of(entry.host.host_id)] ^= digest


def replaces(entry: data.MemberEntry, known: data.MemberEntry) -> bool:
    """Returns whether an entry replaces the known one of the same host."""
    if entry.incarnation != known.incarnation:
        return entry.incarnation > known.incarnation
    return _RANK_BY_STATE[entry.state] > _RANK_BY_STATE[known.state]


def bucket_of(host_id: str) -> int:
    """Returns the bucket of a host for the comparison of member tables."""
    return int(xxhash.xxh64_intdigest(host_id.encode())) % BUCKET_COUNT


def rendezvous_order(host_ids: set[str], salt: str) -> list[str]:
    """Returns hosts by descending rendezvous score.

    Args:
        host_ids: The hosts.
        salt: The purpose of the order, so that orders for different purposes
            differ.
    """
    scored = [
        (xxhash.xxh64_intdigest(f"{salt}/{host_id}".encode()), host_id)
        for host_id in host_ids
    ]
    scored.sort(reverse=True)
    return [host_id for _, host_id in scored]


def _is_newer_process(
    entry: data.MemberEntry, holder: data.MemberEntry
) -> bool:
    """Returns whether an entry belongs to a later process at the same address.

    Args:
        entry: The entry of the unknown host.
        holder: The entry of the host that is known at the address.
    """
    if entry.incarnation != holder.incarnation:
        return entry.incarnation > holder.incarnation
    return entry.host.host_id > holder.host.host_id


def _entry_digest(entry: data.MemberEntry) -> int:
    """Returns the digest of an entry, which a suspicion does not change."""
    is_leaving = entry.state is records.MemberState.LEAVING
    text = f"{entry.host.host_id}/{entry.incarnation}/{is_leaving}"
    return int(xxhash.xxh64_intdigest(text.encode()))
