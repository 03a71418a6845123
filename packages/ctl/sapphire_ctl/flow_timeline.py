"""What the logs of several hosts tell of one flow, as a timeline."""

from collections.abc import Iterable
import dataclasses
import re
import shlex

# What a host came to believe this long before the flow began may explain it.
MARGIN_BEFORE_MS = 10_000
MARGIN_AFTER_MS = 2_000

_PAIR = re.compile(r"^[A-Za-z_][A-Za-z0-9_.]*=")
# Events about the host itself, of which any may explain a flow through it.
_HOST_EVENTS = frozenset(
    {
        "started",
        "ready",
        "stopping",
        "stopped",
        "settings_reloaded",
        "configuration_in_force",
        "data_centre_out",
        "data_centre_in",
        "store_lost",
        "store_regained",
        "history_gone",
        "log_lines_left_out",
    }
)
_HIDDEN = frozenset({"time_ms", "level", "logger", "event"})


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
    """Reads a line of key=value pairs, with or without a prefix.

    Args:
        text: The line. Words before the first pair are the collector's; the
            last of them names the host.
        file_name: Names the host where there is no prefix.

    Returns:
        The line, None if it is none of ours.
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
    shown = {key: value for key, value in fields.items() if key not in _HIDDEN}
    return LogLine(int(fields["time_ms"]), host, fields["event"], shown)


def build_timeline(lines: Iterable[LogLine], wanted: str) -> list[LogLine]:
    """Returns what explains a flow, in the order of time.

    Args:
        lines: The lines of all hosts.
        wanted: The flow as the logs write it, or a part of it such as the
            caller's address and port.

    Returns:
        The lines about the flow; those about the upstreams that it was sent
        to; and those about the hosts that carried it. None if no line is about
        the flow.
    """
    known = list(lines)
    about = [line for line in known if wanted in line.fields.get("flow", "")]
    if not about:
        return []
    hosts = {line.host for line in about}
    upstreams = {
        line.fields[name]
        for line in about
        for name in ("upstream", "silent")
        if line.fields.get(name)
    }
    first_ms = min(line.time_ms for line in about) - MARGIN_BEFORE_MS
    last_ms = max(line.time_ms for line in about) + MARGIN_AFTER_MS
    found: list[LogLine] = []
    for line in known:
        if line.host not in hosts or not first_ms <= line.time_ms <= last_ms:
            continue
        if line.event in _HOST_EVENTS or _is_about(line, wanted, upstreams):
            found.append(line)
    found.sort(key=lambda line: line.time_ms)
    return found


def _is_about(line: LogLine, wanted: str, upstreams: set[str]) -> bool:
    """Whether a line is about the flow, or changes what upstreams are."""
    flow = line.fields.get("flow")
    if flow is not None:
        if wanted in flow:
            return True
        # Another flow that found an upstream silent or gone.
        is_sign = line.event in ("opened_again", "upstream_gone", "unanswered")
        silent = line.fields.get("silent", line.fields.get("upstream"))
        return is_sign and silent in upstreams
    return line.fields.get("upstream") in upstreams


def determine_verdict(lines: Iterable[LogLine], wanted: str) -> str:
    """Returns what became of a flow, in one line.

    Args:
        lines: Its timeline.
        wanted: The flow, as for `build_timeline`.
    """
    own = [line for line in lines if wanted in line.fields.get("flow", "")]
    events = [line.event for line in own]
    for event, meaning in _MEANINGS:
        if event in events:
            return meaning
    return "carried by these hosts; its opening is not in these logs"


# The first event that a flow has decides; later ones are more common.
_MEANINGS = (
    ("no_route", "refused: no route at this host's configuration; not run"),
    ("no_upstream", "refused: no upstream of the service; not run"),
    ("upstream_gone", "ended in the midst: its upstream was dead"),
    ("unknown_tag", "ended in the midst: its upstream is not known here"),
    ("unanswered", "never answered while opening"),
    ("opened_again", "answered late: an upstream before was silent"),
    ("gives_way", "answered late: it gave way while the service was full"),
    ("closed", "answered, and closed by its caller"),
    ("answered", "opened; its end is not in these logs"),
    ("opened", "opened; no answer passed through these hosts"),
)
