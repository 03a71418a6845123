"""The store interface that the rest of the project uses."""

from collections.abc import Sequence
from typing import Protocol

import expression

from sapphire_net.store import data
from sapphire_net.store import failures

MAX_VALUE_BYTES = 1_048_576


class EventSender(Protocol):
    """Where a watch sends its events, such as anyio's memory send stream."""

    async def send(self, item: data.WatchEvent, /) -> None:
        """Sends one event; waits while the receiver is not ready."""


class Store(Protocol):
    """A key-value service with compare-and-swap, leases and watches."""

    async def get(
        self,
        key: str,
        *,
        is_prefix: bool = False,
        limit: int = 0,
        is_keys_only: bool = False,
    ) -> expression.Result[data.RangeResponse, failures.StoreFailure]:
        """Reads one key, or all keys with a prefix, in order.

        Args:
            key: The key or prefix.
            is_prefix: Whether to read all keys that start with it.
            limit: The most keys to return; 0 for all.
            is_keys_only: Whether to leave out the values.

        Returns:
            The keys found, possibly none; or why they cannot be read.
        """

    async def transact(
        self,
        compares: Sequence[data.Compare],
        writes: Sequence[data.Put | data.Delete],
        else_reads: Sequence[str] = (),
    ) -> expression.Result[data.TransactionResponse, failures.StoreFailure]:
        """Applies all writes atomically if all conditions hold.

        Args:
            compares: The conditions.
            writes: The writes, with at most one for each key.
            else_reads: The keys to read if a condition does not hold.

        Returns:
            Whether it took effect; `StoreOutcomeUnknown` if there was no
            valid response; another failure if it had no effect.
        """

    async def grant_lease(
        self, time_to_live_ms: int
    ) -> expression.Result[data.LeaseResponse, failures.StoreFailure]:
        """Grants a lease.

        Args:
            time_to_live_ms: Its time to live, rounded up to seconds.

        Returns:
            The lease, or why there is none.
        """

    async def renew_lease(
        self, lease_id: int
    ) -> expression.Result[data.LeaseResponse, failures.StoreFailure]:
        """Renews a lease for its time to live.

        Args:
            lease_id: The lease.

        Returns:
            The lease, with a time to live of 0 if it has expired; or why it
            could not be renewed.
        """

    async def revoke_lease(
        self, lease_id: int
    ) -> expression.Result[None, failures.StoreFailure]:
        """Revokes a lease and deletes the keys attached to it.

        Args:
            lease_id: The lease.

        Returns:
            Nothing, or why the call failed.
        """

    async def watch(
        self,
        key: str,
        from_store_revision: int,
        events: EventSender,
        *,
        is_prefix: bool = False,
    ) -> failures.StoreFailure:
        """Sends the changes of one key, or of all with a prefix, until the end.

        Args:
            key: The key or prefix.
            from_store_revision: The first store revision to report; 0 for
                the changes from now on.
            events: Receives the events.
            is_prefix: Whether to watch all keys that start with it.

        Returns:
            Why the watch ended.
        """
