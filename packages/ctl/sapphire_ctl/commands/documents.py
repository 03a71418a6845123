"""The commands that put a whole document in force."""

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
    pathlib.Path, typer.Argument(help="The document; - for standard input.")
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
    intent = _build_intent_from_files(invocation, document, bindings, "plan")
    change_options = configuration_change.ChangeOptions(
        seen, tuple(lose or ()), is_dry_run=True
    )
    change_command.run_change(invocation, intent, change_options)


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
    """Put a document in force; refused if the environment needs promotion."""
    invocation = command_run.start_command(
        "apply", settings_path, environment, as_json
    )
    source = invocation.environment_settings.promotes_from
    if source is not None:
        failure = ctl_failures.PromotionRequired(invocation.environment, source)
        command_run.finish_invocation(invocation, {}, [failure])
    intent = _build_intent_from_files(invocation, document, bindings, "apply")
    change_options = configuration_change.ChangeOptions(
        seen, tuple(lose or ()), dry_run, wait_ms
    )
    change_command.run_change(invocation, intent, change_options)


def promote(
    digest: Annotated[
        str,
        typer.Argument(help="The digest of the document, or a prefix of it."),
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
    """Put the document in force that is proven in the trial environment."""
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
    proof, proof_failures = anyio.run(
        promotion_proof.find_proof,
        invocation,
        source,
        requirements,
        clock.wall_time_ms(),
    )
    if proof is None:
        command_run.finish_invocation(invocation, {}, proof_failures)
    invocation.output.write_line(
        f"proven in {source}: document {proof.digest} on {proof.hosts} hosts,"
        f" {proof.events} events"
    )
    intent = _build_intent_from_bytes(
        invocation, proof.document, [], bindings, "promote"
    )
    change_options = configuration_change.ChangeOptions(
        seen, tuple(lose or ()), dry_run, wait_ms
    )
    change_command.run_change(invocation, intent, change_options)


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

    async def build(
        store_environment: environments.Environment,
        _: stored_configuration.Snapshot,
    ) -> expression.Result[changes.Intent, failures.Failure]:
        stored = await stored_configuration.read_head(
            store_environment, store_environment.history_key(revision)
        )
        if stored.is_error():
            return expression.Error(stored.error)
        if stored.ok.head is None:
            return expression.Error(change_failures.RevisionNotFound(revision))
        return await changes.read_intent(
            store_environment, stored.ok.head, invocation.author, "rollback"
        )

    change_options = configuration_change.ChangeOptions(
        seen, tuple(lose or ()), dry_run, wait_ms
    )
    change_command.run_change(invocation, build, change_options)


def _build_intent_from_files(
    invocation: session.Invocation,
    document: pathlib.Path,
    bindings: pathlib.Path | None,
    action: str,
) -> change_command.IntentFactory:
    """Returns the factory of the intent with the content of files."""
    content, errors = command_run.read_input(document)
    return _build_intent_from_bytes(
        invocation, content, errors, bindings, action
    )


def _build_intent_from_bytes(
    invocation: session.Invocation,
    document: bytes,
    document_errors: list[failures.Failure],
    bindings: pathlib.Path | None,
    action: str,
) -> change_command.IntentFactory:
    """Returns the factory of the intent with a document and bindings.

    Without a file of bindings, the intent has the bindings in force. Errors of
    all inputs are returned together when the intent is built.
    """
    errors = list(document_errors)
    bindings_bytes = b""
    if bindings is not None:
        bindings_bytes, binding_errors = command_run.read_input(bindings)
        errors += binding_errors

    async def build(
        store_environment: environments.Environment,
        seen: stored_configuration.Snapshot,
    ) -> expression.Result[changes.Intent, failures.Failure]:
        if errors:
            return expression.Error(
                change_failures.IntentInvalid(tuple(errors))
            )
        used_bindings = bindings_bytes
        if bindings is None and seen.stored.head is None:
            failure = ctl_failures.NoBindings(invocation.environment)
            return expression.Error(failure)
        if bindings is None:
            in_force = await change_command.read_intent_in_force(
                store_environment, seen, invocation.author, action
            )
            if in_force.is_error():
                return in_force
            used_bindings = in_force.ok.bindings
        return expression.Ok(
            changes.Intent(document, used_bindings, invocation.author, action)
        )

    return build
