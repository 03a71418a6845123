"""Which pool generations one host permits to be truncated.

A usage report of the router tells which generations the flows needed since the
router first had the service. It tells nothing yet about a generation that was
just added, or about buckets of which this host has just become a replica host.
So a host permits a truncation only if the generations and the members have not
changed for the idle time and the host has observed them without a gap.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

import xxhash

from sapphire_core.flows import history_usage_report
from sapphire_data import records

# All hosts have activated a revision within this time after it arrived.
SETTLE_MS = 60_000
# After a longer gap between two calls the process was stalled, so the host may
# have missed a change.
MAX_GAP_MS = 5_000
MAX_PERMITS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReport:
    """The truncations that one host permits.

    Attributes:
        members_digest: The digest of the members that the host knows.
        keep_from_by_service: The oldest generation to keep, for each service
            whose history the host permits to truncate.
    """

    members_digest: int
    keep_from_by_service: Mapping[str, int]


class StabilityTracker:
    """Tracks for how long members and generations have not changed.

    Attributes:
        members_digest: The digest of the members in the last view.

    Args:
        idle_ms: The time within which each open flow sends a packet.
        now_ms: The current time.
    """

    def __init__(self, idle_ms: int, now_ms: int) -> None:
        self.members_digest = 0
        self._wait_ms = idle_ms + SETTLE_MS
        self._idle_ms = idle_ms
        self._unchanged_since_ms = now_ms
        self._recorded_ms = now_ms
        self._known_since_ms: dict[tuple[str, int], int] = {}

    def record_view(self, view: records.MemberView, now_ms: int) -> None:
        """Records the membership; to be called at least once a second.

        Args:
            view: The membership. A host that is not fresh selects other
                upstreams for new flows than its peers, so it starts to observe
                again.
            now_ms: The current time.
        """
        digest = digest_of(view.members_by_id)
        has_gap = now_ms - self._recorded_ms > MAX_GAP_MS
        if digest != self.members_digest or has_gap or not view.is_fresh:
            self._unchanged_since_ms = now_ms
        self.members_digest = digest
        self._recorded_ms = now_ms

    def record_configuration(
        self, configuration: records.Configuration, now_ms: int
    ) -> None:
        """Records when each pool generation was added.

        To be called with each new configuration.

        Args:
            configuration: The newest configuration of this host.
            now_ms: The current time.
        """
        known_since_ms: dict[tuple[str, int], int] = {}
        for service in configuration.services_by_name.values():
            for generation in service.generations:
                key = (service.name, generation.number)
                since_ms = self._known_since_ms.get(key, now_ms)
                known_since_ms[key] = since_ms
        self._known_since_ms = known_since_ms

    def report(
        self,
        configuration: records.Configuration,
        usages: Iterable[history_usage_report.HistoryUsageReport],
        now_ms: int,
    ) -> PermitReport:
        """Returns the truncations that this host permits.

        Args:
            configuration: The newest configuration of this host.
            usages: The usage reports of the router.
            now_ms: The current time.

        Returns:
            The report. The services with the longest history come first if
            there are more than `MAX_PERMITS`.
        """
        found: list[tuple[int, str, int]] = []
        if now_ms - self._unchanged_since_ms >= self._wait_ms:
            for usage in usages:
                service = configuration.services_by_name.get(usage.service)
                if service is None:
                    continue
                keep_from = self._permit(service, usage, now_ms)
                if keep_from is not None:
                    rank = -len(service.generations)
                    found.append((rank, service.name, keep_from))
        found.sort()
        return PermitReport(
            self.members_digest,
            {name: keep_from for _, name, keep_from in found[:MAX_PERMITS]},
        )

    def _permit(
        self,
        service: records.Service,
        usage: history_usage_report.HistoryUsageReport,
        now_ms: int,
    ) -> int | None:
        """Returns the oldest generation to keep, None if that is the first."""
        if usage.has_unowned_flows or usage.slow_starting:
            return None
        if usage.observed_ms < self._idle_ms:
            return None
        keep_from = None
        for generation in service.generations[1:]:
            key = (service.name, generation.number)
            since_ms = self._known_since_ms.get(key, now_ms)
            if now_ms - since_ms < self._wait_ms:
                break
            needed = usage.oldest_generation
            if needed is not None and generation.number > needed:
                break
            keep_from = generation.number
        return keep_from


def digest_of(members_by_id: Mapping[str, records.Member]) -> int:
    """Returns a digest of what determines the replica hosts of buckets.

    Args:
        members_by_id: All members that are not dead.

    Returns:
        The digest; it differs if a member or its leaving state differs.
    """
    digest = xxhash.xxh3_64()
    for host_id in sorted(members_by_id):
        state = members_by_id[host_id].state
        is_leaving = state is records.MemberState.LEAVING
        digest.update(f"{host_id} {is_leaving}\n".encode())
    return digest.intdigest()
