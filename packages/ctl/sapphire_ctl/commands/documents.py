"""The commands that put documents in force."""

import pathlib
from typing import Annotated

import anyio
import expression
import typer

from sapphire_ctl import command_run
from sapphire_ctl import configuration_change
from sapphire_ctl import failures as ctl_failures
from sapphire_ctl import options
from sapphire_ctl import promotion_proof
from sapphire_ctl import session
from sapphire_ctl import settings
from sapphire_ctl.commands import change_command
from sapphire_data import clock
from sapphire_data import failures
from sapphire_net.store import change_failures
from sapphire_net.store import changes
from sapphire_net.store import environment as environments
from sapphire_net.store import stored_configuration

PLAN_EXAMPLES = """
Examples:

  sapphirectl plan site.json5 --bindings trial.json5 --env trial

  sapphirectl plan site.json5 --json | jq .plan.differences
"""
APPLY_EXAMPLES = """
Examples:

  sapphirectl apply site.json5 --bindings trial.json5 --env trial

  sapphirectl apply site.json5 --seen 41

  sapphirectl apply site.json5 --lose rota  (service rota is left empty)
"""
PROMOTE_EXAMPLES = """
Examples:

  sapphirectl promote --env production

  sapphirectl promote 0f479187 --env production --seen 41

  sapphirectl promote --bindings production.json5 --env production
"""
ROLLBACK_EXAMPLES = """
Examples:

  sapphirectl rollback 41 --env production

  sapphirectl rollback 41 --dry-run
"""
Document = Annotated[
    pathlib.Path, typer.Argument(help="The document; - for the input.")
]


def plan(
    document: Document,
    *,
    bindings: options.Bindings = None,
    seen: options.Seen = None,
    lose: options.Lose = None,
    settings_path: options.Settings = settings.DEFAULT_PATH,
    environment: options.Environment = None,
    as_json: options.Json = False,
) -> None:
    """Show what applying a document would change, and its effect."""
    invocation = command_run.start_command(
        "plan", settings_path, environment, as_json
    )
    intent = _read_intent(invocation, document, bindings, "plan")
    how = configuration_change.ChangeOptions(
        seen, tuple(lose or ()), is_dry_run=True
    )
    change_command.run_change(invocation, intent, how)


def apply(
    document: Document,
    *,
    bindings: options.Bindings = None,
    seen: options.Seen = None,
    lose: options.Lose = None,
    dry_run: options.DryRun = False,
    wait_ms: options.WaitMs = options.DEFAULT_WAIT_MS,
    settings_path: options.Settings = settings.DEFAULT_PATH,
    environment: options.Environment = None,
    as_json: options.Json = False,
) -> None:
    """Put a document in force, unless the environment takes promoted ones."""
    invocation = command_run.start_command(
        "apply", settings_path, environment, as_json
    )
    source = invocation.environment_settings.promotes_from
    if source is not None:
        failure = ctl_failures.PromotionRequired(invocation.environment, source)
        command_run.finish_invocation(invocation, {}, [failure])
    intent = _read_intent(invocation, document, bindings, "apply")
    how = configuration_change.ChangeOptions(
        seen, tuple(lose or ()), dry_run, wait_ms
    )
    change_command.run_change(invocation, intent, how)


def promote(
    digest: Annotated[
        str,
        typer.Argument(help="The digest of the document, or its start."),
    ] = "",
    *,
    bindings: options.Bindings = None,
    seen: options.Seen = None,
    lose: options.Lose = None,
    dry_run: options.DryRun = False,
    wait_ms: options.WaitMs = options.DEFAULT_WAIT_MS,
    settings_path: options.Settings = settings.DEFAULT_PATH,
    environment: options.Environment = None,
    as_json: options.Json = False,
) -> None:
    """Put the bytes in force that are in force and healthy in the trial."""
    invocation = command_run.start_command(
        "promote", settings_path, environment, as_json
    )
    source = invocation.environment_settings.promotes_from
    if source is None:
        failure = ctl_failures.NoPromotionSource(invocation.environment)
        command_run.finish_invocation(invocation, {}, [failure])
    requirements = promotion_proof.ProofRequirements(
        digest,
        invocation.environment_settings.min_proof_ms,
        invocation.environment_settings.min_proof_events,
    )
    proof, found = anyio.run(
        promotion_proof.find_proof,
        invocation,
        source,
        requirements,
        clock.wall_time_ms(),
    )
    if proof is None:
        command_run.finish_invocation(invocation, {}, found)
    invocation.output.write_line(
        f"proven in {source}: document {proof.digest} on {proof.hosts} hosts,"
        f" {proof.events} events"
    )
    intent = _document_intent(
        invocation, proof.document, [], bindings, "promote"
    )
    how = configuration_change.ChangeOptions(
        seen, tuple(lose or ()), dry_run, wait_ms
    )
    change_command.run_change(invocation, intent, how)


def rollback(
    revision: Annotated[
        int, typer.Argument(min=1, help="The revision to go back to.")
    ],
    *,
    seen: options.Seen = None,
    lose: options.Lose = None,
    dry_run: options.DryRun = False,
    wait_ms: options.WaitMs = options.DEFAULT_WAIT_MS,
    settings_path: options.Settings = settings.DEFAULT_PATH,
    environment: options.Environment = None,
    as_json: options.Json = False,
) -> None:
    """Put an earlier document and its bindings in force as a new revision."""
    invocation = command_run.start_command(
        "rollback", settings_path, environment, as_json
    )

    async def earlier(
        opened: environments.Environment, _: stored_configuration.Snapshot
    ) -> expression.Result[changes.Intent, failures.Failure]:
        kept = await stored_configuration.read_head(
            opened, opened.history_key(revision)
        )
        if kept.is_error():
            return expression.Error(kept.error)
        if kept.ok.head is None:
            return expression.Error(change_failures.RevisionNotFound(revision))
        return await changes.read_intent(
            opened, kept.ok.head, invocation.author, "rollback"
        )

    how = configuration_change.ChangeOptions(
        seen, tuple(lose or ()), dry_run, wait_ms
    )
    change_command.run_change(invocation, earlier, how)


def _read_intent(
    invocation: session.Invocation,
    document: pathlib.Path,
    bindings: pathlib.Path | None,
    action: str,
) -> change_command.IntentFactory:
    """Returns the intent of files, with the bindings in force by default."""
    content, errors = command_run.read_input(document)
    return _document_intent(invocation, content, errors, bindings, action)


def _document_intent(
    invocation: session.Invocation,
    document: bytes,
    document_errors: list[failures.Failure],
    bindings: pathlib.Path | None,
    action: str,
) -> change_command.IntentFactory:
    """Returns the intent of a document's bytes and a file of bindings."""
    errors = list(document_errors)
    bindings_bytes = b""
    if bindings is not None:
        bindings_bytes, binding_errors = command_run.read_input(bindings)
        errors += binding_errors

    async def build(
        opened: environments.Environment, seen: stored_configuration.Snapshot
    ) -> expression.Result[changes.Intent, failures.Failure]:
        if errors:
            return expression.Error(
                change_failures.IntentInvalid(tuple(errors))
            )
        chosen = bindings_bytes
        if bindings is None and seen.stored.head is None:
            failure = ctl_failures.NoBindings(invocation.environment)
            return expression.Error(failure)
        if bindings is None:
            in_force = await change_command.read_intent_in_force(
                opened, seen, invocation.author, action
            )
            if in_force.is_error():
                return in_force
            chosen = in_force.ok.bindings
        return expression.Ok(
            changes.Intent(document, chosen, invocation.author, action)
        )

    return build
