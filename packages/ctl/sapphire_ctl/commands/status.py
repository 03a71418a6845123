"""The command `status`."""

from collections.abc import Collection
import dataclasses
from typing import Annotated

import anyio
import expression
import typer

from sapphire_ctl import command_run
from sapphire_ctl import configuration_change
from sapphire_ctl import failures as ctl_failures
from sapphire_ctl import options
from sapphire_ctl import output
from sapphire_ctl import rendering
from sapphire_ctl import session
from sapphire_ctl import settings
from sapphire_ctl.fleet import aggregation
from sapphire_ctl.fleet import data as fleet_data
from sapphire_data import failures
from sapphire_net.store import stored_configuration

EXAMPLES = """
Examples:

  sapphirectl status --env production

  sapphirectl status --service rota

  sapphirectl status --wait-ms 10000 --json  (until the newest is in force)
"""


def status(
    *,
    service: options.Service = None,
    queries_all: Annotated[
        bool,
        typer.Option(
            "--all", help="Ask all hosts of a large fleet, not a sample."
        ),
    ] = False,
    wait_ms: options.WaitMs = 0,
    settings_path: options.Settings = settings.DEFAULT_PATH,
    environment: options.Environment = None,
    as_json: options.Json = False,
) -> None:
    """Show host by host which revision is in force, and its flows."""
    invocation = command_run.start_command(
        "status", settings_path, environment, as_json
    )
    fields, found = anyio.run(
        _status, invocation, service, queries_all, wait_ms
    )
    command_run.finish_invocation(invocation, fields, found)


async def _status(
    invocation: session.Invocation,
    service: str | None,
    queries_all: bool,
    wait_ms: int,
) -> tuple[dict[str, object], list[failures.Failure]]:
    """Asks the store for the newest revision and the hosts for theirs."""
    fleet = session.open_fleet(invocation, invocation.environment)
    if fleet.is_error():
        return {}, [fleet.error]
    found: list[failures.Failure] = []
    revision: int | None = None
    digest = ""
    async with session.open_store(invocation, invocation.environment) as opened:
        stored: expression.Result[
            stored_configuration.StoredHead, failures.Failure
        ]
        if opened.is_error():
            stored = expression.Error(opened.error)
        else:
            stored = await stored_configuration.read_head(opened.ok)
        if stored.is_error():
            # Hosts serve, and can be looked at, while the store is down.
            found.append(stored.error)
        else:
            revision = stored.ok.revision
            if stored.ok.head is not None:
                digest = stored.ok.head.change.document_digest
            if wait_ms:
                await configuration_change.wait_in_force(
                    opened.ok, fleet.ok, revision, digest, wait_ms
                )
    answer = await fleet.ok.fetch_statuses(service, queries_all=queries_all)
    newest = max(
        [revision or 0, *(item.known_revision for item in answer.statuses)]
    )
    if newest != revision:
        digest = ""
    missing = aggregation.find_hosts_not_in_force(answer, newest, digest)
    found += missing
    lacking = {
        item.host
        for item in missing
        if isinstance(item, ctl_failures.NotInForce)
    }
    _show_hosts(invocation.output, answer, newest, lacking)
    _show_upstreams(invocation.output, answer)
    return (
        {
            "store_revision": revision,
            "newest_revision": newest,
            "is_in_force": bool(answer.statuses) and not found,
            "hosts": answer.statuses,
            "told": answer.told,
            "unanswered": answer.unanswered,
            "upstreams": _summarise_upstreams(answer),
        },
        found,
    )


def _show_hosts(
    out: output.Output,
    answer: fleet_data.FleetStatus,
    newest: int,
    lacking: Collection[str],
) -> None:
    """Writes one line for each host."""
    out.write_line(f"newest revision: {newest}")
    rows: list[tuple[object, ...]] = []
    for status in answer.statuses:
        rows.append(
            (
                status.host_id,
                status.data_centre,
                status.state.value,
                status.active_revision,
                status.prepared_revision,
                "no" if status.host_id in lacking else "yes",
                status.lag_ms,
                len(status.members),
                "yes" if status.is_fresh else "no",
                rendering.short_digest(status.active_digest),
            )
        )
    for member in answer.told:
        rows.append(
            (
                member.host_id,
                member.data_centre,
                f"{member.state}, told by peers",
                "-",
                member.prepared_revision,
                "no" if member.host_id in lacking else "yes",
                "-",
                "-",
                "-",
                "-",
            )
        )
    for missing in answer.unanswered:
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
    out.write_table(
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


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSummary:
    """An upstream as all hosts together see it.

    Attributes:
        service: The name of the service.
        upstream: The name of the upstream.
        data_centre: The name of its data centre.
        flows: The flows of all hosts.
        draining_hosts: The hosts that drain it.
        ready_hosts: The hosts that would give it a new flow.
        hosts: The hosts that know it.
    """

    service: str
    upstream: str
    data_centre: str
    flows: int
    draining_hosts: int
    ready_hosts: int
    hosts: int


def _summarise_upstreams(
    answer: fleet_data.FleetStatus,
) -> list[UpstreamSummary]:
    """Adds up what hosts say of each upstream."""
    views: dict[tuple[str, str], UpstreamSummary] = {}
    for status in answer.statuses:
        for item in status.upstreams:
            key = (item.service, item.upstream)
            known = views.get(key) or UpstreamSummary(
                item.service, item.upstream, item.data_centre, 0, 0, 0, 0
            )
            views[key] = dataclasses.replace(
                known,
                flows=known.flows + item.flows,
                draining_hosts=known.draining_hosts + item.is_draining,
                ready_hosts=known.ready_hosts + item.is_ready,
                hosts=known.hosts + 1,
            )
    return [views[key] for key in sorted(views)]


def _show_upstreams(out: output.Output, answer: fleet_data.FleetStatus) -> None:
    """Writes one line for each upstream, summed over hosts."""
    if not answer.is_complete:
        out.write_line("upstreams of a large fleet: use --all --service NAME")
        return
    out.write_table(
        (
            "service",
            "upstream",
            "data centre",
            "drained on",
            "ready on",
            "flows",
        ),
        (
            (
                view.service,
                view.upstream,
                view.data_centre,
                f"{view.draining_hosts} of {view.hosts} hosts",
                f"{view.ready_hosts} of {view.hosts} hosts",
                view.flows,
            )
            for view in _summarise_upstreams(answer)
        ),
    )
