"""Builders of service-level counts for tests."""

from sapphire_core.slo import counters
from sapphire_core.slo import data
from sapphire_core.slo import merge
from sapphire_wire import api
from sapphire_wire import slo_report

SERVICE = "rota"
KEY = data.SeriesKey(SERVICE, data.Objective.REQUESTS_ANSWERED)
# A whole number of days, so that windows start at the boundary of an interval
# of each tier.
NOW_MS = 1_800_000_000_000 // data.MS_PER_DAY * data.MS_PER_DAY


def counters_with_failures(
    from_ms: int,
    until_ms: int,
    bad_from_ms: int,
    bad_per_thousand: int,
    step_ms: int = data.MS_PER_MINUTE,
) -> counters.SloCounters:
    """Builds counters of a service whose requests fail from one moment on.

    Args:
        from_ms: The wall time of the first thousand requests.
        until_ms: The wall time at which requests end.
        bad_from_ms: The wall time from which some requests are bad.
        bad_per_thousand: The number of bad requests of each thousand from
            `bad_from_ms` on.
        step_ms: The time from each thousand requests to the next.

    Returns:
        The counters.
    """
    built = counters.SloCounters(from_ms)
    for wall_ms in range(from_ms, until_ms, step_ms):
        bad = bad_per_thousand if wall_ms >= bad_from_ms else 0
        built.record_requests(SERVICE, 1_000 - bad, 1_000, wall_ms)
    return built


def request_series(
    built: counters.SloCounters, now_ms: int = NOW_MS
) -> data.SeriesCounts:
    """Returns the counts of requests of the service `SERVICE`."""
    return merge.merge_series(built.snapshot(now_ms))[KEY]


def host_slo_report(
    built: counters.SloCounters, host_id: str, now_ms: int
) -> api.SloReport:
    """Returns the report that a host would send about its counters.

    Args:
        built: The counters.
        host_id: The identity of the host.
        now_ms: The wall time.

    Returns:
        The response of `GET /v1/slo`.
    """
    return slo_report.build(built, host_id, "tacoma", now_ms, None)
