"""The commands that change the configuration."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import pathlib
from typing import Annotated
from typing import NoReturn

import anyio
import expression
import typer

from sapphire_ctl import changing
from sapphire_ctl import document_edit
from sapphire_ctl import failures as ctl_failures
from sapphire_ctl import options
from sapphire_ctl import proving
from sapphire_ctl import rendering
from sapphire_ctl import running
from sapphire_ctl import session
from sapphire_ctl import settings
from sapphire_data import clock
from sapphire_data import failures
from sapphire_data import records
from sapphire_net.store import change_failures
from sapphire_net.store import changes
from sapphire_net.store import environment as environments
from sapphire_net.store import reading

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

Document = Annotated[
    pathlib.Path, typer.Argument(help="The document; - for the input.")
]
IntentFactory = Callable[
    [environments.Environment, reading.Snapshot],
    Awaitable[expression.Result[changes.Intent, failures.Failure]],
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
    invocation = running.start("plan", settings_path, environment, as_json)
    intent = _read_intent(invocation, document, bindings, "plan")
    how = changing.ChangeOptions(seen, tuple(lose or ()), is_dry_run=True)
    _run(invocation, intent, how)


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
    invocation = running.start("apply", settings_path, environment, as_json)
    source = invocation.model.promotes_from
    if source is not None:
        failure = ctl_failures.PromotionRequired(invocation.environment, source)
        _end(invocation, {}, [failure])
    intent = _read_intent(invocation, document, bindings, "apply")
    how = changing.ChangeOptions(seen, tuple(lose or ()), dry_run, wait_ms)
    _run(invocation, intent, how)


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
    invocation = running.start("promote", settings_path, environment, as_json)
    source = invocation.model.promotes_from
    if source is None:
        failure = ctl_failures.NoPromotionSource(invocation.environment)
        _end(invocation, {}, [failure])
    requirements = proving.Requirements(
        digest,
        invocation.model.min_proof_ms,
        invocation.model.min_proof_events,
    )
    proof, found = anyio.run(
        proving.find_proof,
        invocation,
        source,
        requirements,
        clock.wall_time_ms(),
    )
    if proof is None:
        _end(invocation, {}, found)
    invocation.output.line(
        f"proven in {source}: document {proof.digest} on {proof.hosts} hosts,"
        f" {proof.events} events"
    )
    intent = _document_intent(
        invocation, proof.document, [], bindings, "promote"
    )
    how = changing.ChangeOptions(seen, tuple(lose or ()), dry_run, wait_ms)
    _run(invocation, intent, how)


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
    invocation = running.start("rollback", settings_path, environment, as_json)

    async def earlier(
        opened: environments.Environment, _: reading.Snapshot
    ) -> expression.Result[changes.Intent, failures.Failure]:
        kept = await reading.read_head(opened, opened.history_key(revision))
        if kept.is_error():
            return expression.Error(kept.error)
        if kept.ok.head is None:
            return expression.Error(change_failures.RevisionNotFound(revision))
        return await changes.read_intent(
            opened, kept.ok.head, invocation.author, "rollback"
        )

    how = changing.ChangeOptions(seen, tuple(lose or ()), dry_run, wait_ms)
    _run(invocation, earlier, how)


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
    """Take a data centre out; flows that end there are given up."""
    invocation = running.start(
        "data-centre out", settings_path, environment, as_json
    )
    edit = functools.partial(
        document_edit.set_data_centre,
        name=name,
        state=records.DataCentreState.OUT,
    )
    how = changing.ChangeOptions(seen, tuple(lose or ()), dry_run, wait_ms)
    _run(invocation, _edited(invocation, edit, "data-centre-out"), how)


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
    """Bring a data centre back; its upstreams count as cold."""
    invocation = running.start(
        "data-centre in", settings_path, environment, as_json
    )
    edit = functools.partial(
        document_edit.set_data_centre,
        name=name,
        state=records.DataCentreState.IN,
    )
    how = changing.ChangeOptions(
        seen, (), dry_run, wait_ms, may_revert_intent=True
    )
    _run(invocation, _edited(invocation, edit, "data-centre-in"), how)


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
    """Give an upstream no new flows; it keeps those that are open."""
    invocation = running.start(
        "upstream drain", settings_path, environment, as_json
    )
    edit = functools.partial(
        document_edit.set_upstream,
        name=name,
        intent=records.UpstreamIntent.DRAIN,
    )
    how = changing.ChangeOptions(seen, tuple(lose or ()), dry_run, wait_ms)
    _run(invocation, _edited(invocation, edit, "drain"), how)


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
    invocation = running.start(
        "upstream undrain", settings_path, environment, as_json
    )
    edit = functools.partial(
        document_edit.set_upstream,
        name=name,
        intent=records.UpstreamIntent.SERVE,
    )
    how = changing.ChangeOptions(
        seen, (), dry_run, wait_ms, may_revert_intent=True
    )
    _run(invocation, _edited(invocation, edit, "undrain"), how)


def _end(
    invocation: session.Invocation,
    fields: dict[str, object],
    found: list[failures.Failure],
) -> NoReturn:
    """Ends the run."""
    running.finish(
        invocation.output,
        invocation.command,
        invocation.environment,
        fields,
        found,
    )


def _read_intent(
    invocation: session.Invocation,
    document: pathlib.Path,
    bindings: pathlib.Path | None,
    action: str,
) -> IntentFactory:
    """Returns the intent of files, with the bindings in force by default."""
    content, errors = running.read_input(document)
    return _document_intent(invocation, content, errors, bindings, action)


def _document_intent(
    invocation: session.Invocation,
    document: bytes,
    document_errors: list[failures.Failure],
    bindings: pathlib.Path | None,
    action: str,
) -> IntentFactory:
    """Returns the intent of a document's bytes and a file of bindings."""
    errors = list(document_errors)
    bindings_bytes = b""
    if bindings is not None:
        bindings_bytes, binding_errors = running.read_input(bindings)
        errors += binding_errors

    async def build(
        opened: environments.Environment, seen: reading.Snapshot
    ) -> expression.Result[changes.Intent, failures.Failure]:
        if errors:
            return expression.Error(
                change_failures.IntentInvalid(tuple(errors))
            )
        chosen = bindings_bytes
        if bindings is None:
            in_force = await _intent_in_force(
                opened, seen, invocation.author, action
            )
            if in_force.is_error():
                return in_force
            chosen = in_force.ok.bindings
        return expression.Ok(
            changes.Intent(document, chosen, invocation.author, action)
        )

    return build


