"""The command `history`."""

import sys
from typing import Annotated

import anyio
import expression
import typer

from sapphire_ctl import command_run
from sapphire_ctl import options
from sapphire_ctl import output
from sapphire_ctl import rendering
from sapphire_ctl import session
from sapphire_ctl import settings
from sapphire_data import failures
from sapphire_net.store import change_failures
from sapphire_net.store import changes
from sapphire_net.store import stored_configuration
from sapphire_wire.documents import packing

DEFAULT_LIMIT = 20
EXAMPLES = """
Examples:

  sapphirectl history --env trial --limit 5

  sapphirectl history --document 41 > site.json5
"""


def history(
    *,
    limit: Annotated[
        int, typer.Option("--limit", min=1, help="How many revisions to show.")
    ] = DEFAULT_LIMIT,
    document: Annotated[
        int | None,
        typer.Option(
            "--document",
            min=1,
            help="Write the bytes of the document of this revision.",
        ),
    ] = None,
    settings_path: options.Settings = settings.DEFAULT_PATH,
    environment: options.Environment = None,
    as_json: options.Json = False,
) -> None:
    """Show who changed what, the newest revision first."""
    invocation = command_run.start_command(
        "history", settings_path, environment, as_json
    )
    if document is not None:
        _write_document(invocation, document)
        return
    heads = anyio.run(_read_heads, invocation)
    if heads.is_error():
        command_run.finish_invocation(invocation, {}, [heads.error])
    newest_first = list(reversed(heads.ok))[:limit]
    _write_history(invocation.output, newest_first)
    command_run.finish_invocation(
        invocation,
        {
            "revisions": [
                {"revision": head.version.revision, "change": head.change}
                for head in newest_first
            ]
        },
        [],
    )


async def _read_heads(
    invocation: session.Invocation,
) -> expression.Result[list[packing.Head], failures.Failure]:
    """Reads the heads that the store still keeps, oldest first."""
    async with session.open_store(invocation, invocation.environment) as opened:
        if opened.is_error():
            return expression.Error(opened.error)
        return await changes.read_history(opened.ok)


def _write_history(out: output.Output, heads: list[packing.Head]) -> None:
    """Writes a table with one row for each revision."""
    out.write_table(
        ("revision", "written (UTC)", "author", "action", "document"),
        (
            (
                head.version.revision,
                rendering.format_utc(head.change.written_ms),
                head.change.author,
                head.change.action,
                rendering.short_digest(head.change.document_digest),
            )
            for head in heads
        ),
    )


def _write_document(invocation: session.Invocation, revision: int) -> None:
    """Writes the document of a revision to standard output, byte for byte."""
    intent = anyio.run(_read_document, invocation, revision)
    if intent.is_error():
        command_run.finish_invocation(invocation, {}, [intent.error])
    if invocation.output.as_json:
        text = intent.ok.document.decode()
        command_run.finish_invocation(
            invocation, {"revision": revision, "document": text}, []
        )
    sys.stdout.buffer.write(intent.ok.document)


async def _read_document(
    invocation: session.Invocation, revision: int
) -> expression.Result[changes.Intent, failures.Failure]:
    """Reads the intent of a revision, which holds its document."""
    async with session.open_store(invocation, invocation.environment) as opened:
        if opened.is_error():
            return expression.Error(opened.error)
        stored = await stored_configuration.read_head(
            opened.ok, opened.ok.history_key(revision)
        )
        if stored.is_error():
            return expression.Error(stored.error)
        if stored.ok.head is None:
            return expression.Error(change_failures.RevisionNotFound(revision))
        return await changes.read_intent(
            opened.ok, stored.ok.head, invocation.author, "read"
        )
