"""Aggregates the status and the service-level counts of all hosts."""

from collections.abc import Iterable

from sapphire_core.slo import data as slo_data
from sapphire_core.slo import merge
from sapphire_ctl import failures
from sapphire_ctl.fleet import data
from sapphire_wire import api

_LEAVING_STATE = "leaving"


def sum_flows_by_upstream(
    fleet_status: data.FleetStatus,
) -> dict[tuple[str, str], int] | None:
    """Sums the flows of each upstream over all hosts.

    Hosts count the flows opened since they started, of which some have ended.

    Args:
        fleet_status: The status of all hosts.

    Returns:
        The flows by service and upstream; None if no host answered or not all
        hosts listed their upstreams.
    """
    if not fleet_status.statuses or not fleet_status.is_complete:
        return None
    sums: dict[tuple[str, str], int] = {}
    for status in fleet_status.statuses:
        for upstream in status.upstreams:
            key = (upstream.service, upstream.upstream)
            sums[key] = sums.get(key, 0) + upstream.flows
    return sums


def find_hosts_not_in_force(
    fleet_status: data.FleetStatus, revision: int, digest: str
) -> list[failures.NotInForce | failures.HostFailure]:
    """Lists the hosts on which a revision is not in force.

    A host with a newer revision is not listed, since that follows the given
    one. A host that has the same revision with another document is listed: its
    revision is from before the store was restored from a backup. Of a host that
    was not queried, only the revision that its peers report as prepared is
    known; that one is compared instead of the one in force.

    Args:
        fleet_status: The status of all hosts.
        revision: The revision.
        digest: The digest of its document; empty if it is not known.

    Returns:
        A failure for each such host and for each host that did not answer,
        of which nothing is known; empty if the revision is in force on all.
    """
    not_in_force: list[failures.NotInForce | failures.HostFailure] = []
    for status in fleet_status.statuses:
        if status.state is api.HostState.LEAVING:
            continue
        if status.active_revision > revision:
            continue
        if status.active_revision == revision and (
            not digest or status.active_digest == digest
        ):
            continue
        not_in_force.append(
            failures.NotInForce(
                host=status.host_id,
                expected_revision=revision,
                active_revision=status.active_revision,
                active_digest=status.active_digest,
                lag_ms=status.lag_ms,
            )
        )
    for member in fleet_status.told:
        if (
            member.state == _LEAVING_STATE
            or member.prepared_revision >= revision
        ):
            continue
        not_in_force.append(
            failures.NotInForce(
                host=member.host_id,
                expected_revision=revision,
                active_revision=member.prepared_revision,
                active_digest="",
                lag_ms=0,
            )
        )
    not_in_force += [item.failure for item in fleet_status.unanswered]
    return not_in_force


def merge_series(
    reports: Iterable[api.SloReport],
) -> dict[slo_data.SeriesKey, slo_data.SeriesCounts]:
    """Merges the service-level counts of all hosts.

    Args:
        reports: The reports of the hosts; the last one of each host counts.

    Returns:
        The sums by service and objective; objectives that this version does
        not know are left out.
    """
    reports_by_host = {report.host_id: report for report in reports}
    series = []
    for report in reports_by_host.values():
        for item in report.series:
            counts = _decode_series(item)
            if counts is not None:
                series.append(counts)
    return merge.merge_series(series)


def collect_marks(
    reports: Iterable[api.SloReport],
) -> list[slo_data.ChangeMark]:
    """Returns the activations of configurations that hosts report."""
    change_marks = []
    for report in reports:
        for mark in report.marks:
            change_marks.append(
                slo_data.ChangeMark(mark.revision, mark.activated_ms)
            )
    return change_marks


def _decode_series(item: api.SloSeries) -> slo_data.SeriesCounts | None:
    """Decodes a series; returns None if its objective is not known."""
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
