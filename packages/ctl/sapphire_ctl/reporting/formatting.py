"""Formats values for the text and the HTML of a report."""

from sapphire_core.slo import data as slo_data
from sapphire_ctl import rendering
from sapphire_ctl.reporting import data

NO_EVENTS = "no events"
_PERCENT = 100.0
_UNITS = (
    (slo_data.MS_PER_DAY, "d"),
    (slo_data.MS_PER_HOUR, "h"),
    (slo_data.MS_PER_MINUTE, "min"),
)


def format_duration(length_ms: int) -> str:
    """Formats a duration in its largest whole unit."""
    for unit_ms, label in _UNITS:
        if length_ms >= unit_ms and length_ms % unit_ms == 0:
            return f"{length_ms // unit_ms} {label}"
    return f"{length_ms} ms"


def format_burn_rate(burn_rate: float | None) -> str:
    """Formats a burn rate, such as `14.4x`."""
    return NO_EVENTS if burn_rate is None else f"{burn_rate:.1f}x"


def format_budget(share: float | None) -> str:
    """Formats the share of an error budget that is left, in percent."""
    return NO_EVENTS if share is None else f"{share * _PERCENT:.0f}%"


def describe_cause(burn: slo_data.ObjectiveBurn) -> str:
    """Describes when an objective began to burn and the suspected changes."""
    if burn.level is slo_data.AlertLevel.NONE:
        return ""
    if burn.onset is None:
        return "burns for as long as the hosts have counts"
    began = f"began {rendering.format_utc(burn.onset.from_ms)}"
    if not burn.onset.suspects:
        return f"{began}, no change near it"
    changes = ", ".join(describe_change(mark) for mark in burn.onset.suspects)
    return f"{began}, started by {changes}"


def describe_change(mark: slo_data.ChangeMark) -> str:
    """Describes a configuration change by revision, action and author."""
    parts = [f"revision {mark.revision}"]
    if mark.summary:
        parts.append(mark.summary)
    if mark.author:
        parts.append(f"by {mark.author}")
    return " ".join(parts)


def describe_coverage(report: data.BurnReport) -> str:
    """Describes how many hosts are counted and since when."""
    text = f"{len(report.hosts)} hosts counted"
    if report.hosts:
        oldest = min(host.since_ms for host in report.hosts)
        newest = max(host.since_ms for host in report.hosts)
        text += (
            f" since {rendering.format_utc(oldest)} (the newest since"
            f" {rendering.format_utc(newest)})"
        )
    text += f", {len(report.unanswered)} did not answer"
    if report.hosts_left_out:
        text += f", {report.hosts_left_out} were not queried (a sample)"
    return text
