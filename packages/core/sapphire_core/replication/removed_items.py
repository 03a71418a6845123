"""The keys that were removed from a replica recently, with their last values.

Peers that are behind need the removals, and flows of an upstream that has left
the registry need its last entry.
"""

from collections.abc import Iterable

from sapphire_core.replication import data

# Tombstones and last values are kept for this long, for peers that are behind
# by less than this and for open flows.
TOMBSTONE_TTL_MS = 30_000


class RemovedItems:
    """When keys were removed, and the last value of those that had one."""

    def __init__(self) -> None:
        self._removed_ms_by_key: dict[str, int] = {}
        self._last_items_by_key: dict[str, data.Item] = {}

    @property
    def last_items(self) -> tuple[data.Item, ...]:
        """The removed items with their last value."""
        return tuple(self._last_items_by_key.values())

    def last_revision(self, tombstone: data.Item) -> int:
        """Returns the revision of the last value of a removed key.

        Args:
            tombstone: The item of the key in the replica; its revision counts
                if the value was never known.
        """
        return self._last_items_by_key.get(tombstone.key, tombstone).revision

    def record(self, previous: data.Item, now_ms: int) -> None:
        """Records that a key was removed.

        Args:
            previous: Its last item.
            now_ms: The current time.
        """
        self._removed_ms_by_key[previous.key] = now_ms
        if previous.value is not None:
            self._last_items_by_key[previous.key] = previous

    def record_again(self, key: str, now_ms: int) -> None:
        """Records the removal of a key that was unknown or counted as removed.

        Args:
            key: The key.
            now_ms: The current time.
        """
        self._removed_ms_by_key[key] = now_ms

    def forget(self, key: str) -> None:
        """Forgets that a key was removed, as it exists again."""
        self._removed_ms_by_key.pop(key, None)
        self._last_items_by_key.pop(key, None)

    def pop_expired(self, now_ms: int) -> Iterable[str]:
        """Removes and returns the keys that were removed long enough ago.

        Args:
            now_ms: The current time.
        """
        expired = [
            key
            for key, removed_ms in self._removed_ms_by_key.items()
            if now_ms - removed_ms >= TOMBSTONE_TTL_MS
        ]
        for key in expired:
            self.forget(key)
        return expired

    def lower_revisions(self, revision: int) -> None:
        """Gives last values of a former era revisions that the store has.

        Args:
            revision: The newest revision of the store.
        """
        for key, item in self._last_items_by_key.items():
            self._last_items_by_key[key] = data.Item(
                key, min(item.revision, revision), item.value
            )
