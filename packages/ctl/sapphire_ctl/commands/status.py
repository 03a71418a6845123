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
            "--all", help="Query all hosts of a large fleet, not a sample."
        ),
    ] = False,
    wait_ms: options.WaitMs = 0,
    settings_path: options.Settings = settings.DEFAULT_PATH,
    environment: options.Environment = None,
    as_json: options.Json = False,
) -> None:
    """Show the revision in force on each host, and the flows of upstreams."""
    invocation = command_run.start_command(
        "status", settings_path, environment, as_json
    )
    fields, found_failures = anyio.run(
        _query_status, invocation, service, queries_all, wait_ms
    )
    command_run.finish_invocation(invocation, fields, found_failures)


async def _query_status(
    invocation: session.Invocation,
    service: str | None,
    queries_all: bool,
    wait_ms: int,
) -> tuple[dict[str, object], list[failures.Failure]]:
    """Queries the store for the newest revision and the hosts for theirs."""
    fleet = session.open_fleet(invocation, invocation.environment)
    if fleet.is_error():
        return {}, [fleet.error]
    found_failures: list[failures.Failure] = []
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
            # Hosts serve and report their status while the store is down.
            found_failures.append(stored.error)
        else:
            revision = stored.ok.revision
            if stored.ok.head is not None:
                digest = stored.ok.head.change.document_digest
            if wait_ms:
                await configuration_change.wait_in_force(
                    opened.ok, fleet.ok, revision, digest, wait_ms
                )
    fleet_status = await fleet.ok.fetch_statuses(
        service, queries_all=queries_all
    )
    newest = max(
        [
            revision or 0,
            *(item.known_revision for item in fleet_status.statuses),
        ]
    )
    if newest != revision:
        digest = ""
    missing = aggregation.find_hosts_not_in_force(fleet_status, newest, digest)
    found_failures += missing
    host_ids_not_in_force = {
        item.host
        for item in missing
        if isinstance(item, ctl_failures.NotInForce)
    }
    _write_hosts(invocation.output, fleet_status, newest, host_ids_not_in_force)
    _write_upstreams(invocation.output, fleet_status)
    return (
        {
            "store_revision": revision,
            "newest_revision": newest,
            "is_in_force": bool(fleet_status.statuses) and not found_failures,
            "hosts": fleet_status.statuses,
            "told": fleet_status.told,
            "unanswered": fleet_status.unanswered,
            "upstreams": _summarise_upstreams(fleet_status),
        },
        found_failures,
    )


def _write_hosts(
    out: output.Output,
    fleet_status: fleet_data.FleetStatus,
    newest: int,
    host_ids_not_in_force: Collection[str],
) -> None:
    """Writes a table with one row for each host."""
    out.write_line(f"newest revision: {newest}")
    rows: list[tuple[object, ...]] = []
    for status in fleet_status.statuses:
        rows.append(
            (
                status.host_id,
                status.data_centre,
                status.state.value,
                status.active_revision,
                status.prepared_revision,
                "no" if status.host_id in host_ids_not_in_force else "yes",
                status.lag_ms,
                len(status.members),
                "yes" if status.is_fresh else "no",
                rendering.short_digest(status.active_digest),
            )
        )
    for member in fleet_status.told:
        rows.append(
            (
                member.host_id,
                member.data_centre,
                f"{member.state}, reported by peers",
                "-",
                member.prepared_revision,
                "no" if member.host_id in host_ids_not_in_force else "yes",
                "-",
                "-",
                "-",
                "-",
            )
        )
    for unanswered in fleet_status.unanswered:
        rows.append(
            (
                unanswered.target.host_id or unanswered.target.address,
                unanswered.target.data_centre or "-",
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
    """The state of an upstream, summed over all hosts.

    Attributes:
        service: The name of the service.
        upstream: The name of the upstream.
        data_centre: The name of its data centre.
        flows: The number of flows to it that hosts have opened since they
            started; some may have ended.
        draining_hosts: The number of hosts that drain it.
        ready_hosts: The number of hosts that would give it a new flow.
        hosts: The number of hosts that list it.
    """

    service: str
    upstream: str
    data_centre: str
    flows: int
    draining_hosts: int
    ready_hosts: int
    hosts: int


def _summarise_upstreams(
    fleet_status: fleet_data.FleetStatus,
) -> list[UpstreamSummary]:
    """Sums the status of each upstream over the hosts that list it."""
    summaries: dict[tuple[str, str], UpstreamSummary] = {}
    for status in fleet_status.statuses:
        for item in status.upstreams:
            key = (item.service, item.upstream)
            known = summaries.get(key) or UpstreamSummary(
                item.service, item.upstream, item.data_centre, 0, 0, 0, 0
            )
            summaries[key] = dataclasses.replace(
                known,
                flows=known.flows + item.flows,
                draining_hosts=known.draining_hosts + item.is_draining,
                ready_hosts=known.ready_hosts + item.is_ready,
                hosts=known.hosts + 1,
            )
    return [summaries[key] for key in sorted(summaries)]


def _write_upstreams(
    out: output.Output, fleet_status: fleet_data.FleetStatus
) -> None:
    """Writes a table with one row for each upstream, summed over hosts."""
    if not fleet_status.is_complete:
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
                summary.service,
                summary.upstream,
                summary.data_centre,
                f"{summary.draining_hosts} of {summary.hosts} hosts",
                f"{summary.ready_hosts} of {summary.hosts} hosts",
                summary.flows,
            )
            for summary in _summarise_upstreams(fleet_status)
        ),
    )
