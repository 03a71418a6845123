"""Which hosts of the own data centre have prepared which revision."""

import xxhash

from sapphire_core.membership import data

MAX_OPEN_REVISIONS = 4


class PreparedTable:
    """The hosts of one data centre that have prepared each open revision.

    Statements of different hosts merge by union, so that any order and any
    repetition of messages gives the same result.

    Attributes:
        own_revision: The revision that this host has prepared.
        complete_revision: The newest revision that all live hosts of the
            data centre have prepared.
    """

    def __init__(self, own_id: str) -> None:
        self.own_revision = 0
        self.complete_revision = 0
        self._own_id = own_id
        self._order: list[str] = []
        self._index_by_id: dict[str, int] = {}
        self._roster_digest = 0
        self._bits_by_revision: dict[int, int] = {}
        self._pushed_ms: int | None = None
        self._step = 0
        self._steps_left = 0

    def set_roster(self, host_ids: set[str]) -> bool:
        """Takes the live hosts of the data centre.

        Args:
            host_ids: The hosts that are not dead.

        Returns:
            Whether the roster differs from the one before.
        """
        order = sorted(host_ids)
        if order == self._order:
            return False
        ids_by_revision = {
            revision: self._ids(bits)
            for revision, bits in self._bits_by_revision.items()
        }
        self._order = order
        self._index_by_id = {
            host_id: index for index, host_id in enumerate(order)
        }
        self._roster_digest = xxhash.xxh64_intdigest("/".join(order).encode())
        for revision, ids in ids_by_revision.items():
            self._bits_by_revision[revision] = self._bits(ids)
        self._on_change()
        return True

    def set_own(self, revision: int) -> bool:
        """Takes the revision that this host has prepared.

        Args:
            revision: The revision; an older one than before is ignored.

        Returns:
            Whether it is newer than the one before.
        """
        if revision <= self.own_revision:
            return False
        self.own_revision = revision
        self._open(revision)
        self._on_change()
        return True

    def set_complete(self, revision: int) -> bool:
        """Takes that all live hosts of the data centre prepared a revision.

        Args:
            revision: The revision, as another host concluded.

        Returns:
            Whether it is newer than the one before.
        """
        if revision <= self.complete_revision:
            return False
        self.complete_revision = revision
        self._settle()
        return True

    def merge(self, entry: data.PreparedEntry) -> bool:
        """Merges what another host of the data centre knows.

        Args:
            entry: The statement; one about another roster is ignored.

        Returns:
            Whether it told anything new.
        """
        if entry.roster_digest != self._roster_digest:
            return False
        if entry.revision <= self.complete_revision:
            return False
        bits = int.from_bytes(entry.bits, "little")
        bits &= (1 << len(self._order)) - 1
        known = self._open(entry.revision)
        if known is None or bits | known == known:
            return False
        self._bits_by_revision[entry.revision] = bits | known
        self._on_change()
        return True

    def entries(self) -> list[data.PreparedEntry]:
        """Returns what this host knows of the open revisions."""
        size = (len(self._order) + 7) // 8
        return [
            data.PreparedEntry(
                revision=revision,
                roster_digest=self._roster_digest,
                bits=bits.to_bytes(size, "little"),
            )
            for revision, bits in sorted(self._bits_by_revision.items())
        ]

    def next_push(self, now_ms: int, interval_ms: int) -> str | None:
        """Returns the peer that is told next, if it is time.

        The peers lie at distances of powers of two in the order of the
        roster. Were all hosts in step, each would know of all after as many
        messages as the binary logarithm of their number, the least that one
        message a step allows.

        Args:
            now_ms: The time in milliseconds.
            interval_ms: The least time between two messages.
        """
        if not self._steps_left or not self._bits_by_revision:
            return None
        pushed_ms = self._pushed_ms
        if pushed_ms is not None and now_ms - pushed_ms < interval_ms:
            return None
        size = len(self._order)
        self._pushed_ms = now_ms
        self._steps_left -= 1
        index = self._index_by_id[self._own_id]
        peer_index = (index + (1 << self._step)) % size
        self._step = (self._step + 1) % self._step_count()
        if peer_index == index:
            return None
        return self._order[peer_index]

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
        """Opens a revision and returns its bits, or None if it is too old."""
        bits_by_revision = self._bits_by_revision
        if revision not in bits_by_revision:
            bits_by_revision[revision] = 0
        while len(bits_by_revision) > MAX_OPEN_REVISIONS:
            # The oldest but one goes: a run of changes must not keep the
            # oldest from completing.
            del bits_by_revision[sorted(bits_by_revision)[1]]
        for number in bits_by_revision:
            if number <= self.own_revision:
                bits_by_revision[number] |= self._bits({self._own_id})
        return bits_by_revision.get(revision)

    def _step_count(self) -> int:
        """Returns how many messages make one round over all distances."""
        return max(1, (len(self._order) - 1).bit_length())

    def _on_change(self) -> None:
        """Starts to tell peers again."""
        self._steps_left = self._step_count()
        self._settle()

    def _settle(self) -> None:
        """Closes the revisions that all hosts have prepared."""
        everyone = (1 << len(self._order)) - 1
        for revision in sorted(self._bits_by_revision, reverse=True):
            if not everyone or self._bits_by_revision[revision] != everyone:
                continue
            self.complete_revision = max(self.complete_revision, revision)
            break
        for revision in list(self._bits_by_revision):
            if revision <= self.complete_revision:
                del self._bits_by_revision[revision]

    def _ids(self, bits: int) -> set[str]:
        """Returns the hosts whose bits are set."""
        return {
            host_id
            for index, host_id in enumerate(self._order)
            if bits >> index & 1
        }

    def _bits(self, host_ids: set[str]) -> int:
        """Returns the bits of hosts that are in the roster."""
        bits = 0
        for host_id in host_ids:
            index = self._index_by_id.get(host_id)
            if index is not None:
                bits |= 1 << index
        return bits
