"""Renders a report as one self-contained HTML page."""

import html

from sapphire_core.slo import data as slo_data
from sapphire_ctl import output
from sapphire_ctl import rendering
from sapphire_ctl.reporting import data
from sapphire_ctl.reporting import formatting
from sapphire_ctl.reporting import plot

# A page with the plots of more objectives than this is too long to read.
MAX_PLOTTED_OBJECTIVES = 60

_STYLE = """
body { font: 14px sans-serif; margin: 2em; color: #222; max-width: 90em; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { border: 1px solid #ccc; padding: 0.3em 0.6em; text-align: left; }
.page-fast { background: #f5b7b1; } .page-slow { background: #fad7a0; }
.ticket { background: #f9e79f; } .none { background: #d5f5e3; }
.plots { display: flex; flex-wrap: wrap; gap: 1em; }
svg { width: 420px; border-bottom: 1px solid #888; font-size: 11px; }
rect.bad { fill: #c0392b; } rect.good { fill: #7fb3d5; }
line.allowed { stroke: #222; stroke-dasharray: 4 3; }
line.mark { stroke: #8e44ad; stroke-width: 2; }
"""


def render_page(report: data.BurnReport) -> str:
    """Renders a report.

    Args:
        report: The report.

    Returns:
        The page; it loads nothing from elsewhere.
    """
    title = f"Service-level burn of {report.environment}"
    lines = [
        "<!DOCTYPE html>",
        '<html lang="en"><head><meta charset="utf-8">',
        f"<title>{_escape(title)}</title>",
        f"<style>{_STYLE}</style></head><body>",
        f"<h1>{_escape(title)}</h1>",
        f"<p>{_escape(rendering.format_utc(report.now_ms))} UTC:"
        f" {_escape(formatting.describe_coverage(report))}.</p>",
    ]
    for warning in report.warnings:
        lines.append(f"<p>Warning: {_escape(output.describe(warning))}</p>")
    lines += _render_summary(report)
    for burn in report.burns[:MAX_PLOTTED_OBJECTIVES]:
        lines += _render_objective(report, burn)
    if len(report.burns) > MAX_PLOTTED_OBJECTIVES:
        left_out = len(report.burns) - MAX_PLOTTED_OBJECTIVES
        lines.append(f"<p>{left_out} further objectives are not plotted.</p>")
    lines.append("</body></html>")
    return "\n".join(lines) + "\n"


def _escape(content: object) -> str:
    """Escapes text for HTML."""
    return html.escape(str(content))


def _render_summary(report: data.BurnReport) -> list[str]:
    """Renders the table of all objectives."""
    if not report.burns:
        return ["<p>No events were counted.</p>"]
    windows = report.burns[0].windows
    headings = ["service", "objective", "target", "alert", "budget left"]
    headings += [
        formatting.format_duration(window.window_ms) for window in windows
    ]
    headings.append("cause")
    lines = ["<table><tr>"]
    lines += [f"<th>{_escape(heading)}</th>" for heading in headings]
    lines.append("</tr>")
    for burn in report.burns:
        cells = [
            burn.key.service,
            burn.key.objective.value,
            burn.target,
            burn.level.value,
            formatting.format_budget(burn.budget_left),
        ]
        cells += [
            formatting.format_burn_rate(window.burn_rate)
            for window in burn.windows
        ]
        cells.append(formatting.describe_cause(burn))
        row = "".join(f"<td>{_escape(cell)}</td>" for cell in cells)
        lines.append(f'<tr class="{burn.level.value}">{row}</tr>')
    lines.append("</table>")
    return lines


def _render_objective(
    report: data.BurnReport, burn: slo_data.ObjectiveBurn
) -> list[str]:
    """Renders the heading, the cause and the plots of one objective."""
    series = report.series_by_key[burn.key]
    heading = f"{burn.key.service}: {burn.key.objective.value}"
    lines = [f"<h2>{_escape(heading)}</h2>"]
    cause = formatting.describe_cause(burn)
    if cause:
        lines.append(f"<p>{_escape(cause)}.</p>")
    lines.append('<div class="plots">')
    for tier in slo_data.TIERS:
        lines.append(
            plot.plot_tier(
                series.tiers_by_width_ms.get(tier.width_ms, {}),
                tier,
                report.now_ms,
                1.0 - burn.target,
                report.marks,
            )
        )
    lines.append("</div>")
    return lines
