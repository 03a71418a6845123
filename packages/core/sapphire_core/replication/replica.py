"""The items of one scope as this host knows them."""

from sapphire_core.replication import data

# Removed keys are remembered for peers that are behind by less than this, and
# for the flows of upstreams that have left the registry.
TOMBSTONE_LIFE_MS = 30_000


class Replica:
    """A copy of one scope that only moves forward.

    The revision of an item decides, so batches from the store and from peers
    may come in any order and more than once.

    Attributes:
        as_of: The revision up to which the copy is complete.
        newest_revision: The revision of the newest item.
        is_complete: Whether all items were read once.
    """

    def __init__(self) -> None:
        self._items_by_key: dict[str, data.Item] = {}
        self._removed_ms_by_key: dict[str, int] = {}
        # The last values of keys that were removed.
        self._former_by_key: dict[str, data.Item] = {}
        self._complete_from = 0
        self.as_of = 0
        self.newest_revision = 0
        self.is_complete = False

    def items(self) -> list[data.Item]:
        """Returns the items that exist, in the order of their keys."""
        return [
            self._items_by_key[key]
            for key in sorted(self._items_by_key)
            if self._items_by_key[key].value is not None
        ]

    def get(self, key: str) -> data.Item | None:
        """Returns an item, None if it never existed or was forgotten."""
        return self._items_by_key.get(key)

    def removed_items(self) -> data.Batch:
        """Returns the last values of keys that were removed lately.

        Flows of removed upstreams may be open; a host that has just started
        finds nothing of them in the store.
        """
        return data.Batch(
            tuple(self._former_by_key.values()), self.as_of, False
        )

    def apply(self, batch: data.Batch, now_ms: int) -> list[data.Item]:
        """Takes what a source tells.

        Args:
            batch: The batch.
            now_ms: The current time.

        Returns:
            The items that are news, removals included, oldest first.
        """
        news = [item for item in batch.items if self._accept(item, now_ms)]
        if batch.is_full:
            news.extend(self._remove_missing(batch, now_ms))
            self.is_complete = True
        self.as_of = max(self.as_of, batch.as_of)
        news.sort(key=lambda item: item.revision)
        if news:
            self.newest_revision = max(self.newest_revision, news[-1].revision)
        return news

    def changes_after(self, revision: int) -> data.Batch:
        """Returns what a peer lacks that is complete up to a revision.

        Args:
            revision: The revision; 0 for nothing.

        Returns:
            The changes, or all items if some changes were forgotten.
        """
        if revision < self._complete_from or revision == 0:
            return data.Batch(tuple(self.items()), self.as_of, True)
        changed = [
            item
            for item in self._items_by_key.values()
            if item.revision > revision
        ]
        changed.sort(key=lambda item: item.revision)
        return data.Batch(tuple(changed), self.as_of, False)

    def evict_expired(self, now_ms: int) -> None:
        """Forgets keys that were removed long ago.

        Args:
            now_ms: The current time.
        """
        for key, removed_ms in list(self._removed_ms_by_key.items()):
            if now_ms - removed_ms < TOMBSTONE_LIFE_MS:
                continue
            del self._removed_ms_by_key[key]
            self._former_by_key.pop(key, None)
            item = self._items_by_key.pop(key)
            self._complete_from = max(self._complete_from, item.revision)

    def _accept(self, item: data.Item, now_ms: int) -> bool:
        """Stores an item if it is newer than the known one."""
        known = self._items_by_key.get(item.key)
        if known is not None and item.revision <= known.revision:
            return False
        if item.value is None and known is None:
            # The removal of a key that was never known; a full read that is
            # older than the removal may still bring the key.
            self._removed_ms_by_key[item.key] = now_ms
            self._items_by_key[item.key] = item
            return False
        self._items_by_key[item.key] = item
        if item.value is None:
            self._note_removed(known, now_ms)
        else:
            self._removed_ms_by_key.pop(item.key, None)
            self._former_by_key.pop(item.key, None)
        return True

    def _note_removed(self, former: data.Item | None, now_ms: int) -> None:
        """Keeps the last value of a key that was removed."""
        if former is None:
            return
        self._removed_ms_by_key[former.key] = now_ms
        if former.value is not None:
            self._former_by_key[former.key] = former

    def _remove_missing(
        self, batch: data.Batch, now_ms: int
    ) -> list[data.Item]:
        """Removes the known keys that a full read no longer has."""
        present = {item.key for item in batch.items}
        removed: list[data.Item] = []
        for key, item in list(self._items_by_key.items()):
            if key in present or item.value is None:
                continue
            if item.revision > batch.as_of:
                continue
            tombstone = data.Item(key, batch.as_of, None)
            self._items_by_key[key] = tombstone
            self._note_removed(item, now_ms)
            removed.append(tombstone)
        return removed
