"""Records of the store's client."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class KeyValue:
    """A key of the store with its value.

    Attributes:
        key: The key.
        value: The value.
        mod_revision: The store revision of its last change.
        create_revision: The store revision of its creation.
        lease_id: The lease that it is bound to; 0 for none.
    """

    key: str
    value: bytes
    mod_revision: int
    create_revision: int = 0
    lease_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RangeResponse:
    """The answer to a read.

    Attributes:
        store_revision: The store revision that the read saw.
        items: The keys found, in order.
        has_more: Whether the limit cut the answer short.
    """

    store_revision: int
    items: tuple[KeyValue, ...]
    has_more: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Compare:
    """A condition of a transaction: the key's last change.

    Attributes:
        key: The key.
        mod_revision: The store revision that it must have; 0 means that the
            key must not exist.
    """

    key: str
    mod_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A write.

    Attributes:
        key: The key.
        value: The value, at most 1 MB.
        lease_id: The lease to bind the key to; 0 for none.
    """

    key: str
    value: bytes
    lease_id: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """A deletion.

    Attributes:
        key: The key.
    """

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionResponse:
    """The answer to a transaction.

    Attributes:
        succeeded: Whether all conditions held and the writes took effect.
        store_revision: The store revision after the transaction.
        items: Where a condition did not hold, the keys that were to be read
            then, as far as they exist.
    """

    succeeded: bool
    store_revision: int
    items: tuple[KeyValue, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseResponse:
    """The answer to a grant or a renewal of a lease.

    Attributes:
        lease_id: The identity of the lease.
        time_to_live_ms: The time until it lapses; 0 if it has lapsed.
    """

    lease_id: int
    time_to_live_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class WatchStarted:
    """The store has accepted a watch.

    Attributes:
        store_revision: The store revision at that moment.
    """

    store_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyChanged:
    """A watched key has changed.

    Attributes:
        item: The key with its new value; an empty value if it was deleted.
        is_deleted: Whether the key was deleted.
    """

    item: KeyValue
    is_deleted: bool = False


WatchEvent = WatchStarted | KeyChanged
