"""Immutable records of a report."""

from collections.abc import Mapping
import dataclasses

from sapphire_core.slo import data as slo_data
from sapphire_ctl.fleet import data as fleet_data
from sapphire_data import failures


@dataclasses.dataclass(frozen=True, slots=True)
class HostCoverage:
    """A host whose counts are in the report, and their beginning.

    Attributes:
        host_id: Its identity.
        data_centre: Its data centre.
        since_ms: The wall time since which the host counts.
    """

    host_id: str
    data_centre: str
    since_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class BurnReport:
    """The evaluation of all objectives of an environment.

    Attributes:
        environment: The name of the environment.
        now_ms: The wall time of the report.
        burns: The evaluated objectives, the most urgent first.
        series_by_key: The counts from which they were evaluated.
        marks: The configuration changes, oldest first.
        hosts: The hosts whose counts are in the report.
        unanswered: The hosts that did not answer, whose counts are missing.
        hosts_left_out: The number of hosts of a large fleet that were not
            queried; a sample of hosts has a representative sample of flows.
        warnings: Why the store could not be read; defaults are used instead.
    """

    environment: str
    now_ms: int
    burns: tuple[slo_data.ObjectiveBurn, ...]
    series_by_key: Mapping[slo_data.SeriesKey, slo_data.SeriesCounts]
    marks: tuple[slo_data.ChangeMark, ...]
    hosts: tuple[HostCoverage, ...]
    unanswered: tuple[fleet_data.UnansweredHost, ...]
    hosts_left_out: int
    warnings: tuple[failures.Failure, ...]
