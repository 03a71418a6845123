"""When a pool generation or an overlay is no longer needed.

Each host reports what its flows still need; the reports spread as gossip
facts. The writer of the configuration drops generations by the proposal, and
never before every live member has reported.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from sapphire_core.flows import data
from sapphire_data import records


@dataclasses.dataclass(frozen=True, slots=True)
class NeedReport:
    """What the flows that one host keeps need of a service's history.

    Attributes:
        host_id: The host.
        service: The service.
        oldest_generation: The oldest generation by whose owner the host has
            answered within the idle time; None if it is not needed.
        has_spilled: Whether a flow was placed at an upstream that is not an
            owner of its bucket in any carried generation.
        ramping: The upstreams of the service that are on a start ramp.
        observed_ms: For how long the host has observed the service.
    """

    host_id: str
    service: str
    oldest_generation: int | None
    has_spilled: bool
    ramping: frozenset[str]
    observed_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CutProposal:
    """The generations of a service that may be dropped.

    Attributes:
        service: The service.
        keep_from: The number of the oldest generation to keep.
    """

    service: str
    keep_from: int


def propose(
    service: records.Service,
    reports: Iterable[NeedReport],
    members_by_id: Mapping[str, records.Member],
    idle_ms: int,
) -> CutProposal | None:
    """Proposes which generations of a service may be dropped.

    Args:
        service: The service with its generations.
        reports: The newest report of each host.
        members_by_id: The live members.
        idle_ms: The time after which an open flow has spoken.

    Returns:
        The proposal, None if nothing may be dropped. A host that has not
        reported, or has not observed for the idle time, forbids any cut.
    """
    if not service.generations:
        return None
    found = _settled_reports(service, reports, members_by_id, idle_ms)
    if found is None:
        return None
    keep_from = service.generations[-1].number
    for report in found:
        if report.oldest_generation is not None:
            keep_from = min(keep_from, report.oldest_generation)
    if keep_from <= service.generations[0].number:
        return None
    return CutProposal(service.name, keep_from)


def propose_settled(
    service: records.Service,
    overlays: Iterable[data.Overlay],
    reports: Iterable[NeedReport],
    members_by_id: Mapping[str, records.Member],
    idle_ms: int,
) -> list[data.Overlay]:
    """Proposes the overlays of a service that are no longer needed.

    Args:
        service: The service.
        overlays: The overlays in force.
        reports: The newest report of each host.
        members_by_id: The live members.
        idle_ms: The time after which an open flow has spoken.

    Returns:
        The overlays that settle the buckets of their upstreams again.
    """
    found = _settled_reports(service, reports, members_by_id, idle_ms)
    if found is None:
        return []
    ramping = frozenset(name for report in found for name in report.ramping)
    lasting = (data.OverlayState.FAILED, data.OverlayState.SETTLED)
    proposals = []
    for overlay in overlays:
        if overlay.upstream not in service.upstreams_by_name:
            continue
        if overlay.state in lasting or overlay.upstream in ramping:
            continue
        proposals.append(
            dataclasses.replace(
                overlay,
                state=data.OverlayState.SETTLED,
                version=overlay.version + 1,
            )
        )
    return proposals


def _settled_reports(
    service: records.Service,
    reports: Iterable[NeedReport],
    members_by_id: Mapping[str, records.Member],
    idle_ms: int,
) -> list[NeedReport] | None:
    """Returns the reports of all live members, None if any forbids a cut."""
    reports_by_host = {}
    for report in reports:
        if report.service == service.name:
            reports_by_host[report.host_id] = report
    found = []
    for host_id in members_by_id:
        report_of_host = reports_by_host.get(host_id)
        if report_of_host is None or report_of_host.observed_ms < idle_ms:
            return None
        if report_of_host.has_spilled:
            return None
        found.append(report_of_host)
    return found
