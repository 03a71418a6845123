"""How much worse an upstream does than the others of its service.

Assessed from the counts of all hosts of a data centre, with the error of the
estimate on the side of the upstream.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math

from sapphire_core.peers import outcome_reports

# Bad ends that count as evidence at the least, over all hosts.
MIN_BAD = 2
# Response times that count as evidence at the least, over all hosts.
MIN_ANSWERED = 5
# The share of bad ends, less the error of the estimate, from which on an
# upstream is an outlier, and in excess of the others of its service.
MIN_FAILING_SHARE = 0.15
# How many times the usual time the responses take, less the error.
MIN_SLOWNESS = 2.0
# The standard deviation of one response time in units of the usual time: that
# of the users' work, of which a few percent take seven times as long.
TIME_DEVIATION = 1.3
# A failed request makes its caller wait for another try: for about as long as
# this many requests take.
FAILED_REQUEST_COST = 16.0


@dataclasses.dataclass(frozen=True, slots=True)
class Assessment:
    """How much worse an upstream does than its service.

    Attributes:
        well: The requests that ended well, over all hosts that count.
        badly: Those that ended badly or hang.
        hosts: How many hosts saw any of them.
        failing_share: The share that ends badly, less its error.
        slowness: The response time relative to the usual one, less its error.
        penalty: By how many requests in flight it is worse; 0 if it is none of
            the outliers.
        oldest_ms: The age of the oldest report.
    """

    well: int
    badly: int
    hosts: int
    failing_share: float
    slowness: float
    penalty: float
    oldest_ms: int


def outliers(
    tags: Iterable[int],
    evidence_by_tag: Mapping[int, outcome_reports.Evidence],
) -> dict[int, Assessment]:
    """Returns the outliers among the upstreams of a service, by their tags.

    Args:
        tags: The tags of its upstreams.
        evidence_by_tag: What hosts have counted; upstreams without any do well.
    """
    assessed: dict[int, Assessment] = {}
    shares: list[float] = []
    for tag in tags:
        evidence = evidence_by_tag.get(tag)
        if evidence is not None:
            assessed[tag] = assess(evidence)
        shares.append(assessed[tag].failing_share if tag in assessed else 0.0)
    shares.sort()
    usual_share = shares[len(shares) // 2] if shares else 0.0
    return {
        tag: assessment
        for tag, assessment in assessed.items()
        if assessment.slowness >= MIN_SLOWNESS
        or assessment.failing_share >= usual_share + MIN_FAILING_SHARE
    }


def assess(evidence: outcome_reports.Evidence) -> Assessment:
    """Returns what the counts of all hosts say of an upstream.

    The peer that reports the most against it does not count, so no single peer
    brings an upstream into disrepute: either this host or two peers have to
    find it failing, or slow.

    Args:
        evidence: The counts.
    """
    own: tuple[outcome_reports.Counts, ...] = ()
    if evidence.own is not None:
        own = (evidence.own,)
    by_bad = sorted(evidence.of_peers, key=lambda counts: counts.badly)
    by_time = sorted(evidence.of_peers, key=lambda counts: counts.time_ratio)
    share = failing_share = 0.0
    if sum(counts.badly for counts in own + tuple(by_bad)) >= MIN_BAD:
        share, failing_share = _failing_shares(own + tuple(by_bad[:-1]))
    slowness = _slowness(own + tuple(by_time[:-1]))
    penalty = max(FAILED_REQUEST_COST * share, slowness - 1.0, 0.0)
    return Assessment(
        sum(counts.well for counts in own + evidence.of_peers),
        sum(counts.badly for counts in own + evidence.of_peers),
        len(own) + len(evidence.of_peers),
        failing_share,
        slowness,
        penalty,
        evidence.oldest_ms,
    )


def _failing_shares(
    hosts: Sequence[outcome_reports.Counts],
) -> tuple[float, float]:
    """Returns the share of bad ends, and less one standard error (Wilson).

    Both lean to a half while there are few requests.
    """
    badly = sum(counts.badly for counts in hosts)
    total = badly + sum(counts.well for counts in hosts)
    if badly == 0:
        return 0.0, 0.0
    share = badly / total
    centre = share + 1 / (2 * total)
    error = math.sqrt(share * (1 - share) / total + 1 / (4 * total * total))
    scale = 1 + 1 / total
    return centre / scale, max(0.0, (centre - error) / scale)


def _slowness(hosts: Sequence[outcome_reports.Counts]) -> float:
    """Returns the mean relative response time, less two standard errors."""
    answered = sum(counts.answered for counts in hosts)
    if answered < MIN_ANSWERED:
        return 1.0
    total = sum(counts.answered * counts.time_ratio for counts in hosts)
    return total / answered - 2 * TIME_DEVIATION / math.sqrt(answered)
