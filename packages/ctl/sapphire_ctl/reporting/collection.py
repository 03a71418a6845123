"""Collects the counts of hosts, the objectives and the changes for a report."""

from collections.abc import Iterable
from collections.abc import Mapping
import statistics

from sapphire_core.slo import burn
from sapphire_core.slo import data as slo_data
from sapphire_core.slo import merge
from sapphire_ctl import session
from sapphire_ctl.fleet import aggregation
from sapphire_ctl.fleet import client
from sapphire_ctl.fleet import data as fleet_data
from sapphire_ctl.reporting import data
from sapphire_data import failures
from sapphire_data import records
from sapphire_net.store import changes
from sapphire_net.store import stored_configuration
from sapphire_wire import api


async def collect_report(
    invocation: session.Invocation,
    fleet: client.FleetClient,
    environment: str,
    service: str | None,
    now_ms: int,
) -> data.BurnReport:
    """Queries the hosts and the store, and evaluates all objectives.

    Args:
        invocation: The command's invocation.
        fleet: The client of the hosts.
        environment: The name of the environment.
        service: The only service to report; None for all.
        now_ms: The wall time.

    Returns:
        The report. It lacks the counts of hosts that do not answer; if the
        store is down, it has the default objectives and no authors.
    """
    fleet_status = await fleet.fetch_statuses(service)
    reports, missing_reports = await fleet.fetch_slo_reports(
        fleet_status.statuses, service
    )
    objectives, marks, warnings = await _read_store(invocation, environment)
    return build_report(
        environment,
        reports=reports,
        unanswered=[*fleet_status.unanswered, *missing_reports],
        hosts_left_out=len(fleet_status.told),
        objectives_by_service=objectives,
        history=marks,
        warnings=warnings,
        now_ms=now_ms,
    )


def build_report(
    environment: str,
    *,
    reports: Iterable[api.SloReport],
    unanswered: Iterable[fleet_data.UnansweredHost],
    hosts_left_out: int = 0,
    objectives_by_service: Mapping[str, records.Objectives],
    history: Iterable[slo_data.ChangeMark],
    warnings: Iterable[failures.Failure],
    now_ms: int,
) -> data.BurnReport:
    """Evaluates the counts of hosts.

    Args:
        environment: The name of the environment.
        reports: The reports of the hosts.
        unanswered: The hosts without a report.
        hosts_left_out: The number of hosts of a large fleet that were not
            queried.
        objectives_by_service: The objectives of the document in force.
        history: The changes with their authors.
        warnings: Why the store could not be read.
        now_ms: The wall time of the operator's machine, used if there is no
            report with the wall time of a host.

    Returns:
        The report.
    """
    all_reports = list(reports)
    if all_reports:
        # Hosts count by their own clocks; the operator's clock may be wrong.
        now_ms = statistics.median_low(report.now_ms for report in all_reports)
    series_by_key = aggregation.merge_series(all_reports)
    marks = merge.merge_marks(
        [*aggregation.collect_marks(all_reports), *history]
    )
    burns = burn.evaluate_all(
        series_by_key, objectives_by_service, marks, now_ms
    )
    return data.BurnReport(
        environment=environment,
        now_ms=now_ms,
        burns=burns,
        series_by_key=series_by_key,
        marks=marks,
        hosts=tuple(
            data.HostCoverage(
                report.host_id, report.data_centre, report.since_ms
            )
            for report in all_reports
        ),
        unanswered=tuple(unanswered),
        hosts_left_out=hosts_left_out,
        warnings=tuple(warnings),
    )


async def _read_store(
    invocation: session.Invocation, environment: str
) -> tuple[
    dict[str, records.Objectives],
    list[slo_data.ChangeMark],
    list[failures.Failure],
]:
    """Reads the objectives in force and the history of changes."""
    async with session.open_store(invocation, environment) as opened:
        if opened.is_error():
            return {}, [], [opened.error]
        snapshot = await stored_configuration.read_snapshot(opened.ok)
        if snapshot.is_error():
            return {}, [], [snapshot.error]
        heads = await changes.read_history(opened.ok)
    objectives = {
        name: service.objectives
        for name, service in snapshot.ok.configuration.services_by_name.items()
    }
    if heads.is_error():
        return objectives, [], [heads.error]
    marks = [
        slo_data.ChangeMark(
            revision=head.version.revision,
            at_ms=head.change.written_ms,
            author=head.change.author,
            summary=head.change.action,
        )
        for head in heads.ok
    ]
    return objectives, marks, []
