"""The command `explain`."""

import pathlib
from typing import Annotated

import typer

from sapphire_ctl import command_run
from sapphire_ctl import failures as ctl_failures
from sapphire_ctl import flow_timeline
from sapphire_ctl import options
from sapphire_ctl import output
from sapphire_data import failures

EXAMPLES = """
Examples:

  sapphirectl explain 100.64.0.7:40001-198.18.0.1:443 logs/*.log

  sapphirectl explain 100.64.0.7:40001 collected.log --json
"""


def explain(
    flow: Annotated[
        str,
        typer.Argument(help="The flow as the logs write it, or a part of it."),
    ],
    logs: Annotated[
        list[pathlib.Path],
        typer.Argument(
            help="Logs of hosts: a file for each host, or collected."
        ),
    ],
    *,
    as_json: options.Json = False,
) -> None:
    """Join the logs of several hosts to the timeline of one flow."""
    out = output.Output(as_json)
    errors: list[failures.Failure] = []
    lines: list[flow_timeline.LogLine] = []
    for path in logs:
        content, read_errors = command_run.read_input(path)
        errors += read_errors
        for text in content.decode("utf-8", "replace").splitlines():
            line = flow_timeline.parse_line(text, path.stem)
            if line is not None:
                lines.append(line)
    timeline = flow_timeline.build_timeline(lines, flow)
    if not timeline and not errors:
        errors.append(ctl_failures.UnknownName("flow", flow, ()))
    verdict = (
        flow_timeline.determine_verdict(timeline, flow) if timeline else ""
    )
    out.write_table(
        ("time_ms", "host", "event", "fields"),
        (
            (
                line.time_ms,
                line.host,
                line.event,
                " ".join(f"{k}={v}" for k, v in line.fields.items()),
            )
            for line in timeline
        ),
    )
    if verdict:
        out.write_line(f"verdict: {verdict}")
    fields: dict[str, object] = {
        "flow": flow,
        "verdict": verdict,
        "timeline": timeline,
    }
    command_run.finish_command(out, "explain", "", fields, errors)
