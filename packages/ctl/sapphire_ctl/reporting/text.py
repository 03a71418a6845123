"""The report as text."""

from sapphire_core.slo import data as slo_data
from sapphire_ctl import output
from sapphire_ctl import rendering
from sapphire_ctl.reporting import data
from sapphire_ctl.reporting import words


def show(out: output.Output, report: data.BurnReport) -> None:
    """Writes a report as text.

    Args:
        out: Where it goes.
        report: The report.
    """
    out.line(
        f"{report.environment} at {rendering.utc(report.now_ms)} UTC:"
        f" {words.coverage(report)}"
    )
    for warning in report.warnings:
        out.line(f"warning: {output.describe(warning)}")
    if not report.burns:
        out.line("no events were counted")
        return
    windows = report.burns[0].windows
    headings = [
        "service",
        "objective",
        "target",
        "alert",
        "budget left",
        *(words.duration(window.window_ms) for window in windows),
        "note",
    ]
    out.table(headings, (_row(burn) for burn in report.burns))
    for burn in report.burns:
        cause = words.cause(burn)
        if not cause:
            continue
        out.line(f"{burn.key.service} {burn.key.objective.value}: {cause}")


def _row(burn: slo_data.ObjectiveBurn) -> list[object]:
    """Returns the cells of one objective."""
    return [
        burn.key.service,
        burn.key.objective.value,
        burn.target,
        burn.level.value,
        words.budget(burn.budget_left),
        *(words.rate(window.burn_rate) for window in burn.windows),
        "few events" if burn.has_few_events else "",
    ]
