"""Joins what this host and its peers have seen of requests, and ejects by it.

Runs with each round of heartbeats. While no host has bad signs it does nothing.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping

from sapphire_core.peers import data as peer_data
from sapphire_core.peers import outcome_reports
from sapphire_core.tagged_flows import upstream_table as upstream_table_lib
from sapphire_core.tagged_flows.health import outlier_ejection
from sapphire_core.tagged_flows.health import path_time as path_time_lib
from sapphire_core.tagged_flows.health import request_outcomes

InFlight = Callable[[upstream_table_lib.Entry], float]


class EjectionControl:
    """Judges the upstreams of each service that has bad signs.

    Attributes:
        outcomes: What became of the requests that this host saw.
        own_reports: What this host tells its peers.

    Args:
        upstream_table: The upstreams known to this host.
        ejection: Which upstreams are ejected.
        in_flight: Returns the estimated in-flight requests at an upstream.
        path_time: How long packets take on the way.
    """

    def __init__(
        self,
        upstream_table: upstream_table_lib.UpstreamTable,
        ejection: outlier_ejection.OutlierEjection,
        in_flight: InFlight,
        path_time: path_time_lib.PathTime,
    ) -> None:
        self._upstream_table = upstream_table
        self._ejection = ejection
        self._in_flight = in_flight
        self.outcomes = request_outcomes.RequestOutcomes(path_time)
        self.own_reports: tuple[peer_data.OutcomeReport, ...] = ()
        # The upstreams that some peer reported last.
        self._reported_tags: Collection[int] = ()

    def update_own_reports(self) -> None:
        """Counts what this host tells its peers."""
        self.own_reports = outcome_reports.own_reports(
            self.outcomes.by_tag(), self._reported_tags
        )

    def update(
        self,
        evidence_by_tag: Mapping[int, outcome_reports.Evidence],
        now_ms: int,
    ) -> list[outlier_ejection.EjectionChange]:
        """Judges the upstreams by what all hosts have counted.

        Args:
            evidence_by_tag: What near peers report, by the tag of the upstream.
            now_ms: The current time.

        Returns:
            What has changed.
        """
        self._reported_tags = evidence_by_tag.keys()
        own_by_tag = self.outcomes.by_tag()
        self.own_reports = outcome_reports.own_reports(
            own_by_tag, evidence_by_tag.keys()
        )
        merged = dict(evidence_by_tag)
        for report in self.own_reports:
            known = merged.get(report.tag)
            merged[report.tag] = outcome_reports.Evidence(
                outcome_reports.bounded(own_by_tag[report.tag]),
                known.of_peers if known is not None else (),
                known.oldest_ms if known is not None else 0,
            )
        self._ejection.note_suspects(merged.keys(), now_ms)
        changes: list[outlier_ejection.EjectionChange] = []
        for service in self._services(merged):
            changes.extend(
                self._ejection.update(
                    service, self._members(service, now_ms), merged, now_ms
                )
            )
        return changes

    def _services(
        self, evidence_by_tag: Mapping[int, outcome_reports.Evidence]
    ) -> list[str]:
        """Returns the services with bad signs or ejected upstreams."""
        entries = [self._upstream_table.by_tag(tag) for tag in evidence_by_tag]
        entries.extend(
            self._upstream_table.by_id.get(upstream_id)
            for upstream_id in self._ejection.ejected_ids()
        )
        return sorted(
            {entry.upstream.service for entry in entries if entry is not None}
        )

    def _members(
        self, service: str, now_ms: int
    ) -> list[outlier_ejection.Member]:
        """Returns the upstreams of a service that may get new flows."""
        return [
            outlier_ejection.Member(
                entry.upstream.upstream_id,
                entry.tag,
                entry.upstream.slots,
                self._in_flight(entry),
            )
            for entry in self._upstream_table.eligible_upstreams(
                service, now_ms
            )
        ]
