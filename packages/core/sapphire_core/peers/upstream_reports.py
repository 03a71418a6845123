"""What peers report of upstreams: their load, and which do not respond."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from sapphire_core.peers import data

# A report of load counts in full up to this age, then less and less.
FULL_WEIGHT_AGE_MS = 1_000
MAX_REPORT_AGE_MS = 2_500
# A peer counts for at most this number of times the median of all peers. The
# fabric spreads flows over hosts by a hash, so a sound host has seldom twice
# the median; one that reports without limit has the share of a few hosts.
MAX_TIMES_MEDIAN = 4
# The load that a peer may always report, where the median is near zero.
MIN_LOAD_LIMIT = 1.0
# How long an upstream is avoided on one report; the host that observes it
# renews its report with each heartbeat.
MAX_AVOID_MS = 600
# What is subtracted from the remaining time each time that a report is passed
# on. It is more than a heartbeat is delayed, so that reports which hosts pass
# on to each other in a circle end.
HOP_MS = 30
# How many reports of peers a heartbeat passes on at most.
MAX_RELAYED_REPORTS = 24


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedHeartbeat:
    """The last heartbeat of a live peer.

    Attributes:
        heartbeat: The heartbeat.
        age_ms: How long ago it was received.
        is_near: Whether the peer is in the same data centre as this host.
    """

    heartbeat: data.Heartbeat
    age_ms: int
    is_near: bool


def total_in_flight(
    received: Iterable[ReceivedHeartbeat], near_peer_count: int
) -> Mapping[int, float]:
    """Returns the average in-flight requests of all peers, by upstream tag.

    Old reports count less. For near peers without a recent report, the mean of
    the others is assumed; they get as many flows from the fabric. What a peer
    reports of all upstreams together is bounded by what the others report.

    Args:
        received: The last heartbeat of each live peer.
        near_peer_count: The number of peers in the same data centre.
    """
    fresh = [each for each in received if _weight(each.age_ms) > 0.0]
    loads = [_reported_load(each.heartbeat) for each in fresh]
    limit = _load_limit(loads)
    near_by_tag: dict[int, float] = {}
    remote_by_tag: dict[int, float] = {}
    reporting_near_peers = 0
    for each, load in zip(fresh, loads, strict=True):
        reporting_near_peers += each.is_near
        weight = _weight(each.age_ms) * limit / max(load, limit)
        by_tag = near_by_tag if each.is_near else remote_by_tag
        for report in each.heartbeat.upstreams:
            busy = report.busy
            if busy > 0.0:
                tag = report.tag
                by_tag[tag] = by_tag.get(tag, 0.0) + busy * weight
    scale = max(1.0, near_peer_count / max(reporting_near_peers, 1))
    total_by_tag = remote_by_tag
    for tag, in_flight in near_by_tag.items():
        known = total_by_tag.get(tag, 0.0)
        total_by_tag[tag] = known + in_flight * scale
    return total_by_tag


def _load_limit(loads: Sequence[float]) -> float:
    """Returns the load of all upstreams for which one peer counts at most.

    Args:
        loads: What each peer reports.
    """
    if not loads:
        return MIN_LOAD_LIMIT
    # Of two peers the one with less load, so that it bounds the other.
    median = sorted(loads)[(len(loads) - 1) // 2]
    return max(MIN_LOAD_LIMIT, MAX_TIMES_MEDIAN * median)


def _reported_load(heartbeat: data.Heartbeat) -> float:
    """Returns what a peer reports of all upstreams together."""
    return sum([each.busy for each in heartbeat.upstreams if each.busy > 0.0])


def _weight(age_ms: int) -> float:
    """Returns how much a report of load counts, from 1 to 0."""
    if age_ms <= FULL_WEIGHT_AGE_MS:
        return 1.0
    fading_ms = MAX_REPORT_AGE_MS - FULL_WEIGHT_AGE_MS
    return max(0.0, (MAX_REPORT_AGE_MS - age_ms) / fading_ms)


class UnresponsiveReports:
    """The upstreams that peers avoid as unresponsive, and until when.

    Reports are passed on, so that they reach all hosts of a data centre within
    a few heartbeats, also those that the first host does not send to.
    """

    def __init__(self) -> None:
        self._avoid_until_ms_by_tag: dict[int, int] = {}

    def record(
        self, reports: Iterable[data.UpstreamReport], now_ms: int
    ) -> bool:
        """Records the reports in a heartbeat.

        Args:
            reports: The reports; those of responsive upstreams are ignored.
            now_ms: The current time.

        Returns:
            Whether one of them is of an upstream that was not avoided, so that
            it should be passed on at once.
        """
        is_new = False
        for report in reports:
            if report.silent_ms <= HOP_MS:
                continue
            remaining_ms = min(report.silent_ms, MAX_AVOID_MS) - HOP_MS
            until_ms = now_ms + remaining_ms
            known_ms = self._avoid_until_ms_by_tag.get(report.tag, 0)
            is_new |= known_ms <= now_ms
            self._avoid_until_ms_by_tag[report.tag] = max(known_ms, until_ms)
        return is_new

    def avoid_ms_by_tag(self, now_ms: int) -> dict[int, int]:
        """Returns how much longer each upstream is avoided.

        Args:
            now_ms: The current time.
        """
        for tag, until_ms in list(self._avoid_until_ms_by_tag.items()):
            if until_ms <= now_ms:
                del self._avoid_until_ms_by_tag[tag]
        return {
            tag: until_ms - now_ms
            for tag, until_ms in self._avoid_until_ms_by_tag.items()
        }

    def relayed(
        self, own_reports: Iterable[data.UpstreamReport], now_ms: int
    ) -> tuple[data.UpstreamReport, ...]:
        """Returns the reports of peers that the next heartbeat passes on.

        Args:
            own_reports: What this host reports itself; not passed on again.
            now_ms: The current time.
        """
        own_tags = {report.tag for report in own_reports if report.silent_ms}
        remaining = [
            (avoid_ms, tag)
            for tag, avoid_ms in self.avoid_ms_by_tag(now_ms).items()
            if tag not in own_tags and avoid_ms > HOP_MS
        ]
        remaining.sort(reverse=True)
        return tuple(
            data.UpstreamReport(tag, 0.0, avoid_ms)
            for avoid_ms, tag in remaining[:MAX_RELAYED_REPORTS]
        )
