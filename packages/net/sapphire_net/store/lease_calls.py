"""Makes the store calls of a lease, and writes with its fencing token.

The state machine of the lease is `sapphire_core.configuration.lease`.
"""

from collections.abc import Sequence

import expression

from sapphire_core.configuration import lease as leases
from sapphire_data import clock
from sapphire_data import failures
from sapphire_net.store import data
from sapphire_net.store import interface

# A grant, an acquisition and a renewal.
MAX_LEASE_CALLS = 3


async def execute(
    store: interface.Store,
    key: str,
    action: leases.Action,
    time: clock.Clock,
) -> leases.Event:
    """Makes the store call of one action of the state machine.

    Args:
        store: The store.
        key: The key that the lease protects.
        action: The action.
        time: The clock of the state machine.

    Returns:
        The event that the state machine is to handle.
    """
    # The time to live is counted from before the request is sent, so that the
    # lease expires here no later than in the store.
    sent_ms = time.now_ms()
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
        granted.ok.lease_id, sent_ms, granted.ok.time_to_live_ms
    )


async def try_to_acquire(
    store: interface.Store, key: str, time_to_live_ms: int, time: clock.Clock
) -> leases.Lease:
    """Tries once to acquire a lease for a short task.

    Args:
        store: The store.
        key: The key that the lease protects.
        time_to_live_ms: The time to live of the lease.
        time: The clock of the state machine.

    Returns:
        The lease, whose fencing token shows whether it is held. The caller
        revokes it after the task.
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
    """Writes only while the lease is held, by the clock and in the store.

    Args:
        store: The store.
        held: The lease.
        compares: Further conditions.
        writes: The writes.
        time: The clock of the state machine.

    Returns:
        The response of the store, not succeeded if the key is no longer
        attached to the lease or a further condition does not hold; or
        `LeaseNotHeld` if the lease is not held for certain by the clock.
    """
    token = held.fencing_token(time.now_ms())
    if isinstance(token, leases.LeaseNotHeld):
        return expression.Error(token)
    response = await store.transact(
        [data.Compare(token.key, token.mod_revision), *compares], writes
    )
    if response.is_error():
        return expression.Error(response.error)
    return expression.Ok(response.ok)


async def _acquire(
    store: interface.Store, key: str, lease_id: int
) -> leases.Event:
    """Attaches the key to the lease if the key does not exist."""
    put = data.Put(key, str(lease_id).encode(), lease_id=lease_id)
    response = await store.transact([data.Compare(key, 0)], [put])
    if response.is_ok() and response.ok.succeeded:
        return leases.Acquired(response.ok.store_revision)
    # After a lost response, the key may be attached to this very lease.
    read = await store.get(key)
    if read.is_error():
        return leases.CallFailed()
    for item in read.ok.items:
        if item.lease_id == lease_id:
            return leases.Acquired(item.mod_revision)
    return leases.Refused()
