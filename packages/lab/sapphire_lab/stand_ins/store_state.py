"""The state of the stand-in store: keys, revisions, leases and events."""

from collections.abc import Mapping
import dataclasses

from sapphire_data import clock
from sapphire_net.store import data

MAX_EVENTS = 10_000


class InvalidRequestError(Exception):
    """A request that the store refuses with status 400."""


class CompactedError(Exception):
    """A watch from a revision whose events are no longer kept."""


@dataclasses.dataclass(slots=True)
class Lease:
    """An open lease.

    Attributes:
        time_to_live_ms: Its length.
        expires_at_ms: When it lapses.
    """

    time_to_live_ms: int
    expires_at_ms: int


class StoreState:
    """Keys with revisions; each transaction raises the revision by one."""

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
        """Returns the keys of a range in order.

        Args:
            key: The first key.
            end: The first key after the range; none for one key.
            items: The keys to select from.

        Returns:
            The keys found.
        """
        if end is None:
            found = items.get(key)
            return [] if found is None else [found]
        return [items[name] for name in sorted(items) if key <= name < end]

    def is_at_revision(self, key: str, mod_revision: int) -> bool:
        """Says whether a key's last change is at a revision; 0 for no key."""
        item = self.items_by_key.get(key)
        return (0 if item is None else item.mod_revision) == mod_revision

    def apply(self, writes: list[data.Put | data.Delete]) -> None:
        """Applies writes at one new revision.

        Args:
            writes: The writes.

        Raises:
            InvalidRequestError: A lease does not exist or a key is repeated.
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
            self._apply_one(write)
        del self._events[:-MAX_EVENTS]
        if len(self._events) == MAX_EVENTS:
            self._first_event_revision = self._events[0].item.mod_revision

    def grant_lease(self, time_to_live_ms: int) -> int:
        """Opens a lease and returns its identity."""
        self._next_lease_id += 1
        self.leases_by_id[self._next_lease_id] = Lease(
            time_to_live_ms=time_to_live_ms,
            expires_at_ms=self._time.now_ms() + time_to_live_ms,
        )
        return self._next_lease_id

    def renew_lease(self, lease_id: int) -> int:
        """Extends a lease and returns its length; 0 if it has lapsed."""
        lease = self.leases_by_id.get(lease_id)
        if lease is None:
            return 0
        lease.expires_at_ms = self._time.now_ms() + lease.time_to_live_ms
        return lease.time_to_live_ms

    def revoke_lease(self, lease_id: int) -> None:
        """Ends a lease and deletes its keys."""
        if self.leases_by_id.pop(lease_id, None) is None:
            return
        bound = [
            item.key
            for item in self.items_by_key.values()
            if item.lease_id == lease_id
        ]
        self.apply([data.Delete(key) for key in bound])

    def expire_leases(self) -> None:
        """Ends each lease whose time is over."""
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
            CompactedError: The events from that revision are not kept.
        """
        if revision < self._first_event_revision:
            raise CompactedError
        found: list[data.KeyChanged] = []
        for event in reversed(self._events):
            if event.item.mod_revision < revision:
                break
            name = event.item.key
            is_inside = name == key if end is None else key <= name < end
            if is_inside:
                found.append(event)
        found.reverse()
        return found

    def compact(self) -> None:
        """Forgets all events so far."""
        self._events.clear()
        self._first_event_revision = self.revision + 1

    def _apply_one(self, write: data.Put | data.Delete) -> None:
        """Applies one write at the current revision."""
        before = self.items_by_key.get(write.key)
        if isinstance(write, data.Delete):
            if before is None:
                return
            del self.items_by_key[write.key]
            gone = data.KeyValue(write.key, b"", self.revision)
            self._events.append(data.KeyChanged(gone, is_deleted=True))
            return
        created = self.revision if before is None else before.create_revision
        item = data.KeyValue(
            key=write.key,
            value=write.value,
            mod_revision=self.revision,
            create_revision=created,
            lease_id=write.lease_id,
        )
        self.items_by_key[write.key] = item
        self._events.append(data.KeyChanged(item))
