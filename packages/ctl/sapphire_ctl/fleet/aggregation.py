"""What the answers of all hosts come to."""

from collections.abc import Iterable

from sapphire_core.slo import data as slo_data
from sapphire_core.slo import merge
from sapphire_ctl import failures
from sapphire_ctl.fleet import data
from sapphire_wire import api

_LEAVING = "leaving"


def sum_flows_by_upstream(
    answer: data.FleetStatus,
) -> dict[tuple[str, str], int] | None:
    """Adds up the flows of each upstream over hosts.

    Args:
        answer: The answers of the hosts.

    Returns:
        The flows by service and upstream, or None where no host answered or
        not all listed their upstreams.
    """
    if not answer.statuses or not answer.is_complete:
        return None
    sums: dict[tuple[str, str], int] = {}
    for status in answer.statuses:
        for upstream in status.upstreams:
            key = (upstream.service, upstream.upstream)
            sums[key] = sums.get(key, 0) + upstream.flows
    return sums


def find_hosts_not_in_force(
    answer: data.FleetStatus, revision: int, digest: str
) -> list[failures.NotInForce | failures.HostFailure]:
    """Lists the hosts in which a revision is not in force.

    A newer revision counts, since it follows the one asked for. The same
    revision with another document does not: it stems from before the store
    was restored from a backup.

    Args:
        answer: The answers of the hosts.
        revision: The revision.
        digest: The digest of its document; empty where it is not known.

    Returns:
        A failure for each such host, also for those without an answer, of
        which nothing is known; empty when it is in force everywhere.
    """
    found: list[failures.NotInForce | failures.HostFailure] = []
    for status in answer.statuses:
        if status.state is api.HostState.LEAVING:
            continue
        if status.active_revision > revision:
            continue
        if status.active_revision == revision and (
            not digest or status.active_digest == digest
        ):
            continue
        found.append(
            failures.NotInForce(
                host=status.host_id,
                expected_revision=revision,
                active_revision=status.active_revision,
                active_digest=status.active_digest,
                lag_ms=status.lag_ms,
            )
        )
    for member in answer.told:
        if member.state == _LEAVING or member.prepared_revision >= revision:
            continue
        found.append(
            failures.NotInForce(
                host=member.host_id,
                expected_revision=revision,
                active_revision=member.prepared_revision,
                active_digest="",
                lag_ms=0,
            )
        )
    found += [item.failure for item in answer.unanswered]
    return found


def merge_series(
    reports: Iterable[api.SloReport],
) -> dict[slo_data.SeriesKey, slo_data.SeriesCounts]:
    """Merges the counts of all hosts.

    Args:
        reports: The answers of the hosts; one for each host counts.

    Returns:
        The sums by service and objective; objectives that this version does
        not know are left out.
    """
    reports_by_host = {report.host_id: report for report in reports}
    series = []
    for report in reports_by_host.values():
        for item in report.series:
            record = _series(item)
            if record is not None:
                series.append(record)
    return merge.merge_series(series)


def collect_marks(
    reports: Iterable[api.SloReport],
) -> list[slo_data.ChangeMark]:
    """Returns the activations that hosts remember."""
    found = []
    for report in reports:
        for mark in report.marks:
            found.append(slo_data.ChangeMark(mark.revision, mark.activated_ms))
    return found


def _series(item: api.SloSeries) -> slo_data.SeriesCounts | None:
    """Returns the record of a series, if its objective is known."""
    try:
        objective = slo_data.Objective(item.objective)
    except ValueError:
        return None
    return slo_data.SeriesCounts(
        key=slo_data.SeriesKey(item.service, objective),
        tiers_by_width_ms={
            tier.width_ms: {
                bucket.index: slo_data.Counts(bucket.good, bucket.total)
                for bucket in tier.buckets
            }
            for tier in item.tiers
        },
    )
