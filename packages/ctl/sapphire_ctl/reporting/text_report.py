"""Writes a report as text."""

from sapphire_core.slo import data as slo_data
from sapphire_ctl import output
from sapphire_ctl import rendering
from sapphire_ctl.reporting import data
from sapphire_ctl.reporting import formatting


def write_report(out: output.Output, report: data.BurnReport) -> None:
    """Writes a report as text.

    Args:
        out: The output to write to.
        report: The report.
    """
    out.write_line(
        f"{report.environment} at {rendering.format_utc(report.now_ms)} UTC:"
        f" {formatting.describe_coverage(report)}"
    )
    for warning in report.warnings:
        out.write_line(f"warning: {output.describe(warning)}")
    if not report.burns:
        out.write_line("no events were counted")
        return
    windows = report.burns[0].windows
    headings = [
        "service",
        "objective",
        "target",
        "alert",
        "budget left",
        *(formatting.format_duration(window.window_ms) for window in windows),
        "note",
    ]
    out.write_table(headings, (_row(burn) for burn in report.burns))
    for burn in report.burns:
        cause = formatting.describe_cause(burn)
        if not cause:
            continue
        out.write_line(
            f"{burn.key.service} {burn.key.objective.value}: {cause}"
        )


def _row(burn: slo_data.ObjectiveBurn) -> list[object]:
    """Returns the cells of one objective."""
    return [
        burn.key.service,
        burn.key.objective.value,
        burn.target,
        burn.level.value,
        formatting.format_budget(burn.budget_left),
        *(
            formatting.format_burn_rate(window.burn_rate)
            for window in burn.windows
        ),
        "few events" if burn.has_few_events else "",
    ]
