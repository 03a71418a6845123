"""What was known before the store came back from an older copy.

The copy lacks what was written since it was made, and has what was removed
since. Operators and upstreams write that again; until then, what was known
counts, for a bounded time.
"""

from collections.abc import Mapping

from sapphire_core.replication import data

# How long knowledge from before the copy counts. Upstreams write again within
# about two seconds of the return. No bound is stated for operators; an outage
# of the store lasts up to about half a minute, and they have to notice it.
CARRIED_MS = 30_000


class CarriedItems:
    """Items of the former era that the new one does not yet decide on.

    Args:
        kept: The items that the copy lacks.
        masked_keys: The keys that the copy has, though they were removed.
        until_ms: Until when all of this counts.
    """

    def __init__(
        self,
        kept: Mapping[str, data.Item],
        masked_keys: frozenset[str],
        until_ms: int,
    ) -> None:
        self._kept_by_key = dict(kept)
        self._masked_keys = set(masked_keys)
        self._until_ms = until_ms

    @property
    def kept_items(self) -> list[data.Item]:
        """The items that the copy lacks and that still count."""
        return list(self._kept_by_key.values())

    @property
    def masked_keys(self) -> frozenset[str]:
        """The keys that the copy has and that still count as removed."""
        return frozenset(self._masked_keys)

    def is_masked(self, key: str) -> bool:
        """Whether a key that the copy has still counts as removed."""
        return key in self._masked_keys

    def mask(self, keys: frozenset[str], now_ms: int) -> None:
        """Lets more keys count as removed that the copy has.

        Args:
            keys: The keys.
            now_ms: The current time.
        """
        if not self._kept_by_key and not self._masked_keys:
            self._until_ms = now_ms + CARRIED_MS
        self._masked_keys |= keys

    def settle(self, key: str) -> data.Item | None:
        """Ends what is carried of a key, as the store has written it again.

        Args:
            key: The key.

        Returns:
            The item, if the copy lacked it.
        """
        self._masked_keys.discard(key)
        return self._kept_by_key.pop(key, None)

    def is_expired(self, now_ms: int) -> bool:
        """Whether something is carried that no longer counts.

        Args:
            now_ms: The current time.
        """
        has_any = bool(self._kept_by_key or self._masked_keys)
        return has_any and now_ms >= self._until_ms


def nothing() -> CarriedItems:
    """Returns what is carried before the store first comes back: nothing."""
    return CarriedItems({}, frozenset(), 0)
