"""Requests, responses and events of the store client."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class KeyValue:
    """A key of the store and its value.

    Attributes:
        key: The key.
        value: The value.
        mod_revision: The store revision of its last change.
        create_revision: The store revision of its creation.
        lease_id: The lease that the key is attached to; 0 for none.
    """

    key: str
    value: bytes
    mod_revision: int
    create_revision: int = 0
    lease_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RangeResponse:
    """The response to a read.

    Attributes:
        store_revision: The store revision at which the keys were read.
        items: The keys found, in order.
        has_more: Whether the limit left out further keys.
    """

    store_revision: int
    items: tuple[KeyValue, ...]
    has_more: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Compare:
    """A condition of a transaction on the last change of a key.

    Attributes:
        key: The key.
        mod_revision: The store revision that the last change must have; 0
            means that the key must not exist.
    """

    key: str
    mod_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """The write of a key.

    Attributes:
        key: The key.
        value: The value, at most 1 MB.
        lease_id: The lease to attach the key to; 0 for none.
    """

    key: str
    value: bytes
    lease_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """The deletion of a key.

    Attributes:
        key: The key.
    """

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionResponse:
    """The response to a transaction.

    Attributes:
        succeeded: Whether all conditions held and the writes took effect.
        store_revision: The store revision after the transaction.
        items: The existing keys among those to be read if a condition does
            not hold; empty if the transaction succeeded.
    """

    succeeded: bool
    store_revision: int
    items: tuple[KeyValue, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseResponse:
    """The response to a grant or a renewal of a lease.

    Attributes:
        lease_id: The identity of the lease.
        time_to_live_ms: The time until it expires; 0 if it has expired.
    """

    lease_id: int
    time_to_live_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class WatchStarted:
    """The store has accepted a watch.

    Attributes:
        store_revision: The store revision when the watch was accepted.
    """

    store_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyChanged:
    """A watched key has changed.

    Attributes:
        item: The key and its new value, which is empty if it was deleted.
        is_deleted: Whether the key was deleted.
    """

    item: KeyValue
    is_deleted: bool = False


WatchEvent = WatchStarted | KeyChanged
