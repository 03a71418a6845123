"""Runs a change of the configuration as a command."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools

import anyio
import expression

from sapphire_ctl import command_run
from sapphire_ctl import configuration_change
from sapphire_ctl import rendering
from sapphire_ctl import session
from sapphire_data import failures
from sapphire_net.store import change_failures
from sapphire_net.store import changes
from sapphire_net.store import environment as environments
from sapphire_net.store import stored_configuration

IntentFactory = Callable[
    [environments.Environment, stored_configuration.Snapshot],
    Awaitable[expression.Result[changes.Intent, failures.Failure]],
]


async def read_intent_in_force(
    store_environment: environments.Environment,
    seen: stored_configuration.Snapshot,
    author: str,
    action: str,
) -> expression.Result[changes.Intent, failures.Failure]:
    """Reads the document and the bindings that are in force.

    Args:
        store_environment: The environment in the store.
        seen: The configuration in force.
        author: The operator's name for the history.
        action: The name of the action for the history.

    Returns:
        The intent, or why it cannot be read.
    """
    if seen.stored.head is None:
        return expression.Error(change_failures.RevisionNotFound(0))
    return await changes.read_intent(
        store_environment, seen.stored.head, author, action
    )


def run_change(
    invocation: session.Invocation,
    build_intent: IntentFactory,
    options: configuration_change.ChangeOptions,
) -> None:
    """Makes a change, writes its result and ends the run.

    Args:
        invocation: The command's invocation.
        build_intent: Builds the intent from the configuration in force.
        options: The operator's options.

    Raises:
        typer.Exit: Always.
    """
    result = anyio.run(_make_change, invocation, build_intent, options)
    rendering.show_change(invocation.output, result, options)
    command_run.finish_invocation(
        invocation, rendering.change_fields(result), list(result.errors)
    )


async def _make_change(
    invocation: session.Invocation,
    build_intent: IntentFactory,
    options: configuration_change.ChangeOptions,
) -> configuration_change.ChangeResult:
    """Opens the store and the client of the hosts, and makes a change."""
    fleet = session.open_fleet(invocation, invocation.environment)
    if fleet.is_error():
        return configuration_change.ChangeResult(errors=(fleet.error,))
    async with session.open_store(invocation, invocation.environment) as opened:
        if opened.is_error():
            return configuration_change.ChangeResult(errors=(opened.error,))
        return await configuration_change.make_change(
            opened.ok,
            fleet.ok,
            functools.partial(build_intent, opened.ok),
            options,
        )
