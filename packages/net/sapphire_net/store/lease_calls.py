"""Carries out the calls of a lease, and writes with its fencing token."""

from collections.abc import Sequence

import expression

from sapphire_core.configuration import lease as leases
from sapphire_data import clock
from sapphire_data import failures
from sapphire_net.store import data
from sapphire_net.store import interface

# Grant, acquisition and a renewal.
MAX_LEASE_CALLS = 3


async def execute(
    store: interface.Store,
    key: str,
    action: leases.Action,
    time: clock.Clock,
) -> leases.Event:
    """Makes the call of one action.

    Args:
        store: The store.
        key: The key that the lease protects.
        action: What to ask.
        time: The clock of the state machine.

    Returns:
        The event to hand to the state machine.
    """
    # The end of a lease counts from before the request is sent.
    asked_at_ms = time.now_ms()
    match action:
        case leases.Grant():
            granted = await store.grant_lease(action.time_to_live_ms)
        case leases.Renew():
            granted = await store.renew_lease(action.lease_id)
        case leases.Acquire():
            return await _acquire(store, key, action.lease_id)
    if granted.is_error():
        return leases.CallFailed()
    return leases.Granted(
        granted.ok.lease_id, asked_at_ms, granted.ok.time_to_live_ms
    )


async def try_to_acquire(
    store: interface.Store, key: str, time_to_live_ms: int, time: clock.Clock
) -> leases.Lease:
    """Tries once to get a lease for a short piece of work.

    Args:
        store: The store.
        key: The key that the lease protects.
        time_to_live_ms: Its length.
        time: The clock of the state machine.

    Returns:
        The lease, whose fencing token says whether it is held; who gets it
        revokes it after the work.
    """
    held = leases.Lease(key, time_to_live_ms, time.now_ms())
    event: leases.Event = leases.Tick()
    for _ in range(MAX_LEASE_CALLS):
        actions = held.handle(event, time.now_ms())
        if not actions:
            break
        event = await execute(store, key, actions[0], time)
    held.handle(event, time.now_ms())
    return held


async def write_fenced(
    store: interface.Store,
    held: leases.Lease,
    compares: Sequence[data.Compare],
    writes: Sequence[data.Put | data.Delete],
    time: clock.Clock,
) -> expression.Result[data.TransactionResponse, failures.Failure]:
    """Writes only while the lease is held, by the store's judgement too.

    Args:
        store: The store.
        held: The lease.
        compares: Further conditions.
        writes: The writes.
        time: The clock of the state machine.

    Returns:
        The answer of the store, not succeeded if the lease has passed to
        another holder; `LeaseNotHeld` if it is not held for certain here.
    """
    token = held.fencing_token(time.now_ms())
    if isinstance(token, leases.LeaseNotHeld):
        return expression.Error(token)
    answer = await store.transact(
        [data.Compare(token.key, token.mod_revision), *compares], writes
    )
    if answer.is_error():
        return expression.Error(answer.error)
    return expression.Ok(answer.ok)


async def _acquire(
    store: interface.Store, key: str, lease_id: int
) -> leases.Event:
    """Binds the key to the lease if nobody holds it."""
    put = data.Put(key, str(lease_id).encode(), lease_id=lease_id)
    answer = await store.transact([data.Compare(key, 0)], [put])
    if answer.is_ok() and answer.ok.succeeded:
        return leases.Acquired(answer.ok.store_revision)
    # After a lost answer, the key may be bound to this very lease.
    read = await store.get(key)
    if read.is_error():
        return leases.CallFailed()
    for item in read.ok.items:
        if item.lease_id == lease_id:
            return leases.Acquired(item.mod_revision)
    return leases.Refused()
