"""This host's replica of the items of one scope of the store."""

from sapphire_core.replication import carried_items
from sapphire_core.replication import data
from sapphire_core.replication import removed_items

# The revision of a store that has no items: it is above 0, so that peers see
# that an empty scope has been read in its era.
_FIRST_REVISION = 1


class Replica:
    """A replica of one scope, which keeps the newest revision of each key.

    Batches from the store and from peers may therefore be applied in any order
    and more than once. Revisions are compared within an era only: a full batch
    of a newer era replaces the items, and batches of older eras are ignored.

    Args:
        keeps_missing: Whether items that an older copy of the store lacks count
            for `carried_items.CARRIED_MS`; otherwise they are removed at once.
        is_polled: Whether all items are read at intervals in place of their
            changes. Peers then get changes all the same: a key that was added
            and removed between two reads may stay with them for longer.

    Attributes:
        era: The era of the store that the revisions belong to.
        as_of: The revision up to which the replica is complete.
        newest_revision: The revision of the newest item.
        is_complete: Whether a batch with all items was applied.
        missing_keys: The keys known before the store was last restored that its
            copy lacked.
    """

    def __init__(
        self, *, keeps_missing: bool = True, is_polled: bool = False
    ) -> None:
        self._keeps_missing = keeps_missing
        self._is_polled = is_polled
        # What the store has, in the era of the replica.
        self._items_by_key: dict[str, data.Item] = {}
        self._carried = carried_items.nothing()
        self._removed = removed_items.RemovedItems()
        # Changes since an earlier revision would lack evicted tombstones.
        self._oldest_delta_revision = 0
        self.era = 0
        self.as_of = 0
        self.newest_revision = 0
        self.is_complete = False
        self.missing_keys: frozenset[str] = frozenset()

    @property
    def masked_keys(self) -> frozenset[str]:
        """The keys that the store has again and that count as removed."""
        return self._carried.masked_keys

    @property
    def position(self) -> data.Position:
        """The position up to which the replica is complete."""
        return data.Position(self.era, self.as_of)

    def items(self) -> list[data.Item]:
        """Returns the items that count, in the order of their keys.

        These are the items of the store and what is carried of a former era.
        """
        found = [
            item
            for item in self._stored_items()
            if not self._carried.is_masked(item.key)
        ]
        found.extend(self._carried.kept_items)
        return sorted(found, key=lambda item: item.key)

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
        return data.Batch(self._removed.last_items, self.as_of, False, self.era)

    def mask_removed(self, removed: data.Batch, now_ms: int) -> list[data.Item]:
        """Lets keys count as removed that a peer saw removed before a restore.

        This host has started since and has only the word of the copy.

        Args:
            removed: The removed items of the peer.
            now_ms: The current time.

        Returns:
            The tombstones of the keys that this changes.
        """
        if removed.era != self.era or self.era == 0:
            return []
        masked: list[data.Item] = []
        for item in removed.items:
            stored = self._items_by_key.get(item.key)
            if stored is None or stored.value is None:
                continue
            if self._carried.is_masked(item.key):
                continue
            if stored.revision <= item.revision:
                masked.append(stored)
        self._carried.mask(
            frozenset(item.key for item in masked),
            now_ms + carried_items.CARRIED_MS,
        )
        return self._remove_all(masked, now_ms)

    def carried_batch(self, era: int, now_ms: int) -> data.Batch:
        """Returns what counts in place of what a restored store has.

        Args:
            era: The era in which the asking host has the items of the store.
            now_ms: The current time.

        Returns:
            In the era of this replica, values that the copy lacks or has older
            ones of, and tombstones of keys that it has though they were
            removed; the revision is that of the copy's own item, or of the
            replica where it has none. If this replica is of an older era, all
            that it goes by, with the last revision of each value.
        """
        carried = self._carried
        items = [
            data.Item(item.key, self.as_of, item.value)
            for item in carried.kept_items
        ]
        items.extend(carried.former_items)
        if era > self.era:
            items.extend(self.items())
            items.extend(
                data.Item(key, revision, None)
                for key, revision in sorted(self._removed_revisions().items())
            )
            left_ms = carried_items.CARRIED_MS
        else:
            items.extend(
                data.Item(key, self._items_by_key[key].revision, None)
                for key in sorted(carried.masked_keys)
            )
            left_ms = carried.left_ms(now_ms)
        return data.Batch(tuple(items), self.as_of, False, self.era, left_ms)

    def carry(self, batch: data.Batch, now_ms: int) -> list[data.Item]:
        """Takes over what a peer goes by, since this host has only the copy.

        What the store has written in this era counts in any case.

        Args:
            batch: The batch of the peer, see `carried_batch`.
            now_ms: The current time.

        Returns:
            The items that changed. A value that the copy has an older one of
            is for the receiver to compare by its content.
        """
        if batch.era > self.era or self.era == 0:
            return []
        until_ms = now_ms + min(batch.left_ms, carried_items.CARRIED_MS)
        masked: list[data.Item] = []
        changed: list[data.Item] = []
        for item in batch.items:
            stored = self._items_by_key.get(item.key)
            if stored is None:
                if item.value is None or not self._keeps_missing:
                    continue
                if self._carried.keep(item, until_ms):
                    changed.append(item)
                continue
            if stored.value is None or stored.revision > item.revision:
                continue
            if self._carried.is_masked(item.key) or stored.value == item.value:
                continue
            if item.value is None:
                masked.append(stored)
                continue
            former = data.Item(item.key, stored.revision, item.value)
            if self._carried.add_former(former):
                changed.append(former)
        self._carried.mask(frozenset(item.key for item in masked), until_ms)
        changed.extend(self._remove_all(masked, now_ms))
        return changed

    def apply(
        self, batch: data.Batch, now_ms: int, *, is_final: bool = False
    ) -> list[data.Item]:
        """Merges a batch from the store or a peer.

        Changes of a newer era are ignored, since all items have to be read
        first.

        Args:
            batch: The batch.
            now_ms: The current time.
            is_final: Whether the batch is of the era that the store itself
                named last, so that a newer one must be an error of a peer.

        Returns:
            The items that changed, tombstones included, oldest first.
        """
        is_new_era = batch.era > self.era or (is_final and batch.era < self.era)
        if is_new_era and batch.is_full:
            return self._start_era(batch, now_ms)
        if batch.era != self.era:
            return []
        changed = [item for item in batch.items if self._accept(item, now_ms)]
        if batch.is_full:
            if not self._is_polled or not self.is_complete:
                # Keys that were removed before this read without this host's
                # knowledge have no tombstones here.
                self._oldest_delta_revision = max(
                    self._oldest_delta_revision, batch.as_of
                )
            changed.extend(self._remove_missing(batch, now_ms))
            self.is_complete = True
        self.as_of = max(self.as_of, batch.as_of)
        changed.sort(key=lambda item: item.revision)
        if changed:
            self.newest_revision = max(
                self.newest_revision, changed[-1].revision
            )
        return changed

    def changes_after(
        self, revision: int, era: int | None = None
    ) -> data.Batch:
        """Returns what a peer lacks.

        Args:
            revision: The revision up to which the peer's replica is complete;
                0 if it has none.
            era: The era that this revision belongs to; None for that of this
                replica.

        Returns:
            The changes after the revision, or all items if it belongs to
            another era or tombstones of such changes were evicted.
        """
        is_other_era = era is not None and era != self.era
        lacks_tombstones = revision < self._oldest_delta_revision
        if is_other_era or lacks_tombstones or revision == 0:
            stored = sorted(self._stored_items(), key=lambda item: item.key)
            return data.Batch(tuple(stored), self.as_of, True, self.era)
        changed = [
            item
            for item in self._items_by_key.values()
            if item.revision > revision
        ]
        changed.sort(key=lambda item: item.revision)
        return data.Batch(tuple(changed), self.as_of, False, self.era)

    def evict_expired(self, now_ms: int) -> list[data.Item]:
        """Evicts what has counted for long enough.

        That is tombstones, and last values, of `removed_items.TOMBSTONE_TTL_MS`
        ago, and what is carried of a former era.

        Args:
            now_ms: The current time.

        Returns:
            The items that changed, as what was carried no longer counts.
        """
        for key in self._removed.pop_expired(now_ms):
            item = self._items_by_key.get(key)
            # Keys of a former era have no tombstone in this one.
            if item is None or item.value is not None:
                continue
            del self._items_by_key[key]
            self._oldest_delta_revision = max(
                self._oldest_delta_revision, item.revision
            )
        if self._carried.is_expired(now_ms):
            return self._drop_carried(now_ms)
        return []

    def _stored_items(self) -> list[data.Item]:
        """Returns the items that exist in the store."""
        return [
            item
            for item in self._items_by_key.values()
            if item.value is not None
        ]

    def _start_era(self, batch: data.Batch, now_ms: int) -> list[data.Item]:
        """Replaces all items by those of a store that was restored.

        Returns:
            The items that changed. An item that the copy lacks has the revision
            of the batch.
        """
        known_by_key = {item.key: item for item in self.items()}
        removed_revisions = self._removed_revisions()
        self._items_by_key = {item.key: item for item in batch.items}
        missing = [
            item
            for item in known_by_key.values()
            if item.key not in self._items_by_key
        ]
        kept = {item.key: item for item in missing}
        for item in self._carried.former_items:
            if item.key in kept:
                kept[item.key] = item
        masked_keys = frozenset(
            item.key
            for item in batch.items
            if item.revision <= removed_revisions.get(item.key, -1)
        )
        self.missing_keys = frozenset(item.key for item in missing)
        self._carried = carried_items.CarriedItems(
            kept if self._keeps_missing else {},
            masked_keys,
            _former_values(
                batch, [*known_by_key.values(), *self._carried.former_items]
            ),
            now_ms + carried_items.CARRIED_MS,
        )
        self.era = batch.era
        self.as_of = batch.as_of
        self.newest_revision = max(
            (item.revision for item in batch.items), default=_FIRST_REVISION
        )
        self._oldest_delta_revision = batch.as_of
        self.is_complete = True
        changed: list[data.Item] = []
        for item in batch.items:
            if item.key in masked_keys:
                continue
            self._removed.forget(item.key)
            known = known_by_key.get(item.key)
            if known is None or known.value != item.value:
                changed.append(item)
        if not self._keeps_missing:
            changed.extend(self._remove_all(missing, now_ms))
        self._removed.lower_revisions(self.as_of)
        return sorted(changed, key=lambda item: item.revision)

    def _removed_revisions(self) -> dict[str, int]:
        """Returns the keys that count as removed, by their last revision.

        A key at a higher revision in a newer era was written in it. For a key
        whose last value was never known, that is the revision of its removal.
        """
        return {
            key: self._removed.last_revision(item)
            for key, item in self._items_by_key.items()
            if item.value is None or self._carried.is_masked(key)
        }

    def _drop_carried(self, now_ms: int) -> list[data.Item]:
        """Ends what is carried of a former era.

        Returns:
            The items that changed.
        """
        carried = self._carried
        self._carried = carried_items.CarriedItems(
            {}, frozenset(), carried.former_items, 0
        )
        changed = self._remove_all(carried.kept_items, now_ms)
        for key in sorted(carried.masked_keys):
            self._removed.forget(key)
            changed.append(self._items_by_key[key])
        return changed

    def _remove_all(
        self, items: list[data.Item], now_ms: int
    ) -> list[data.Item]:
        """Records the removal of items of a former era.

        Returns:
            Their tombstones. The replica does not keep these: other hosts find
            out themselves which items the store lacks.
        """
        for item in items:
            self._removed.record(item, now_ms)
        return [data.Item(item.key, self.as_of, None) for item in items]

    def _accept(self, item: data.Item, now_ms: int) -> bool:
        """Stores an item if it is newer than the known one.

        Returns:
            Whether the item is a change for this host.
        """
        stored = self._items_by_key.get(item.key)
        if stored is not None and item.revision <= stored.revision:
            return False
        was_masked = self._carried.is_masked(item.key)
        known = self._carried.settle(item.key) or stored
        self._items_by_key[item.key] = item
        if item.value is not None:
            self._removed.forget(item.key)
            return True
        if known is None or was_masked:
            # The key was never known here, or counts as removed already. The
            # tombstone is kept, since a full read from before the removal may
            # still contain the key.
            self._removed.record_again(item.key, now_ms)
            return False
        self._removed.record(known, now_ms)
        return True

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
            was_masked = self._carried.is_masked(key)
            self._carried.settle(key)
            if was_masked:
                self._removed.record_again(key, now_ms)
                continue
            self._removed.record(item, now_ms)
            removed.append(tombstone)
        return removed


def _former_values(
    batch: data.Batch, known: list[data.Item]
) -> list[data.Item]:
    """Returns known values of which a restored store has older ones.

    Args:
        batch: All items of the restored store.
        known: The items known before, with the revisions of the former era.

    Returns:
        The values, with the revisions of the store's own.
    """
    stored_by_key = {item.key: item for item in batch.items}
    former: list[data.Item] = []
    for item in known:
        stored = stored_by_key.get(item.key)
        if stored is None or stored.value == item.value:
            continue
        if stored.revision > item.revision:
            # The store has a newer one, or has written it again.
            continue
        former.append(data.Item(item.key, stored.revision, item.value))
    return former
