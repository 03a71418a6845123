"""Writes a cut of the pool histories, under a lease."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

import expression

from sapphire_core.configuration import lease as leases
from sapphire_core.flows import history_truncation
from sapphire_data import clock
from sapphire_data import failures
from sapphire_data import records
from sapphire_net.store import changes
from sapphire_net.store import environment as environments
from sapphire_net.store import lease_calls
from sapphire_net.store import publication
from sapphire_net.store import stored_configuration

LEASE_MS = 60_000
CUT_ACTION = "cut-history"

Agree = Callable[[records.Configuration], Mapping[str, int]]
Outcome = expression.Result[publication.Published, failures.Failure]


@dataclasses.dataclass(frozen=True, slots=True)
class NothingToCut(failures.Failure):
    """The hosts allow no cut of the configuration that the store holds."""


@dataclasses.dataclass(frozen=True, slots=True)
class CutTooSoon(failures.Failure):
    """Another host has just written a cut.

    Attributes:
        revision: The revision of that cut.
    """

    revision: int


async def cut(
    environment: environments.Environment,
    agree: Agree,
    author: str,
    time: clock.Clock,
    wall_time_ms: Callable[[], int] = clock.wall_time_ms,
) -> Outcome:
    """Writes a cut as a new revision.

    The swap of the head is what makes a late write harmless; the lease only
    keeps two hosts from doing the same work.

    Args:
        environment: The environment.
        agree: Returns the oldest generation to keep, by service, for the
            configuration that the store holds.
        author: This host.
        time: The clock of the lease.
        wall_time_ms: Returns the time since the Unix epoch.

    Returns:
        The change that took effect, or why nothing is known to be written.
    """
    held = await lease_calls.try_to_acquire(
        environment.store, environment.housekeeping_lease_key, LEASE_MS, time
    )

    def is_held() -> bool:
        return isinstance(
            held.fencing_token(time.now_ms()), leases.FencingToken
        )

    outcome = await _cut_while(
        is_held, environment, agree, author, wall_time_ms=wall_time_ms
    )
    if held.lease_id:
        await environment.store.revoke_lease(held.lease_id)
    return outcome


async def _cut_while(
    is_held: Callable[[], bool],
    environment: environments.Environment,
    agree: Agree,
    author: str,
    *,
    wall_time_ms: Callable[[], int],
) -> Outcome:
    """Reads the configuration and writes the cut while the lease is held."""
    not_held = leases.LeaseNotHeld(environment.housekeeping_lease_key)
    if not is_held():
        return expression.Error(not_held)
    seen = await stored_configuration.read_snapshot(environment)
    if seen.is_error():
        return expression.Error(seen.error)
    head = seen.ok.stored.head
    if head is not None and head.change.action == CUT_ACTION:
        age_ms = wall_time_ms() - head.change.written_ms
        if 0 <= age_ms < history_truncation.MIN_INTERVAL_MS:
            return expression.Error(CutTooSoon(head.version.revision))
    cuts = agree(seen.ok.configuration)
    if not cuts:
        return expression.Error(NothingToCut())
    if not is_held():
        return expression.Error(not_held)
    return await changes.truncate_history(environment, seen.ok, cuts, author)
