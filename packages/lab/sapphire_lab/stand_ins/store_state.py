"""The state of the fake store: keys, revisions, leases and events."""

from collections.abc import Mapping
import dataclasses

from sapphire_data import clock
from sapphire_net.store import data

MAX_EVENTS = 10_000


class InvalidRequestError(Exception):
    """The request is invalid; the store responds with status 400."""


class CompactedError(Exception):
    """The events from the first revision of a watch were discarded."""


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease that has not expired.

    Attributes:
        time_to_live_ms: The time from each renewal until it expires.
        expires_at_ms: The time at which it expires unless renewed.
    """

    time_to_live_ms: int
    expires_at_ms: int


class StoreState:
    """Keys, leases and events of the store.

    Each transaction that writes raises the revision by one.

    Attributes:
        revision: The current revision.
        items_by_key: The items by their key.
        leases_by_id: The leases by their identity.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._time = time
        self.revision = 1
        self.items_by_key: dict[str, data.KeyValue] = {}
        self.leases_by_id: dict[int, Lease] = {}
        self._events: list[data.KeyChanged] = []
        self._first_event_revision = 1
        self._next_lease_id = 7_000

    def read_range(
        self, key: str, end: str | None, items: Mapping[str, data.KeyValue]
    ) -> list[data.KeyValue]:
        """Returns the items of a range in the order of their keys.

        Args:
            key: The first key.
            end: The first key after the range; none for one key.
            items: The items to select from.

        Returns:
            The items found.
        """
        if end is None:
            found = items.get(key)
            return [] if found is None else [found]
        return [
            items[item_key]
            for item_key in sorted(items)
            if key <= item_key < end
        ]

    def is_at_revision(self, key: str, mod_revision: int) -> bool:
        """Returns whether a key last changed at a revision; 0 for no key."""
        item = self.items_by_key.get(key)
        return (0 if item is None else item.mod_revision) == mod_revision

    def apply(self, writes: list[data.Put | data.Delete]) -> None:
        """Applies writes at one new revision.

        Args:
            writes: The writes.

        Raises:
            InvalidRequestError: A lease does not exist, or a key occurs twice.
        """
        keys = [write.key for write in writes]
        if len(set(keys)) != len(keys):
            raise InvalidRequestError("duplicate key given in txn request")
        for write in writes:
            if not isinstance(write, data.Put) or not write.lease_id:
                continue
            if write.lease_id not in self.leases_by_id:
                raise InvalidRequestError("requested lease not found")
        if not writes:
            return
        self.revision += 1
        for write in writes:
            self._apply_write(write)
        del self._events[:-MAX_EVENTS]
        if len(self._events) == MAX_EVENTS:
            self._first_event_revision = self._events[0].item.mod_revision

    def grant_lease(self, time_to_live_ms: int) -> int:
        """Grants a lease and returns its identity."""
        self._next_lease_id += 1
        self.leases_by_id[self._next_lease_id] = Lease(
            time_to_live_ms=time_to_live_ms,
            expires_at_ms=self._time.now_ms() + time_to_live_ms,
        )
        return self._next_lease_id

    def renew_lease(self, lease_id: int) -> int:
        """Renews a lease and returns its time to live; 0 if it has expired."""
        lease = self.leases_by_id.get(lease_id)
        if lease is None:
            return 0
        lease.expires_at_ms = self._time.now_ms() + lease.time_to_live_ms
        return lease.time_to_live_ms

    def revoke_lease(self, lease_id: int) -> None:
        """Ends a lease and deletes the keys attached to it."""
        if self.leases_by_id.pop(lease_id, None) is None:
            return
        attached_keys = [
            item.key
            for item in self.items_by_key.values()
            if item.lease_id == lease_id
        ]
        self.apply([data.Delete(key) for key in attached_keys])

    def expire_leases(self) -> None:
        """Ends each lease that has expired."""
        now_ms = self._time.now_ms()
        for lease_id, lease in list(self.leases_by_id.items()):
            if lease.expires_at_ms <= now_ms:
                self.revoke_lease(lease_id)

    def read_events(
        self, revision: int, key: str, end: str | None
    ) -> list[data.KeyChanged]:
        """Returns the events of a range from a revision on.

        Args:
            revision: The first revision.
            key: The first key of the range.
            end: The first key after the range; none for one key.

        Returns:
            The events in order.

        Raises:
            CompactedError: The events from that revision were discarded.
        """
        if revision < self._first_event_revision:
            raise CompactedError
        found: list[data.KeyChanged] = []
        for event in reversed(self._events):
            if event.item.mod_revision < revision:
                break
            item_key = event.item.key
            is_inside = (
                item_key == key if end is None else key <= item_key < end
            )
            if is_inside:
                found.append(event)
        found.reverse()
        return found

    def compact(self) -> None:
        """Discards all events so far."""
        self._events.clear()
        self._first_event_revision = self.revision + 1

    def _apply_write(self, write: data.Put | data.Delete) -> None:
        """Applies one write at the current revision."""
        previous = self.items_by_key.get(write.key)
        if isinstance(write, data.Delete):
            if previous is None:
                return
            del self.items_by_key[write.key]
            deleted = data.KeyValue(write.key, b"", self.revision)
            self._events.append(data.KeyChanged(deleted, is_deleted=True))
            return
        create_revision = (
            self.revision if previous is None else previous.create_revision
        )
        item = data.KeyValue(
            key=write.key,
            value=write.value,
            mod_revision=self.revision,
            create_revision=create_revision,
            lease_id=write.lease_id,
        )
        self.items_by_key[write.key] = item
        self._events.append(data.KeyChanged(item))