async def _intent_in_force(
    opened: environments.Environment,
    seen: reading.Snapshot,
    author: str,
    action: str,
) -> expression.Result[changes.Intent, failures.Failure]:
    """Reads the document and the bindings that are in force."""
    if seen.stored.head is None:
        return expression.Error(change_failures.RevisionNotFound(0))
    return await changes.read_intent(opened, seen.stored.head, author, action)


def _edited(
    invocation: session.Invocation,
    edit: Callable[[bytes], expression.Result[bytes, ctl_failures.UnknownName]],
    action: str,
) -> IntentFactory:
    """Returns the intent of an edit of the document in force."""

    async def build(
        opened: environments.Environment, seen: reading.Snapshot
    ) -> expression.Result[changes.Intent, failures.Failure]:
        in_force = await _intent_in_force(
            opened, seen, invocation.author, action
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


def _run(
    invocation: session.Invocation,
    build_intent: IntentFactory,
    how: changing.ChangeOptions,
) -> None:
    """Makes a change and reports what became of it."""
    outcome = anyio.run(make, invocation, build_intent, how)
    rendering.show_change(invocation.output, outcome, how)
    _end(invocation, rendering.change_fields(outcome), list(outcome.errors))


async def make(
    invocation: session.Invocation,
    build_intent: IntentFactory,
    how: changing.ChangeOptions,
) -> changing.ChangeOutcome:
    """Opens the store and the fleet, and makes a change.

    Args:
        invocation: The settings.
        build_intent: Makes the intent from the configuration in force.
        how: How the change is to be made.

    Returns:
        What became of it.
    """
    fleet = session.open_fleet(invocation, invocation.environment)
    if fleet.is_error():
        return changing.ChangeOutcome(errors=(fleet.error,))
    async with session.open_store(invocation, invocation.environment) as opened:
        if opened.is_error():
            return changing.ChangeOutcome(errors=(opened.error,))
        return await changing.make_change(
            opened.ok,
            fleet.ok,
            functools.partial(build_intent, opened.ok),
            how,
        )
