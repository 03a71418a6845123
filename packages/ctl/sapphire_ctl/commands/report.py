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
    """The least urgent level at which the command fails."""

    PAGE_FAST = "page-fast"
    PAGE_SLOW = "page-slow"
    TICKET = "ticket"


def report(
    *,
    service: options.Service = None,
    html_path: Annotated[
        pathlib.Path | None,
        typer.Option("--html", help="Write one HTML page to this file."),
    ] = None,
    fail_on: Annotated[
        FailOn | None,
        typer.Option("--fail-on", help="Fail at this level or a worse one."),
    ] = None,
    settings_path: options.Settings = settings.DEFAULT_PATH,
    environment: options.Environment = None,
    as_json: options.Json = False,
) -> None:
    """Show which objectives burn, and which change started it."""
    invocation = command_run.start_command(
        "report", settings_path, environment, as_json
    )
    built = anyio.run(_collect, invocation, service)
    if isinstance(built, failures.Failure):
        command_run.finish_invocation(invocation, {}, [built])
    text_report.write_report(invocation.output, built)
    found: list[failures.Failure] = _burning(built, fail_on)
    found += [missing.failure for missing in built.unanswered]
    if html_path is not None:
        found += _write(html_path, html_page.render_page(built))
    fields = {
        "now_ms": built.now_ms,
        "objectives": built.burns,
        "hosts": built.hosts,
        "unanswered": built.unanswered,
        "hosts_left_out": built.hosts_left_out,
        "warnings": built.warnings,
    }
    command_run.finish_invocation(invocation, fields, found)


async def _collect(
    invocation: session.Invocation, service: str | None
) -> data.BurnReport | failures.Failure:
    """Collects the report of the environment."""
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


def _burning(
    built: data.BurnReport, fail_on: FailOn | None
) -> list[failures.Failure]:
    """Lists the objectives that burn at a level or a worse one."""
    if fail_on is None:
        return []
    levels = list(slo_data.AlertLevel)
    worst_allowed = levels.index(slo_data.AlertLevel(fail_on.value))
    found: list[failures.Failure] = []
    for burn in built.burns:
        if levels.index(burn.level) > worst_allowed:
            continue
        found.append(
            ctl_failures.ObjectiveBurning(
                burn.key.service, burn.key.objective.value, burn.level.value
            )
        )
    return found


def _write(path: pathlib.Path, content: str) -> list[failures.Failure]:
    """Writes the page; returns why it cannot be written."""
    try:
        path.write_text(content, encoding="utf-8")
    except OSError as error:
        problem = error.strerror or "cannot be written"
        return [ctl_failures.UnwritableOutput(str(path), problem)]
    return []
