"""What was known before the store came back from an older copy.

The copy lacks what was written since it was made, has what was removed since,
and has older values. Operators and upstreams write that again; until then, what
was known counts. Hosts that start meanwhile get it from their peers.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from sapphire_core.replication import data

# How long keys that the copy lacks count, and keys that it has again do not.
# Upstreams write again within about two seconds of the return. No bound is
# stated for operators; an outage of the store lasts up to about half a minute,
# and they have to notice it.
CARRIED_MS = 30_000
# How many values of one key are carried: those of peers that had followed
# different changes when the store went away.
MAX_FORMER_VALUES = 4


class CarriedItems:
    """Items of the former era that the new one does not yet decide on.

    Args:
        kept: The items that the copy lacks.
        masked_keys: The keys that the copy has, though they were removed.
        former: Values of which the copy has older ones, each with the revision
            of that one. Their content tells which counts, so they have no time
            limit: hosts that run go on by them until a newer one is written.
        until_ms: Until when the other items count.
    """

    def __init__(
        self,
        kept: Mapping[str, data.Item],
        masked_keys: frozenset[str],
        former: Iterable[data.Item],
        until_ms: int,
    ) -> None:
        self._kept_by_key = dict(kept)
        self._masked_keys = set(masked_keys)
        self._former_by_key: dict[str, list[data.Item]] = {}
        self._until_ms = until_ms
        for item in former:
            self.add_former(item)

    @property
    def kept_items(self) -> list[data.Item]:
        """The items that the copy lacks and that still count."""
        return list(self._kept_by_key.values())

    @property
    def masked_keys(self) -> frozenset[str]:
        """The keys that the copy has and that still count as removed."""
        return frozenset(self._masked_keys)

    @property
    def former_items(self) -> list[data.Item]:
        """The values of which the copy has older ones."""
        return [
            item for items in self._former_by_key.values() for item in items
        ]

    def is_masked(self, key: str) -> bool:
        """Whether a key that the copy has still counts as removed."""
        return key in self._masked_keys

    def left_ms(self, now_ms: int) -> int:
        """Returns how much longer kept items and masked keys count.

        Args:
            now_ms: The current time.
        """
        return max(0, self._until_ms - now_ms)

    def add_former(self, item: data.Item) -> bool:
        """Adds a value of which the copy has an older one.

        Args:
            item: The value, with the revision of the older one.

        Returns:
            Whether it is new.
        """
        known = self._former_by_key.setdefault(item.key, [])
        if item in known or len(known) >= MAX_FORMER_VALUES:
            return False
        known.append(item)
        return True

    def keep(self, item: data.Item, until_ms: int) -> bool:
        """Lets an item count that the copy lacks.

        Args:
            item: The item.
            until_ms: Until when.

        Returns:
            Whether it did not count before.
        """
        if item.key in self._kept_by_key:
            return False
        self._extend(until_ms)
        self._kept_by_key[item.key] = item
        return True

    def mask(self, keys: frozenset[str], until_ms: int) -> None:
        """Lets more keys count as removed that the copy has.

        Args:
            keys: The keys.
            until_ms: Until when, if nothing else is carried.
        """
        if not keys:
            return
        self._extend(until_ms)
        self._masked_keys |= keys

    def settle(self, key: str) -> data.Item | None:
        """Ends what is carried of a key, as the store has written it again.

        Args:
            key: The key.

        Returns:
            The item, if the copy lacked it.
        """
        self._masked_keys.discard(key)
        self._former_by_key.pop(key, None)
        return self._kept_by_key.pop(key, None)

    def is_expired(self, now_ms: int) -> bool:
        """Whether something is carried that no longer counts.

        Args:
            now_ms: The current time.
        """
        return self._has_limited() and now_ms >= self._until_ms

    def _extend(self, until_ms: int) -> None:
        """Sets the time limit, if nothing has one yet."""
        if not self._has_limited():
            self._until_ms = until_ms

    def _has_limited(self) -> bool:
        """Whether anything is carried that counts for a limited time."""
        return bool(self._kept_by_key or self._masked_keys)


def nothing() -> CarriedItems:
    """Returns what is carried before the store first comes back: nothing."""
    return CarriedItems({}, frozenset(), (), 0)
