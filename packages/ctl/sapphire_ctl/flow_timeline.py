"""Joins the log lines of several hosts about one flow into a timeline."""

from collections.abc import Iterable
import dataclasses
import re
import shlex

from sapphire_ctl import flow_verdicts

# Events this long before the first line of a flow and after its last one may
# explain what happened to it.
MARGIN_BEFORE_MS = 10_000
MARGIN_AFTER_MS = 2_000

_PAIR = re.compile(r"^[A-Za-z_][A-Za-z0-9_.]*=")
# Events about the host itself; any of them may explain a flow through it.
_HOST_EVENTS = frozenset(
    {
        "started",
        "startup_read",
        "carried_items_known",
        "ready",
        "stopping",
        "stopped",
        "stop_overdue",
        "settings_reloaded",
        "setting_ignored",
        "link_full",
        "cut_off",
        "not_cut_off",
        "configuration_in_force",
        "data_centre_out",
        "data_centre_in",
        "store_lost",
        "store_regained",
        "history_gone",
        "store_restored",
        "era_claimed",
        "log_lines_left_out",
    }
)
_LINE_FIELDS = frozenset({"time_ms", "level", "logger", "event"})


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a host's log.

    Attributes:
        time_ms: The host's wall time, in milliseconds since the Unix epoch.
        host: The host, from the collector's prefix or the name of the file.
        event: The event.
        fields: The other fields.
    """

    time_ms: int
    host: str
    event: str
    fields: dict[str, str]


def parse_line(text: str, file_name: str) -> LogLine | None:
    """Parses a line of key=value pairs, with or without a prefix.

    Args:
        text: The line. Words before the first pair are the prefix of a log
            collector; the last of them names the host.
        file_name: The name of the host if there is no prefix.

    Returns:
        The line; None if it has no event or no time, as lines of other
        programs.
    """
    try:
        words = shlex.split(text)
    except ValueError:
        return None
    prefix: list[str] = []
    fields: dict[str, str] = {}
    for word in words:
        if _PAIR.match(word):
            key, _, value = word.partition("=")
            fields[key] = value
        elif not fields:
            prefix.append(word)
    if "event" not in fields or not fields.get("time_ms", "").isdecimal():
        return None
    host = prefix[-1] if prefix else file_name
    other_fields = {
        key: value for key, value in fields.items() if key not in _LINE_FIELDS
    }
    return LogLine(int(fields["time_ms"]), host, fields["event"], other_fields)


def build_timeline(lines: Iterable[LogLine], wanted: str) -> list[LogLine]:
    """Returns the lines that explain a flow, in the order of time.

    Args:
        lines: The lines of all hosts.
        wanted: The flow as the logs write it, or a part of it such as the
            caller's address and port.

    Returns:
        Lines of the hosts that carried the flow, from shortly before it to
        shortly after it: those about the flow, about the upstreams that it was
        sent to and about the hosts themselves. Empty if no line is about the
        flow.
    """
    all_lines = list(lines)
    flow_lines = [
        line for line in all_lines if wanted in line.fields.get("flow", "")
    ]
    if not flow_lines:
        return []
    hosts = {line.host for line in flow_lines}
    upstreams = {
        line.fields[name]
        for line in flow_lines
        for name in ("upstream", "silent")
        if line.fields.get(name)
    }
    first_ms = min(line.time_ms for line in flow_lines) - MARGIN_BEFORE_MS
    last_ms = max(line.time_ms for line in flow_lines) + MARGIN_AFTER_MS
    timeline: list[LogLine] = []
    for line in all_lines:
        if line.host not in hosts or not first_ms <= line.time_ms <= last_ms:
            continue
        if line.event in _HOST_EVENTS or _is_relevant(line, wanted, upstreams):
            timeline.append(line)
    timeline.sort(key=lambda line: line.time_ms)
    return timeline


def _is_relevant(line: LogLine, wanted: str, upstreams: set[str]) -> bool:
    """Returns whether a line is about the flow or its upstreams."""
    flow = line.fields.get("flow")
    if flow is not None:
        if wanted in flow:
            return True
        # Another flow for which an upstream was unresponsive or dead.
        is_failure = line.event in (
            "opened_again",
            "upstream_gone",
            "unanswered",
        )
        unresponsive = line.fields.get("silent", line.fields.get("upstream"))
        return is_failure and unresponsive in upstreams
    return line.fields.get("upstream") in upstreams


def determine_verdict(lines: Iterable[LogLine], wanted: str) -> str:
    """Returns in one line how a flow ended, as far as the logs show it.

    Args:
        lines: The timeline of the flow.
        wanted: The flow, as for `build_timeline`.
    """
    return flow_verdicts.explain(
        {line.event for line in lines if wanted in line.fields.get("flow", "")}
    )
