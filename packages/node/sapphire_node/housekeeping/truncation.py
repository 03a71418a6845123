"""Truncates the histories of pool generations in the store, under a lease."""

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
TRUNCATION_ACTION = "cut-history"

AgreedTruncations = Callable[[records.Configuration], Mapping[str, int]]
TruncationOutcome = expression.Result[publication.Published, failures.Failure]


@dataclasses.dataclass(frozen=True, slots=True)
class NothingToCut(failures.Failure):
    """The hosts permit no truncation of the configuration in the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class CutTooSoon(failures.Failure):
    """The newest revision is a truncation that was written a short time ago.

    Attributes:
        revision: The revision of that truncation.
    """

    revision: int


async def truncate_history(
    environment: environments.Environment,
    agreed_truncations: AgreedTruncations,
    author: str,
    time: clock.Clock,
    wall_time_ms: Callable[[], int] = clock.wall_time_ms,
) -> TruncationOutcome:
    """Writes the truncated histories as a new revision of the configuration.

    The lease only keeps two hosts from doing the same work. A late write, after
    the lease has ended, is harmless: it compares the head of the configuration
    and fails if that has changed.

    Args:
        environment: The store of the environment and the names of its keys.
        agreed_truncations: Returns the oldest generation to keep, by service,
            for the configuration in the store; empty if there is nothing to
            truncate.
        author: The identity of this host.
        time: The clock that measures the lease.
        wall_time_ms: Returns the time since the Unix epoch.

    Returns:
        The change that took effect; or a failure, with which nothing is known
        to be written. Among them are `LeaseNotHeld`, `CutTooSoon` and
        `NothingToCut`.
    """
    held = await lease_calls.try_to_acquire(
        environment.store, environment.housekeeping_lease_key, LEASE_MS, time
    )

    def is_held() -> bool:
        return isinstance(
            held.fencing_token(time.now_ms()), leases.FencingToken
        )

    outcome = await _truncate_under_lease(
        is_held,
        environment,
        agreed_truncations,
        author,
        wall_time_ms=wall_time_ms,
    )
    if held.lease_id:
        await environment.store.revoke_lease(held.lease_id)
    return outcome


async def _truncate_under_lease(
    is_held: Callable[[], bool],
    environment: environments.Environment,
    agreed_truncations: AgreedTruncations,
    author: str,
    *,
    wall_time_ms: Callable[[], int],
) -> TruncationOutcome:
    """Reads the configuration and truncates it while the lease is held."""
    not_held = leases.LeaseNotHeld(environment.housekeeping_lease_key)
    if not is_held():
        return expression.Error(not_held)
    seen = await stored_configuration.read_snapshot(environment)
    if seen.is_error():
        return expression.Error(seen.error)
    head = seen.ok.stored.head
    if head is not None and head.change.action == TRUNCATION_ACTION:
        age_ms = wall_time_ms() - head.change.written_ms
        if 0 <= age_ms < history_truncation.MIN_INTERVAL_MS:
            return expression.Error(CutTooSoon(head.version.revision))
    truncations = agreed_truncations(seen.ok.configuration)
    if not truncations:
        return expression.Error(NothingToCut())
    if not is_held():
        return expression.Error(not_held)
    return await changes.truncate_history(
        environment, seen.ok, truncations, author
    )
