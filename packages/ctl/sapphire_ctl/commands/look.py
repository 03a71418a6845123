"""The commands that look and change nothing: status and history."""

import sys
from typing import Annotated

import anyio
import expression
import typer

from sapphire_ctl import changing
from sapphire_ctl import options
from sapphire_ctl import output
from sapphire_ctl import rendering
from sapphire_ctl import running
from sapphire_ctl import session
from sapphire_ctl import settings
from sapphire_ctl.fleet import client as fleet_client
from sapphire_ctl.fleet import view as fleet_view
from sapphire_data import failures
from sapphire_net.store import change_failures
from sapphire_net.store import changes
from sapphire_net.store import reading
from sapphire_wire import api
from sapphire_wire.documents import packing

DEFAULT_HISTORY = 20
STATUS_EXAMPLES = """
Examples:

  sapphirectl status --env production

  sapphirectl status --service rota

  sapphirectl status --wait-ms 10000 --json  (until the newest is in force)
"""
HISTORY_EXAMPLES = """
Examples:

  sapphirectl history --env trial --limit 5

  sapphirectl history --document 41 > site.json5
"""


def status(
    *,
    service: options.Service = None,
    wait_ms: options.WaitMs = 0,
    settings_path: options.Settings = settings.DEFAULT_PATH,
    environment: options.Environment = None,
    as_json: options.Json = False,
) -> None:
    """Show host by host which revision is in force, and its flows."""
    invocation = running.start("status", settings_path, environment, as_json)
    fields, found = anyio.run(_status, invocation, service, wait_ms)
    running.finish(
        invocation.output,
        invocation.command,
        invocation.environment,
        fields,
        found,
    )


async def _status(
    invocation: session.Invocation, service: str | None, wait_ms: int
) -> tuple[dict[str, object], list[failures.Failure]]:
    """Asks the store for the newest revision and the hosts for theirs."""
    fleet = session.open_fleet(invocation, invocation.environment)
    if fleet.is_error():
        return {}, [fleet.error]
    found: list[failures.Failure] = []
    revision: int | None = None
    async with session.open_store(invocation, invocation.environment) as opened:
        stored: expression.Result[reading.StoredHead, failures.Failure]
        if opened.is_error():
            stored = expression.Error(opened.error)
        else:
            stored = await reading.read_head(opened.ok)
        if stored.is_error():
            # Hosts serve, and can be looked at, while the store is down.
            found.append(stored.error)
        else:
            revision = stored.ok.revision
            if wait_ms:
                await changing.wait_in_force(
                    opened.ok, fleet.ok, revision, wait_ms
                )
    statuses, unanswered = await fleet.ok.statuses(service)
    newest = max(
        [revision or 0, *(answer.known_revision for answer in statuses)]
    )
    found += fleet_view.not_in_force(statuses, unanswered, newest)
    _show_hosts(invocation.output, statuses, unanswered, newest)
    _show_upstreams(invocation.output, statuses)
    return (
        {
            "store_revision": revision,
            "newest_revision": newest,
            "is_in_force": bool(statuses) and not found,
            "hosts": statuses,
            "unanswered": unanswered,
        },
        found,
    )


def _show_hosts(
    out: output.Output,
    statuses: list[api.HostStatus],
    unanswered: list[fleet_client.Unanswered],
    newest: int,
) -> None:
    """Writes one line for each host."""
    out.line(f"newest revision: {newest}")
    rows: list[tuple[object, ...]] = []
    for answer in statuses:
        rows.append(
            (
                answer.host_id,
                answer.data_centre,
                answer.state.value,
                answer.active_revision,
                answer.prepared_revision,
                "yes" if answer.active_revision >= newest else "no",
                answer.lag_ms,
                len(answer.members),
                "yes" if answer.is_fresh else "no",
                rendering.short_digest(answer.active_digest),
            )
        )
    for missing in unanswered:
        rows.append(
            (
                missing.target.host_id or missing.target.address,
                missing.target.data_centre or "-",
                "no answer",
                "-",
                "-",
                rendering.UNKNOWN,
                "-",
                "-",
                "-",
                "-",
            )
        )
    out.table(
        (
            "host",
            "data centre",
            "state",
            "active",
            "prepared",
            "in force",
            "lag ms",
            "members",
            "fresh",
            "document",
        ),
        rows,
    )


def _show_upstreams(out: output.Output, statuses: list[api.HostStatus]) -> None:
    """Writes one line for each upstream, summed over hosts."""
    flows = fleet_view.flows_by_upstream(statuses) or {}
    details = {
        (upstream.service, upstream.upstream): upstream
        for answer in statuses
        for upstream in answer.upstreams
    }
    if not details:
        return
    out.table(
        ("service", "upstream", "data centre", "drains", "flows"),
        (
            (
                service,
                name,
                details[service, name].data_centre,
                "yes" if details[service, name].is_draining else "no",
                flows[service, name],
            )
            for service, name in sorted(details)
        ),
    )


def history(
    *,
    limit: Annotated[
        int, typer.Option("--limit", min=1, help="The newest revisions.")
    ] = DEFAULT_HISTORY,
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
    invocation = running.start("history", settings_path, environment, as_json)
    if document is not None:
        _write_document(invocation, document)
        return
    heads = anyio.run(_history, invocation)
    if heads.is_error():
        _end(invocation, {}, [heads.error])
        return
    newest_first = list(reversed(heads.ok))[:limit]
    _show_history(invocation.output, newest_first)
    _end(
        invocation,
        {
            "revisions": [
                {"revision": head.version.revision, "change": head.change}
                for head in newest_first
            ]
        },
        [],
    )


def _end(
    invocation: session.Invocation,
    fields: dict[str, object],
    found: list[failures.Failure],
) -> None:
    """Ends the run."""
    running.finish(
        invocation.output,
        invocation.command,
        invocation.environment,
        fields,
        found,
    )


async def _history(
    invocation: session.Invocation,
) -> expression.Result[list[packing.Head], failures.Failure]:
    """Reads the heads that are kept, oldest first."""
    async with session.open_store(invocation, invocation.environment) as opened:
        if opened.is_error():
            return expression.Error(opened.error)
        return await changes.history(opened.ok)


def _show_history(out: output.Output, heads: list[packing.Head]) -> None:
    """Writes one line for each revision."""
    out.table(
        ("revision", "written (UTC)", "author", "action", "document"),
        (
            (
                head.version.revision,
                rendering.utc(head.change.written_ms),
                head.change.author,
                head.change.action,
                rendering.short_digest(head.change.document_digest),
            )
            for head in heads
        ),
    )


def _write_document(invocation: session.Invocation, revision: int) -> None:
    """Writes the bytes of a document to the standard output."""
    intent = anyio.run(_read_document, invocation, revision)
    if intent.is_error():
        _end(invocation, {}, [intent.error])
        return
    if invocation.output.as_json:
        text = intent.ok.document.decode()
        _end(invocation, {"revision": revision, "document": text}, [])
        return
    sys.stdout.buffer.write(intent.ok.document)


async def _read_document(
    invocation: session.Invocation, revision: int
) -> expression.Result[changes.Intent, failures.Failure]:
    """Reads the document of a revision."""
    async with session.open_store(invocation, invocation.environment) as opened:
        if opened.is_error():
            return expression.Error(opened.error)
        kept = await reading.read_head(
            opened.ok, opened.ok.history_key(revision)
        )
        if kept.is_error():
            return expression.Error(kept.error)
        if kept.ok.head is None:
            return expression.Error(change_failures.RevisionNotFound(revision))
        return await changes.read_intent(
            opened.ok, kept.ok.head, invocation.author, "read"
        )
