"""The command `report`."""

import enum
import pathlib
from typing import Annotated

import anyio
import typer

from sapphire_core.slo import data as slo_data
from sapphire_ctl import command_run
from sapphire_ctl import failures as ctl_failures
from sapphire_ctl import options
from sapphire_ctl import session
from sapphire_ctl import settings
from sapphire_ctl.reporting import collection
from sapphire_ctl.reporting import data
from sapphire_ctl.reporting import html_page
from sapphire_ctl.reporting import text_report
from sapphire_data import clock
from sapphire_data import failures

EXAMPLES = """
Examples:

  sapphirectl report --env production

  sapphirectl report --html burn.html

  sapphirectl report --service rota --json

  sapphirectl report --fail-on page-slow  (status 11 if anything pages)
"""


class FailOn(enum.StrEnum):
    """The least urgent alert level at which the command fails."""

    PAGE_FAST = "page-fast"
    PAGE_SLOW = "page-slow"
    TICKET = "ticket"


def report(
    *,
    service: options.Service = None,
    html_path: Annotated[
        pathlib.Path | None,
        typer.Option(
            "--html", help="Write the report to this file as one HTML page."
        ),
    ] = None,
    fail_on: Annotated[
        FailOn | None,
        typer.Option(
            "--fail-on",
            help="Fail if an objective burns at this or a more urgent level.",
        ),
    ] = None,
    settings_path: options.Settings = settings.DEFAULT_PATH,
    environment: options.Environment = None,
    as_json: options.Json = False,
) -> None:
    """Show which objectives burn, and which change started it."""
    invocation = command_run.start_command(
        "report", settings_path, environment, as_json
    )
    burn_report = anyio.run(_collect, invocation, service)
    if isinstance(burn_report, failures.Failure):
        command_run.finish_invocation(invocation, {}, [burn_report])
    text_report.write_report(invocation.output, burn_report)
    found_failures: list[failures.Failure] = _find_burning(burn_report, fail_on)
    found_failures += [missing.failure for missing in burn_report.unanswered]
    if html_path is not None:
        found_failures += _write_page(
            html_path, html_page.render_page(burn_report)
        )
    fields = {
        "now_ms": burn_report.now_ms,
        "objectives": burn_report.burns,
        "hosts": burn_report.hosts,
        "unanswered": burn_report.unanswered,
        "hosts_left_out": burn_report.hosts_left_out,
        "warnings": burn_report.warnings,
    }
    command_run.finish_invocation(invocation, fields, found_failures)


async def _collect(
    invocation: session.Invocation, service: str | None
) -> data.BurnReport | failures.Failure:
    """Collects the report, or returns why the hosts cannot be queried."""
    fleet = session.open_fleet(invocation, invocation.environment)
    if fleet.is_error():
        return fleet.error
    return await collection.collect_report(
        invocation,
        fleet.ok,
        invocation.environment,
        service,
        clock.wall_time_ms(),
    )


def _find_burning(
    burn_report: data.BurnReport, fail_on: FailOn | None
) -> list[failures.Failure]:
    """Lists the objectives that burn at `fail_on` or a more urgent level."""
    if fail_on is None:
        return []
    levels = list(slo_data.AlertLevel)
    worst_allowed = levels.index(slo_data.AlertLevel(fail_on.value))
    found_failures: list[failures.Failure] = []
    for burn in burn_report.burns:
        if levels.index(burn.level) > worst_allowed:
            continue
        found_failures.append(
            ctl_failures.ObjectiveBurning(
                burn.key.service, burn.key.objective.value, burn.level.value
            )
        )
    return found_failures


def _write_page(path: pathlib.Path, content: str) -> list[failures.Failure]:
    """Writes the HTML page; returns a failure if it cannot be written."""
    try:
        path.write_text(content, encoding="utf-8")
    except OSError as error:
        problem = error.strerror or "cannot be written"
        return [ctl_failures.UnwritableOutput(str(path), problem)]
    return []
