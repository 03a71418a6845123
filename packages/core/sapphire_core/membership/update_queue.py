"""What has changed lately and how often each change was passed on."""

from collections.abc import Callable
from collections.abc import Container
import dataclasses
import enum


class UpdateKind(enum.Enum):
    """What a piece of news is about."""

    URGENT_FACT = "urgent fact"
    FACT = "fact"
    MEMBER = "member"


_ORDER = tuple(UpdateKind)


@dataclasses.dataclass(frozen=True, slots=True)
class UpdateKey:
    """The subject of a piece of news; a later change replaces an earlier.

    Attributes:
        kind: What it is about.
        name: The host or the fact.
    """

    kind: UpdateKind
    name: str


@dataclasses.dataclass(slots=True)
class _Item:
    """How often a piece of news was passed on."""

    transmissions: int
    pushes_left: int
    is_remote: bool
    was_pushed: bool = False


class UpdateQueue:
    """The pieces of news that are still passed on."""

    def __init__(self, push_rounds: int) -> None:
        self._push_rounds = push_rounds
        self._items_by_key: dict[UpdateKey, _Item] = {}
        self._hot_keys: dict[UpdateKey, None] = {}

    def __len__(self) -> int:
        return len(self._items_by_key)

    @property
    def has_hot(self) -> bool:
        """Whether some news still has to be pushed."""
        return bool(self._hot_keys)

    def add(self, key: UpdateKey, is_remote: bool) -> None:
        """Adds a piece of news, or starts it again after a change.

        Args:
            key: Its subject.
            is_remote: Whether another data centre told it.
        """
        self._items_by_key.pop(key, None)
        self._items_by_key[key] = _Item(0, self._push_rounds, is_remote)
        self._hot_keys[key] = None

    def hear(self, key: UpdateKey) -> None:
        """Counts that another host passed on the same piece of news.

        What others know already is soon known to all, so it is passed on
        less often from here. Probes carry an urgent fact as often as before.

        Args:
            key: Its subject.
        """
        item = self._items_by_key.get(key)
        if item is None:
            return
        if key.kind is not UpdateKind.URGENT_FACT:
            item.transmissions += 1
        item.pushes_left -= 1
        if item.pushes_left <= 0:
            self._hot_keys.pop(key, None)

    def hot_keys(self) -> list[UpdateKey]:
        """Returns the subjects that still have to be pushed."""
        return list(self._hot_keys)

    def is_pushed_abroad(self, key: UpdateKey) -> bool:
        """Returns whether news is due to be pushed to other data centres.

        What came from another data centre is not pushed to a third, which
        has it from the first. One round is enough, since each of the relays
        goes another way.

        Args:
            key: Its subject.
        """
        item = self._items_by_key.get(key)
        return item is not None and not (item.is_remote or item.was_pushed)

    def pick(
        self,
        budget_bytes: int,
        size_of: Callable[[UpdateKey], int | None],
        kinds: Container[UpdateKind],
        hot_only: bool = False,
    ) -> list[UpdateKey]:
        """Picks the news of one message.

        Urgent facts go first, other facts next; of one kind the least passed
        on goes first, then the newest.

        Args:
            budget_bytes: The room in the message.
            size_of: The size of a piece of news, or None if it does not go
                to this receiver.
            kinds: The kinds that may be picked.
            hot_only: Whether to pick only news that has to be pushed.

        Returns:
            The subjects that fit.
        """
        items = self._items_by_key
        keys = list(self._hot_keys) if hot_only else list(items)
        keys.reverse()
        keys = [key for key in keys if key.kind in kinds]
        keys.sort(
            key=lambda key: (
                _ORDER.index(key.kind),
                items[key].transmissions,
            )
        )
        picked: list[UpdateKey] = []
        for key in keys:
            size = size_of(key)
            if size is None or size > budget_bytes:
                continue
            budget_bytes -= size
            picked.append(key)
        return picked

    def count(self, keys: list[UpdateKey], limit: int) -> None:
        """Counts a transmission and drops what was passed on enough.

        Args:
            keys: The subjects that a message carried.
            limit: The transmissions after which news is dropped.
        """
        for key in keys:
            item = self._items_by_key.get(key)
            if item is None:
                continue
            item.transmissions += 1
            if item.transmissions < limit or key in self._hot_keys:
                continue
            del self._items_by_key[key]

    def end_push(self, keys: list[UpdateKey]) -> None:
        """Ends one round of pushes.

        Args:
            keys: The subjects that the round carried.
        """
        for key in keys:
            item = self._items_by_key.get(key)
            if item is None:
                self._hot_keys.pop(key, None)
                continue
            item.was_pushed = True
            item.pushes_left -= 1
            if item.pushes_left <= 0:
                self._hot_keys.pop(key, None)
