"""Queue of recent updates and how often each has been transmitted."""

from collections.abc import Callable
from collections.abc import Container
import dataclasses
import enum


class UpdateKind(enum.Enum):
    """What an update is about, from the highest to the lowest priority."""

    URGENT_FACT = "urgent fact"
    FACT = "fact"
    MEMBER = "member"


_PRIORITY_ORDER = tuple(UpdateKind)


@dataclasses.dataclass(frozen=True, slots=True)
class UpdateKey:
    """Identifies the host or the fact that an update is about.

    An update carries the current state of it, so one key is queued only once.

    Attributes:
        kind: What the update is about.
        name: The identity of the host or the key of the fact.
    """

    kind: UpdateKind
    name: str


@dataclasses.dataclass(slots=True)
class _PendingUpdate:
    """How often an update has been transmitted.

    Attributes:
        transmissions: The number of messages that carried it, counting those
            received from peers unless it is an urgent fact.
        pushes_left: The number of rounds of pushes that still carry it.
        is_remote: Whether it was received from another data centre.
        was_pushed: Whether a round of pushes has carried it, or had no receiver
            for it.
    """

    transmissions: int
    pushes_left: int
    is_remote: bool
    was_pushed: bool = False


class UpdateQueue:
    """The updates that are still to be disseminated."""

    def __init__(self, push_rounds: int) -> None:
        self._push_rounds = push_rounds
        self._updates_by_key: dict[UpdateKey, _PendingUpdate] = {}
        self._keys_to_push: dict[UpdateKey, None] = {}

    def __len__(self) -> int:
        return len(self._updates_by_key)

    @property
    def has_updates_to_push(self) -> bool:
        """Whether any update still has to be pushed."""
        return bool(self._keys_to_push)

    def add(self, key: UpdateKey, is_remote: bool) -> None:
        """Queues an update, or resets its counters after a further change.

        Args:
            key: The key of the update.
            is_remote: Whether it was received from another data centre.
        """
        self._updates_by_key.pop(key, None)
        self._updates_by_key[key] = _PendingUpdate(
            0, self._push_rounds, is_remote
        )
        self._keys_to_push[key] = None

    def count_duplicate(self, key: UpdateKey) -> None:
        """Counts that a peer sent the same update.

        An update that peers already disseminate soon reaches all hosts, so this
        host sends it less often. Urgent facts are pushed less often, but
        piggybacked as often as before.

        Args:
            key: The key of the update.
        """
        update = self._updates_by_key.get(key)
        if update is None:
            return
        if key.kind is not UpdateKind.URGENT_FACT:
            update.transmissions += 1
        update.pushes_left -= 1
        if update.pushes_left <= 0:
            self._keys_to_push.pop(key, None)

    def keys_to_push(self) -> list[UpdateKey]:
        """Returns the keys of the updates that still have to be pushed."""
        return list(self._keys_to_push)

    def is_remote_push_due(self, key: UpdateKey) -> bool:
        """Returns whether an update is due to be pushed to other data centres.

        An update from another data centre is not pushed to a third, which
        receives it from the first. One round of pushes is enough, since the
        relays push to different hosts.

        Args:
            key: The key of the update.
        """
        update = self._updates_by_key.get(key)
        return update is not None and not (
            update.is_remote or update.was_pushed
        )

    def select(
        self,
        budget_bytes: int,
        size_of: Callable[[UpdateKey], int | None],
        kinds: Container[UpdateKind],
        only_to_push: bool = False,
    ) -> list[UpdateKey]:
        """Selects the updates that one message will carry.

        Urgent facts come first, other facts second and hosts last. Within a
        kind, the updates transmitted least often come first, then the newest.

        Args:
            budget_bytes: The free space in the message.
            size_of: Returns the size of an update in bytes, or None if the
                receiver is not to get it.
            kinds: The kinds that may be selected.
            only_to_push: Whether to select only updates that have to be pushed.

        Returns:
            The keys of the updates that fit.
        """
        updates = self._updates_by_key
        keys = list(self._keys_to_push) if only_to_push else list(updates)
        keys.reverse()
        keys = [key for key in keys if key.kind in kinds]
        keys.sort(
            key=lambda key: (
                _PRIORITY_ORDER.index(key.kind),
                updates[key].transmissions,
            )
        )
        selected: list[UpdateKey] = []
        for key in keys:
            size = size_of(key)
            if size is None or size > budget_bytes:
                continue
            budget_bytes -= size
            selected.append(key)
        return selected

    def record_transmission(self, keys: list[UpdateKey], limit: int) -> None:
        """Counts a transmission and removes updates that reached the limit.

        Args:
            keys: The keys of the updates that a message carried.
            limit: The number of transmissions after which an update is removed
                from the queue, unless it still has to be pushed.
        """
        for key in keys:
            update = self._updates_by_key.get(key)
            if update is None:
                continue
            update.transmissions += 1
            if update.transmissions < limit or key in self._keys_to_push:
                continue
            del self._updates_by_key[key]

    def record_push(self, keys: list[UpdateKey]) -> None:
        """Records a round of pushes.

        Args:
            keys: The keys of the updates that the round carried, or that were
                not for any of its receivers.
        """
        for key in keys:
            update = self._updates_by_key.get(key)
            if update is None:
                self._keys_to_push.pop(key, None)
                continue
            update.was_pushed = True
            update.pushes_left -= 1
            if update.pushes_left <= 0:
                self._keys_to_push.pop(key, None)
