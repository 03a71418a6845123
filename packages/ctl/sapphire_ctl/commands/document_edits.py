"""The commands that edit the document in force.

They set the state of a data centre or the intent of an upstream.
"""

from collections.abc import Callable
import functools
from typing import Annotated

import expression
import typer

from sapphire_ctl import command_run
from sapphire_ctl import configuration_change
from sapphire_ctl import document_edit
from sapphire_ctl import failures as ctl_failures
from sapphire_ctl import options
from sapphire_ctl import session
from sapphire_ctl import settings
from sapphire_ctl.commands import change_command
from sapphire_data import failures
from sapphire_data import records
from sapphire_net.store import changes
from sapphire_net.store import environment as environments
from sapphire_net.store import stored_configuration

DATA_CENTRE_EXAMPLES = """
Examples:

  sapphirectl data-centre out tacoma --env production

  sapphirectl data-centre out tacoma --lose tacoma  (the last one that is in)

  sapphirectl data-centre in tacoma --env production
"""
UPSTREAM_EXAMPLES = """
Examples:

  sapphirectl upstream drain rota-1 --env production

  sapphirectl upstream undrain rota-1
"""


def data_centre_out(
    name: Annotated[str, typer.Argument(help="The data centre.")],
    *,
    seen: options.Seen = None,
    lose: options.Lose = None,
    dry_run: options.DryRun = False,
    wait_ms: options.WaitMs = options.DEFAULT_WAIT_MS,
    settings_path: options.Settings = settings.DEFAULT_PATH,
    environment: options.Environment = None,
    as_json: options.Json = False,
) -> None:
    """Take a data centre out; open flows to its upstreams end."""
    invocation = command_run.start_command(
        "data-centre out", settings_path, environment, as_json
    )
    edit = functools.partial(
        document_edit.set_data_centre_state,
        name=name,
        state=records.DataCentreState.OUT,
    )
    change_options = configuration_change.ChangeOptions(
        seen, tuple(lose or ()), dry_run, wait_ms
    )
    change_command.run_change(
        invocation,
        _build_intent_from_edit(invocation, edit, "data-centre-out"),
        change_options,
    )


def data_centre_in(
    name: Annotated[str, typer.Argument(help="The data centre.")],
    *,
    seen: options.Seen = None,
    dry_run: options.DryRun = False,
    wait_ms: options.WaitMs = options.DEFAULT_WAIT_MS,
    settings_path: options.Settings = settings.DEFAULT_PATH,
    environment: options.Environment = None,
    as_json: options.Json = False,
) -> None:
    """Bring a data centre back; its upstreams begin with a slow start."""
    invocation = command_run.start_command(
        "data-centre in", settings_path, environment, as_json
    )
    edit = functools.partial(
        document_edit.set_data_centre_state,
        name=name,
        state=records.DataCentreState.IN,
    )
    change_options = configuration_change.ChangeOptions(
        seen, (), dry_run, wait_ms, may_revert_intent=True
    )
    change_command.run_change(
        invocation,
        _build_intent_from_edit(invocation, edit, "data-centre-in"),
        change_options,
    )


def upstream_drain(
    name: Annotated[str, typer.Argument(help="The upstream.")],
    *,
    seen: options.Seen = None,
    lose: options.Lose = None,
    dry_run: options.DryRun = False,
    wait_ms: options.WaitMs = options.DEFAULT_WAIT_MS,
    settings_path: options.Settings = settings.DEFAULT_PATH,
    environment: options.Environment = None,
    as_json: options.Json = False,
) -> None:
    """Drain an upstream: it gets no new flows and keeps its open ones."""
    invocation = command_run.start_command(
        "upstream drain", settings_path, environment, as_json
    )
    edit = functools.partial(
        document_edit.set_upstream_intent,
        name=name,
        intent=records.UpstreamIntent.DRAIN,
    )
    change_options = configuration_change.ChangeOptions(
        seen, tuple(lose or ()), dry_run, wait_ms
    )
    change_command.run_change(
        invocation,
        _build_intent_from_edit(invocation, edit, "drain"),
        change_options,
    )


def upstream_undrain(
    name: Annotated[str, typer.Argument(help="The upstream.")],
    *,
    seen: options.Seen = None,
    dry_run: options.DryRun = False,
    wait_ms: options.WaitMs = options.DEFAULT_WAIT_MS,
    settings_path: options.Settings = settings.DEFAULT_PATH,
    environment: options.Environment = None,
    as_json: options.Json = False,
) -> None:
    """Give a drained upstream new flows again."""
    invocation = command_run.start_command(
        "upstream undrain", settings_path, environment, as_json
    )
    edit = functools.partial(
        document_edit.set_upstream_intent,
        name=name,
        intent=records.UpstreamIntent.SERVE,
    )
    change_options = configuration_change.ChangeOptions(
        seen, (), dry_run, wait_ms, may_revert_intent=True
    )
    change_command.run_change(
        invocation,
        _build_intent_from_edit(invocation, edit, "undrain"),
        change_options,
    )


def _build_intent_from_edit(
    invocation: session.Invocation,
    edit: Callable[[bytes], expression.Result[bytes, ctl_failures.UnknownName]],
    action: str,
) -> change_command.IntentFactory:
    """Returns the factory of the intent with the edited document in force."""

    async def build(
        store_environment: environments.Environment,
        seen: stored_configuration.Snapshot,
    ) -> expression.Result[changes.Intent, failures.Failure]:
        in_force = await change_command.read_intent_in_force(
            store_environment, seen, invocation.author, action
        )
        if in_force.is_error():
            return in_force
        edited = edit(in_force.ok.document)
        if edited.is_error():
            return expression.Error(edited.error)
        return expression.Ok(
            changes.Intent(
                edited.ok, in_force.ok.bindings, invocation.author, action
            )
        )

    return build
