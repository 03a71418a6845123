"""Plans a change of the configuration, writes it and awaits its activation.

All commands that change the configuration use these steps.
"""

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

POLL_INTERVAL_MS = 250

IntentBuilder = Callable[
    [stored_configuration.Snapshot],
    Awaitable[expression.Result[changes.Intent, failures.Failure]],
]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeOptions:
    """The operator's options for a change.

    Attributes:
        seen_revision: The revision that the operator saw; a change made since
            then is a conflict. None for the revision in force now.
        accepted_losses: The names of the services, data centres and upstreams
            whose loss the operator accepts.
        is_dry_run: Whether to stop after planning.
        wait_ms: How long to wait until the change is in force on all hosts;
            0 to return once the store has it.
        may_revert_intent: Whether the change may bring data centres back or
            undrain upstreams without `accepted_losses`, because that is the
            purpose of the command.
    """

    seen_revision: int | None = None
    accepted_losses: tuple[str, ...] = ()
    is_dry_run: bool = False
    wait_ms: int = 0
    may_revert_intent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeResult:
    """The result of planning and making a change.

    Attributes:
        plan: The planned change; None if it could not be planned.
        revision: The new revision; None if nothing was written.
        was_answer_lost: Whether the store's answer to the write was lost, so
            that the success was found by reading the head back.
        is_in_force: Whether the change is in force on all hosts; None if the
            command did not wait for that.
        errors: Why the change was not made, or the hosts on which it is not in
            force.
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
    """Plans a change and writes it unless an error or a danger forbids it.

    Args:
        environment: The environment in the store.
        fleet: The client of the hosts.
        build_intent: Builds the intent from the configuration in force.
        options: The operator's options.

    Returns:
        The result; nothing is written if there are errors or dangers that the
        operator has not accepted, in a dry run, and if the plan is empty.
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
    fleet_status = await fleet.fetch_statuses()
    revision_floor = max(
        (status.known_revision for status in fleet_status.statuses), default=0
    )
    planned = changes.plan(
        seen,
        dataclasses.replace(
            intent.ok,
            acknowledged=options.accepted_losses,
            revision_floor=revision_floor,
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
        aggregation.sum_flows_by_upstream(fleet_status),
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
    return await _await_activation(
        environment, fleet, plan, published.ok, options
    )


async def _await_activation(
    environment: environments.Environment,
    fleet: fleet_client.FleetClient,
    plan: planning.PlanSummary,
    published: publication.Published,
    options: ChangeOptions,
) -> ChangeResult:
    """Returns the result of a written change, after the wait if one is set."""
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
    """Polls all hosts until a revision is in force on them.

    Args:
        environment: Provides the sleep between two polls.
        fleet: The client of the hosts.
        revision: The revision.
        digest: The digest of its document.
        wait_ms: The timeout.

    Returns:
        A failure for each host on which it is not in force at the end.
    """
    system_clock = clock.MonotonicClock()
    deadline_ms = system_clock.now_ms() + wait_ms
    while True:
        fleet_status = await fleet.fetch_statuses()
        missing = aggregation.find_hosts_not_in_force(
            fleet_status, revision, digest
        )
        if not missing or system_clock.now_ms() >= deadline_ms:
            return tuple(missing)
        await environment.sleep_ms(POLL_INTERVAL_MS)


async def _explain_conflict(
    environment: environments.Environment,
    current: stored_configuration.Snapshot,
    seen_revision: int,
) -> failures.Failure:
    """Returns the conflict, with the differences since the seen revision."""
    head = current.stored.head
    if head is None:
        return change_failures.RevisionNotFound(seen_revision)
    seen = await stored_configuration.read_head(
        environment, environment.history_key(seen_revision)
    )
    if seen.is_error():
        return seen.error
    if seen.ok.head is None:
        return change_failures.RevisionNotFound(seen_revision)
    before = await stored_configuration.read_configuration(environment, seen.ok)
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
