"""Plots of the share of bad events over time, as inline SVG."""

from collections.abc import Iterable
from collections.abc import Mapping
import html

from sapphire_core.slo import data as slo_data
from sapphire_ctl import rendering
from sapphire_ctl.reporting import formatting

WIDTH_PX = 420
HEIGHT_PX = 120
_MARGIN_PX = 18
_PERCENT = 100.0


def plot_tier(
    counts_by_index: Mapping[int, slo_data.Counts],
    tier: slo_data.Tier,
    now_ms: int,
    allowed_share: float,
    marks: Iterable[slo_data.ChangeMark],
) -> str:
    """Draws the shares of bad events at one resolution.

    Args:
        counts_by_index: The counts of each interval.
        tier: The resolution and the number of intervals that are kept.
        now_ms: The wall time at the right edge.
        allowed_share: The share of bad events that the objective allows.
        marks: The configuration changes, drawn as vertical lines.

    Returns:
        An `svg` element.
    """
    last_index = now_ms // tier.width_ms
    first_index = last_index - tier.interval_count + 1
    shares_by_index = {
        index: counts.bad / counts.total
        for index, counts in counts_by_index.items()
        if first_index <= index <= last_index and counts.total
    }
    # The scale reaches at least twice the allowed share, so that the line of
    # the allowed share is always visible.
    top_share = max([*shares_by_index.values(), 2 * allowed_share])
    title = f"bad events, last {formatting.format_duration(tier.span_ms)}"
    lines = [
        f'<svg viewBox="0 0 {WIDTH_PX} {HEIGHT_PX}" role="img"'
        f' aria-label="{title}">',
        f'<text x="0" y="11">{title}, top {top_share * _PERCENT:.3g}%</text>',
    ]
    bar_px = WIDTH_PX / tier.interval_count
    for index, share in sorted(shares_by_index.items()):
        lines.append(
            _draw_bar(
                (index - first_index) * bar_px,
                bar_px,
                share / top_share,
                share > allowed_share,
                f"{rendering.format_utc(index * tier.width_ms)}:"
                f" {share * _PERCENT:.3g}% of"
                f" {counts_by_index[index].total}",
            )
        )
    allowed_y_px = _y_px(allowed_share / top_share)
    lines.append(
        f'<line class="allowed" x1="0" x2="{WIDTH_PX}" y1="{allowed_y_px:.1f}"'
        f' y2="{allowed_y_px:.1f}"/>'
    )
    for mark in marks:
        x_px = (mark.at_ms / tier.width_ms - first_index) * bar_px
        if not 0 <= x_px <= WIDTH_PX:
            continue
        lines.append(_draw_change(x_px, formatting.describe_change(mark)))
    lines.append("</svg>")
    return "\n".join(lines)


def _y_px(share_of_top: float) -> float:
    """Returns the vertical position of a share, given as a part of the top."""
    return HEIGHT_PX - share_of_top * (HEIGHT_PX - _MARGIN_PX)


def _draw_bar(
    x_px: float, width_px: float, share: float, is_bad: bool, title: str
) -> str:
    """Draws the bar of one interval."""
    y_px = _y_px(share)
    kind = "bad" if is_bad else "good"
    return (
        f'<rect class="{kind}" x="{x_px:.1f}" y="{y_px:.1f}"'
        f' width="{width_px:.1f}" height="{HEIGHT_PX - y_px:.1f}">'
        f"<title>{html.escape(title)}</title></rect>"
    )


def _draw_change(x_px: float, title: str) -> str:
    """Draws the vertical line of one configuration change."""
    return (
        f'<line class="mark" x1="{x_px:.1f}" x2="{x_px:.1f}"'
        f' y1="{_MARGIN_PX}" y2="{HEIGHT_PX}">'
        f"<title>{html.escape(title)}</title></line>"
    )
