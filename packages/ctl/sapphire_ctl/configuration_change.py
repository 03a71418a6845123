"""The steps that all commands share that change the configuration."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

import expression

from sapphire_core.configuration import dangers
from sapphire_core.configuration import difference
from sapphire_ctl import planning
from sapphire_ctl.fleet import aggregation
from sapphire_ctl.fleet import client as fleet_client
from sapphire_data import clock
from sapphire_data import failures
from sapphire_net.store import change_failures
from sapphire_net.store import changes
from sapphire_net.store import environment as environments
from sapphire_net.store import publication
from sapphire_net.store import stored_configuration

POLL_MS = 250

IntentBuilder = Callable[
    [stored_configuration.Snapshot],
    Awaitable[expression.Result[changes.Intent, failures.Failure]],
]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeOptions:
    """How a change is to be made.

    Attributes:
        seen_revision: The revision that the operator saw; None for the one
            in force now.
        accepted_losses: The names of what the operator accepts to lose.
        is_dry_run: Whether to stop after planning.
        wait_ms: How long to wait for the change to be in force everywhere.
        may_revert_intent: Whether bringing data centres back or undraining
            upstreams is what the command is for.
    """

    seen_revision: int | None = None
    accepted_losses: tuple[str, ...] = ()
    is_dry_run: bool = False
    wait_ms: int = 0
    may_revert_intent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeResult:
    """What became of a change.

    Attributes:
        plan: What it was to do; None where it could not be planned.
        revision: The revision that it made; None where it made none.
        was_answer_lost: Whether its success had to be found by reading back.
        is_in_force: Whether it is in force on all hosts; None where that was
            not waited for.
        errors: Why it was not made, or where it is not in force.
    """

    plan: planning.PlanSummary | None = None
    revision: int | None = None
    was_answer_lost: bool = False
    is_in_force: bool | None = None
    errors: tuple[failures.Failure, ...] = ()


async def make_change(
    environment: environments.Environment,
    fleet: fleet_client.FleetClient,
    build_intent: IntentBuilder,
    options: ChangeOptions,
) -> ChangeResult:
    """Plans a change, and makes it unless something speaks against it.

    Args:
        environment: The store.
        fleet: The hosts.
        build_intent: Makes the intent from the configuration in force.
        options: How the change is to be made.

    Returns:
        What became of it.
    """
    snapshot = await stored_configuration.read_snapshot(environment)
    if snapshot.is_error():
        return ChangeResult(errors=(snapshot.error,))
    seen = snapshot.ok
    if options.seen_revision not in (None, seen.stored.revision):
        conflict = await _explain_conflict(
            environment, seen, options.seen_revision or 0
        )
        return ChangeResult(errors=(conflict,))
    intent = await build_intent(seen)
    if intent.is_error():
        return ChangeResult(errors=(intent.error,))
    answer = await fleet.fetch_statuses()
    floor = max(
        (status.known_revision for status in answer.statuses), default=0
    )
    planned = changes.plan(
        seen,
        dataclasses.replace(
            intent.ok,
            acknowledged=options.accepted_losses,
            revision_floor=floor,
        ),
    )
    if planned.is_error():
        return ChangeResult(errors=(planned.error,))
    proposal = planned.ok.proposal
    found = list(planned.ok.dangers)
    if not options.may_revert_intent:
        found += planning.find_reverted_intent(
            seen.configuration, proposal.configuration
        )
    plan = planning.summarise_plan(
        seen.configuration,
        proposal.configuration,
        found,
        aggregation.sum_flows_by_upstream(answer),
    )
    missing = dangers.unacknowledged_dangers(found, options.accepted_losses)
    if missing:
        failure = change_failures.DangersNotAcknowledged(tuple(missing))
        return ChangeResult(plan, errors=(failure,))
    if options.is_dry_run or plan.is_empty:
        return ChangeResult(plan)
    published = await publication.publish(environment, proposal)
    if published.is_error():
        return ChangeResult(plan, errors=(published.error,))
    return await _confirm(environment, fleet, plan, published.ok, options)


async def _confirm(
    environment: environments.Environment,
    fleet: fleet_client.FleetClient,
    plan: planning.PlanSummary,
    published: publication.Published,
    options: ChangeOptions,
) -> ChangeResult:
    """Waits for an accepted change to be in force."""
    revision = published.stored.revision
    digest = plan.digest_after
    missing: tuple[failures.Failure, ...] = ()
    is_in_force = None
    if options.wait_ms and fleet.has_seeds:
        missing = await wait_in_force(
            environment, fleet, revision, digest, options.wait_ms
        )
        is_in_force = not missing
    return ChangeResult(
        plan=plan,
        revision=revision,
        was_answer_lost=published.was_answer_lost,
        is_in_force=is_in_force,
        errors=missing,
    )


async def wait_in_force(
    environment: environments.Environment,
    fleet: fleet_client.FleetClient,
    revision: int,
    digest: str,
    wait_ms: int,
) -> tuple[failures.Failure, ...]:
    """Waits for a revision to be in force on all hosts.

    Args:
        environment: Waits between the questions.
        fleet: The hosts.
        revision: The revision.
        digest: The digest of its document.
        wait_ms: The longest wait.

    Returns:
        The hosts in which it is not in force at the end.
    """
    system_clock = clock.MonotonicClock()
    deadline_ms = system_clock.now_ms() + wait_ms
    while True:
        answer = await fleet.fetch_statuses()
        missing = aggregation.find_hosts_not_in_force(answer, revision, digest)
        if not missing or system_clock.now_ms() >= deadline_ms:
            return tuple(missing)
        await environment.sleep_ms(POLL_MS)


async def _explain_conflict(
    environment: environments.Environment,
    current: stored_configuration.Snapshot,
    seen_revision: int,
) -> failures.Failure:
    """Returns the conflict with the changes since a revision."""
    head = current.stored.head
    if head is None:
        return change_failures.RevisionNotFound(seen_revision)
    kept = await stored_configuration.read_head(
        environment, environment.history_key(seen_revision)
    )
    if kept.is_error():
        return kept.error
    if kept.ok.head is None:
        return change_failures.RevisionNotFound(seen_revision)
    before = await stored_configuration.read_configuration(environment, kept.ok)
    found: tuple[difference.Difference, ...] = ()
    if before.is_ok():
        found = planning.find_differences(
            before.ok.configuration, current.configuration
        )
    return change_failures.WriteConflict(
        seen_revision=seen_revision,
        current_revision=head.version.revision,
        author=head.change.author,
        action=head.change.action,
        differences=found,
    )
