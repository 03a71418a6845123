"""Builds the report of a host on its service-level counts."""

from sapphire_core.slo import counters
from sapphire_core.slo import data
from sapphire_wire import api


def build(
    counted: counters.SloCounters,
    host_id: str,
    data_centre: str,
    now_ms: int,
    service: str | None,
) -> api.SloReport:
    """Builds the response of `GET /v1/slo`.

    Args:
        counted: The counters of the host.
        host_id: The identity of the host process.
        data_centre: The name of the host's data centre.
        now_ms: The wall time.
        service: The service whose counts are reported; None for all.

    Returns:
        The response.
    """
    return api.SloReport(
        host_id=host_id,
        data_centre=data_centre,
        since_ms=counted.since_ms,
        now_ms=now_ms,
        series=tuple(
            _series(record) for record in counted.snapshot(now_ms, service)
        ),
        marks=tuple(
            api.ChangeMark(revision=mark.revision, activated_ms=mark.at_ms)
            for mark in counted.marks()
        ),
    )


def _series(record: data.SeriesCounts) -> api.SloSeries:
    """Returns the response model of one series."""
    tiers = []
    for width_ms, counts_by_index in record.tiers_by_width_ms.items():
        buckets = tuple(
            api.SloBucket(index=index, good=counts.good, total=counts.total)
            for index, counts in counts_by_index.items()
        )
        tiers.append(api.SloTier(width_ms=width_ms, buckets=buckets))
    return api.SloSeries(
        service=record.key.service,
        objective=record.key.objective.value,
        tiers=tuple(tiers),
    )
