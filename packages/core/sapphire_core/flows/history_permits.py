"""Which pool generations one host allows to be dropped.

A need report of the router says what has used the history since the service
was first seen. Neither a generation that has just come nor buckets that this
host has just got to keep have been observed yet. So a host allows a cut only
for what has stood still, while it watched, for the idle time.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

import xxhash

from sapphire_core.flows import history_usage_report
from sapphire_data import records

# A revision is in force at all hosts within this time of its arrival.
SETTLE_MS = 60_000
# A host that was paused did not observe.
MAX_GAP_MS = 5_000
MAX_PERMITS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReport:
    """What one host allows.

    Attributes:
        members_digest: The digest of the members that the host knows.
        keep_from_by_service: The oldest generation to keep, for each service
            of which the host allows to drop some.
    """

    members_digest: int
    keep_from_by_service: Mapping[str, int]


class StabilityTracker:
    """For how long the members and the generations have stood still.

    Args:
        idle_ms: The time after which an open flow has spoken.
        now_ms: The current time.
    """

    def __init__(self, idle_ms: int, now_ms: int) -> None:
        self.members_digest = 0
        self._wait_ms = idle_ms + SETTLE_MS
        self._idle_ms = idle_ms
        self._still_since_ms = now_ms
        self._noted_ms = now_ms
        self._known_since_ms: dict[tuple[str, int], int] = {}

    def record_view(self, view: records.MemberView, now_ms: int) -> None:
        """Takes the membership; to be called every second at least.

        Args:
            view: The membership. A host that is not fresh places flows where
                others would not, so it starts to observe again.
            now_ms: The current time.
        """
        digest = digest_of(view.members_by_id)
        has_gap = now_ms - self._noted_ms > MAX_GAP_MS
        if digest != self.members_digest or has_gap or not view.is_fresh:
            self._still_since_ms = now_ms
        self.members_digest = digest
        self._noted_ms = now_ms

    def record_configuration(
        self, configuration: records.Configuration, now_ms: int
    ) -> None:
        """Takes the newest configuration of this host.

        Args:
            configuration: The configuration.
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
        needs: Iterable[history_usage_report.HistoryUsageReport],
        now_ms: int,
    ) -> PermitReport:
        """Returns what this host allows.

        Args:
            configuration: The newest configuration of this host.
            needs: The need reports of the router.
            now_ms: The current time.

        Returns:
            The report. The services with the longest history come first if
            there are more than `MAX_PERMITS`.
        """
        found: list[tuple[int, str, int]] = []
        if now_ms - self._still_since_ms >= self._wait_ms:
            for need in needs:
                service = configuration.services_by_name.get(need.service)
                if service is None:
                    continue
                keep_from = self._permit(service, need, now_ms)
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
        need: history_usage_report.HistoryUsageReport,
        now_ms: int,
    ) -> int | None:
        """Returns the oldest generation to keep, None if that is the first."""
        if need.has_unowned_flows or need.slow_starting:
            return None
        if need.observed_ms < self._idle_ms:
            return None
        keep_from = None
        for generation in service.generations[1:]:
            key = (service.name, generation.number)
            since_ms = self._known_since_ms.get(key, now_ms)
            if now_ms - since_ms < self._wait_ms:
                break
            needed = need.oldest_generation
            if needed is not None and generation.number > needed:
                break
            keep_from = generation.number
        return keep_from


def digest_of(members_by_id: Mapping[str, records.Member]) -> int:
    """Returns a digest of the members that decides who keeps a bucket.

    Args:
        members_by_id: All members that are not dead.
    """
    digest = xxhash.xxh3_64()
    for host_id in sorted(members_by_id):
        state = members_by_id[host_id].state
        is_leaving = state is records.MemberState.LEAVING
        digest.update(f"{host_id} {is_leaving}\n".encode())
    return digest.intdigest()
