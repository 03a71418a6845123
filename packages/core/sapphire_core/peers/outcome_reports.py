"""What became of requests at upstreams, as counted by the hosts of a fleet.

One host sees a few requests a minute at an upstream, too few to judge it. Each
host therefore reports its own counts of the last seconds with its heartbeats.
Reports hold counts and no verdicts. A newer report of a host replaces its
older one, so one that is repeated or late changes nothing, and nobody passes
on the report of another.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import Protocol

from sapphire_core.peers import data
from sapphire_core.peers import upstream_reports

# A report counts up to this age: three turns of a near peer of 26 to 48 hosts.
MAX_REPORT_AGE_MS = 1_500
# A heartbeat reports this many upstreams at most, which take about 90 bytes. A
# host sees some ten requests within the window, most of them at others.
MAX_REPORTS = 8
# Requests of one host that count for an upstream. Hosts get equal parts of the
# requests, so a sound host reports hardly more within the window.
MAX_REQUESTS_OF_HOST = 8
# An upstream whose responses take this many times the usual time is reported.
SLOW_RATIO = 2.0
# A response time relative to the usual one, as it may be reported at most.
MAX_TIME_RATIO = 10.0


class Counts(Protocol):
    """What one host has counted at one upstream, see `HostCounts`."""

    @property
    def well(self) -> int:
        """How many requests ended well."""

    @property
    def badly(self) -> int:
        """How many ended badly or hang."""

    @property
    def answered(self) -> int:
        """How many had a response whose time is known."""

    @property
    def time_ratio(self) -> float:
        """The mean of their times, relative to the usual ones."""


@dataclasses.dataclass(frozen=True, slots=True)
class HostCounts:
    """What one host reports of one upstream.

    Attributes:
        well: How many requests ended well.
        badly: How many ended badly or hang.
        answered: How many had a response whose time is known.
        time_ratio: The mean of their times, relative to the usual ones.
    """

    well: int
    badly: int
    answered: int
    time_ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What the hosts of this data centre have seen of one upstream.

    Attributes:
        own: The counts of this host; None if it has none.
        of_peers: The counts of each peer that has any.
        oldest_ms: The age of the oldest of them.
    """

    own: Counts | None
    of_peers: tuple[Counts, ...]
    oldest_ms: int


def evidence_of_peers(
    received: Iterable[upstream_reports.ReceivedHeartbeat],
) -> Mapping[int, Evidence]:
    """Returns what near peers report of each upstream, by its tag.

    Peers of other data centres do not count: an upstream may fail the callers
    of one only, and few of them are heard.

    Args:
        received: The last heartbeat of each live peer.
    """
    counts_by_tag: dict[int, list[Counts]] = {}
    age_by_tag: dict[int, int] = {}
    for each in received:
        if not each.is_near or each.age_ms > MAX_REPORT_AGE_MS:
            continue
        for report in each.heartbeat.outcomes[:MAX_REPORTS]:
            counts_by_tag.setdefault(report.tag, []).append(_bounded(report))
            age_by_tag[report.tag] = max(
                each.age_ms, age_by_tag.get(report.tag, 0)
            )
    return {
        tag: Evidence(None, tuple(counts), age_by_tag[tag])
        for tag, counts in counts_by_tag.items()
    }


def own_reports(
    own_by_tag: Mapping[int, HostCounts], suspected: Collection[int]
) -> tuple[data.OutcomeReport, ...]:
    """Returns what this host reports, nothing while all upstreams do well.

    Those that did badly here come first, then those that some peer reports.

    Args:
        own_by_tag: The counts of this host, by the tag of the upstream.
        suspected: The tags that some peer reports.
    """
    rated: list[tuple[bool, int, int]] = []
    for tag, counts in own_by_tag.items():
        is_suspect = is_unusual(counts)
        if is_suspect or tag in suspected:
            rated.append((not is_suspect, -counts.badly, tag))
    return tuple(
        _report(tag, own_by_tag[tag])
        for _, _, tag in sorted(rated)[:MAX_REPORTS]
    )


def is_unusual(counts: HostCounts) -> bool:
    """Whether counts hold a sign against an upstream.

    Args:
        counts: The counts of one host.
    """
    return counts.badly > 0 or (
        counts.answered > 0 and counts.time_ratio >= SLOW_RATIO
    )


def bounded(counts: HostCounts) -> HostCounts:
    """Returns counts of at most `MAX_REQUESTS_OF_HOST` requests.

    Args:
        counts: The counts of one host.
    """
    total = counts.well + counts.badly
    scale = min(1.0, MAX_REQUESTS_OF_HOST / max(total, 1))
    return HostCounts(
        round(counts.well * scale),
        round(counts.badly * scale),
        min(counts.answered, MAX_REQUESTS_OF_HOST),
        min(max(counts.time_ratio, 0.0), MAX_TIME_RATIO),
    )


def _bounded(report: data.OutcomeReport) -> Counts:
    """Returns the counts of a peer's report, as they are if within bounds.

    Those of all peers within bounds are: their senders bound them, too.
    """
    if (
        report.well + report.badly <= MAX_REQUESTS_OF_HOST
        and report.answered <= MAX_REQUESTS_OF_HOST
        and 0.0 <= report.time_ratio <= MAX_TIME_RATIO
    ):
        return report
    return bounded(
        HostCounts(
            report.well, report.badly, report.answered, report.time_ratio
        )
    )


def _report(tag: int, counts: HostCounts) -> data.OutcomeReport:
    """Returns the report of one upstream."""
    counts = bounded(counts)
    return data.OutcomeReport(
        tag, counts.well, counts.badly, counts.answered, counts.time_ratio
    )
