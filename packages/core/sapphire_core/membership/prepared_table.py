"""Which hosts of the own data centre have prepared which revision.

The roster is the sorted list of the live hosts of the data centre. Each open
revision has a bit set with one bit for each host of the roster. A revision is
open until all hosts of the roster have prepared it.
"""

import xxhash

from sapphire_core.membership import data

MAX_OPEN_REVISIONS = 4


class PreparedTable:
    """The hosts of one data centre that have prepared each open revision.

    Entries of different hosts merge by union, so the order and repetition of
    messages do not affect the result.

    Attributes:
        own_revision: The newest revision that this host has prepared.
        complete_revision: The newest revision that all live hosts of the
            data centre have prepared.
    """

    def __init__(self, own_id: str) -> None:
        self.own_revision = 0
        self.complete_revision = 0
        self._own_id = own_id
        self._roster: list[str] = []
        self._index_by_id: dict[str, int] = {}
        self._roster_digest = 0
        self._bits_by_revision: dict[int, int] = {}
        self._last_push_ms: int | None = None
        self._distance_exponent = 0
        self._pushes_left = 0

    def set_roster(self, host_ids: set[str]) -> bool:
        """Replaces the roster and converts the bit sets to the new one.

        Args:
            host_ids: The hosts of the data centre that are not dead.

        Returns:
            Whether the roster has changed.
        """
        roster = sorted(host_ids)
        if roster == self._roster:
            return False
        ids_by_revision = {
            revision: self._ids_of_bits(bits)
            for revision, bits in self._bits_by_revision.items()
        }
        self._roster = roster
        self._index_by_id = {
            host_id: index for index, host_id in enumerate(roster)
        }
        self._roster_digest = xxhash.xxh64_intdigest("/".join(roster).encode())
        for revision, ids in ids_by_revision.items():
            self._bits_by_revision[revision] = self._bits_of_ids(ids)
        self._handle_change()
        return True

    def set_own_revision(self, revision: int) -> bool:
        """Records the revision that this host has prepared.

        Args:
            revision: The revision; it is ignored unless it is newer.

        Returns:
            Whether it is newer than the previous one.
        """
        if revision <= self.own_revision:
            return False
        self.own_revision = revision
        self._open(revision)
        self._handle_change()
        return True

    def set_complete_revision(self, revision: int) -> bool:
        """Records that all live hosts of the data centre prepared a revision.

        Args:
            revision: The revision, as published by a host of the data centre.

        Returns:
            Whether it is newer than the previous one.
        """
        if revision <= self.complete_revision:
            return False
        self.complete_revision = revision
        self._close_complete_revisions()
        return True

    def merge(self, entry: data.PreparedEntry) -> bool:
        """Merges an entry from another host of the data centre.

        Args:
            entry: The entry; it is ignored if it refers to another roster.

        Returns:
            Whether it contained anything new.
        """
        if entry.roster_digest != self._roster_digest:
            return False
        if entry.revision <= self.complete_revision:
            return False
        bits = int.from_bytes(entry.bits, "little")
        bits &= (1 << len(self._roster)) - 1
        known = self._open(entry.revision)
        if known is None or bits | known == known:
            return False
        self._bits_by_revision[entry.revision] = bits | known
        self._handle_change()
        return True

    def entries(self) -> list[data.PreparedEntry]:
        """Returns the entries of all open revisions."""
        size = (len(self._roster) + 7) // 8
        return [
            data.PreparedEntry(
                revision=revision,
                roster_digest=self._roster_digest,
                bits=bits.to_bytes(size, "little"),
            )
            for revision, bits in sorted(self._bits_by_revision.items())
        ]

    def next_push_target(self, now_ms: int, interval_ms: int) -> str | None:
        """Returns the peer to send the entries to next, or None if not due.

        The peers are at distances of powers of two in the roster. If all hosts
        sent in step, each would have the information of all others after as
        many messages as the binary logarithm of the number of hosts, which is
        the minimum for one message per step.

        Args:
            now_ms: The time in milliseconds.
            interval_ms: The minimum interval between two messages.
        """
        if not self._pushes_left or not self._bits_by_revision:
            return None
        last_push_ms = self._last_push_ms
        if last_push_ms is not None and now_ms - last_push_ms < interval_ms:
            return None
        size = len(self._roster)
        self._last_push_ms = now_ms
        self._pushes_left -= 1
        index = self._index_by_id[self._own_id]
        peer_index = (index + (1 << self._distance_exponent)) % size
        self._distance_exponent = (
            self._distance_exponent + 1
        ) % self._pushes_per_round()
        if peer_index == index:
            return None
        return self._roster[peer_index]

    def revision_of(self, host_id: str) -> int:
        """Returns the newest revision that a host is known to have prepared.

        Args:
            host_id: A host of the data centre.
        """
        index = self._index_by_id.get(host_id)
        newest = self.complete_revision
        if index is None:
            return newest
        for revision, bits in self._bits_by_revision.items():
            if bits >> index & 1:
                newest = max(newest, revision)
        return newest

    def _open(self, revision: int) -> int | None:
        """Opens a revision and returns its bits, or None if it is not kept.

        At most `MAX_OPEN_REVISIONS` are kept.
        """
        bits_by_revision = self._bits_by_revision
        if revision not in bits_by_revision:
            bits_by_revision[revision] = 0
        while len(bits_by_revision) > MAX_OPEN_REVISIONS:
            # The second oldest is discarded rather than the oldest, which could
            # otherwise never complete during a series of changes.
            del bits_by_revision[sorted(bits_by_revision)[1]]
        for number in bits_by_revision:
            if number <= self.own_revision:
                bits_by_revision[number] |= self._bits_of_ids({self._own_id})
        return bits_by_revision.get(revision)

    def _pushes_per_round(self) -> int:
        """Returns the number of messages that cover all distances once."""
        return max(1, (len(self._roster) - 1).bit_length())

    def _handle_change(self) -> None:
        """Starts a new round of pushes and closes the complete revisions."""
        self._pushes_left = self._pushes_per_round()
        self._close_complete_revisions()

    def _close_complete_revisions(self) -> None:
        """Updates the complete revision and closes all revisions up to it."""
        all_bits = (1 << len(self._roster)) - 1
        for revision in sorted(self._bits_by_revision, reverse=True):
            if not all_bits or self._bits_by_revision[revision] != all_bits:
                continue
            self.complete_revision = max(self.complete_revision, revision)
            break
        for revision in list(self._bits_by_revision):
            if revision <= self.complete_revision:
                del self._bits_by_revision[revision]

    def _ids_of_bits(self, bits: int) -> set[str]:
        """Returns the hosts whose bits are set."""
        return {
            host_id
            for index, host_id in enumerate(self._roster)
            if bits >> index & 1
        }

    def _bits_of_ids(self, host_ids: set[str]) -> int:
        """Returns the bits of hosts that are in the roster."""
        bits = 0
        for host_id in host_ids:
            index = self._index_by_id.get(host_id)
            if index is not None:
                bits |= 1 << index
        return bits
