"""This host's replica of the items of one scope of the store."""

from sapphire_core.replication import data

# Tombstones are kept for this long, for peers that are behind by less than
# this. So are the last values of removed keys, for the open flows of upstreams
# that have left the registry.
TOMBSTONE_TTL_MS = 30_000


class Replica:
    """A replica of one scope, which keeps the newest revision of each key.

    Batches from the store and from peers may therefore be applied in any order
    and more than once.

    Attributes:
        as_of: The revision up to which the replica is complete.
        newest_revision: The revision of the newest item.
        is_complete: Whether a batch with all items was applied.
    """

    def __init__(self) -> None:
        self._items_by_key: dict[str, data.Item] = {}
        self._removed_ms_by_key: dict[str, int] = {}
        # The items of removed keys with their last value.
        self._last_items_by_key: dict[str, data.Item] = {}
        # Changes since an earlier revision would lack evicted tombstones.
        self._oldest_delta_revision = 0
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
        """Returns an item, which may be a tombstone.

        Args:
            key: The key.

        Returns:
            The item, None if it never existed or its tombstone was evicted.
        """
        return self._items_by_key.get(key)

    def removed_items(self) -> data.Batch:
        """Returns the last values of keys that were removed recently.

        Flows of removed upstreams may still be open, and a host that has just
        started finds no record of these upstreams in the store.
        """
        return data.Batch(
            tuple(self._last_items_by_key.values()), self.as_of, False
        )

    def apply(self, batch: data.Batch, now_ms: int) -> list[data.Item]:
        """Merges a batch from the store or a peer.

        Args:
            batch: The batch.
            now_ms: The current time.

        Returns:
            The items that changed, tombstones included, oldest first.
        """
        changed = [item for item in batch.items if self._accept(item, now_ms)]
        if batch.is_full:
            changed.extend(self._remove_missing(batch, now_ms))
            self.is_complete = True
        self.as_of = max(self.as_of, batch.as_of)
        changed.sort(key=lambda item: item.revision)
        if changed:
            self.newest_revision = max(
                self.newest_revision, changed[-1].revision
            )
        return changed

    def changes_after(self, revision: int) -> data.Batch:
        """Returns what a peer lacks.

        Args:
            revision: The revision up to which the peer's replica is complete;
                0 if it has none.

        Returns:
            The changes after the revision, or all items if tombstones of such
            changes were evicted.
        """
        if revision < self._oldest_delta_revision or revision == 0:
            return data.Batch(tuple(self.items()), self.as_of, True)
        changed = [
            item
            for item in self._items_by_key.values()
            if item.revision > revision
        ]
        changed.sort(key=lambda item: item.revision)
        return data.Batch(tuple(changed), self.as_of, False)

    def evict_expired(self, now_ms: int) -> None:
        """Evicts tombstones, and last values, of `TOMBSTONE_TTL_MS` ago.

        Args:
            now_ms: The current time.
        """
        for key, removed_ms in list(self._removed_ms_by_key.items()):
            if now_ms - removed_ms < TOMBSTONE_TTL_MS:
                continue
            del self._removed_ms_by_key[key]
            self._last_items_by_key.pop(key, None)
            item = self._items_by_key.pop(key)
            self._oldest_delta_revision = max(
                self._oldest_delta_revision, item.revision
            )

    def _accept(self, item: data.Item, now_ms: int) -> bool:
        """Stores an item if it is newer than the known one.

        Returns:
            Whether the item is a change for this host.
        """
        known = self._items_by_key.get(item.key)
        if known is not None and item.revision <= known.revision:
            return False
        if item.value is None and known is None:
            # The key was never known here. The tombstone is kept, since a full
            # read from before the removal may still contain the key.
            self._removed_ms_by_key[item.key] = now_ms
            self._items_by_key[item.key] = item
            return False
        self._items_by_key[item.key] = item
        if item.value is None:
            self._record_removal(known, now_ms)
        else:
            self._removed_ms_by_key.pop(item.key, None)
            self._last_items_by_key.pop(item.key, None)
        return True

    def _record_removal(self, previous: data.Item | None, now_ms: int) -> None:
        """Records when a key was removed, and its last value."""
        if previous is None:
            return
        self._removed_ms_by_key[previous.key] = now_ms
        if previous.value is not None:
            self._last_items_by_key[previous.key] = previous

    def _remove_missing(
        self, batch: data.Batch, now_ms: int
    ) -> list[data.Item]:
        """Removes the known keys that are missing from a full batch.

        Keys that changed after the batch was read are kept.

        Returns:
            The tombstones of the removed keys.
        """
        present = {item.key for item in batch.items}
        removed: list[data.Item] = []
        for key, item in list(self._items_by_key.items()):
            if key in present or item.value is None:
                continue
            if item.revision > batch.as_of:
                continue
            tombstone = data.Item(key, batch.as_of, None)
            self._items_by_key[key] = tombstone
            self._record_removal(item, now_ms)
            removed.append(tombstone)
        return removed
