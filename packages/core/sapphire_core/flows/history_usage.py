"""Which pool generations of a service the flows of this host still need."""

from collections.abc import Iterable

from sapphire_core.flows import history_usage_report
from sapphire_core.flows import routes as routes_lib

UsedMsByGeneration = dict[int, int]


class HistoryUsage:
    """When packets were last routed by each generation of each service."""

    def __init__(self) -> None:
        self._used_ms_by_service: dict[str, UsedMsByGeneration] = {}
        self._since_ms_by_service: dict[str, int] = {}

    def record_default_owner(
        self, routes: routes_lib.Routes, bucket: int, now_ms: int
    ) -> None:
        """Records that a flow without a record went to its default owner.

        The flow needs the newest generation up to which the owner of its bucket
        has stayed the same: a truncation that keeps this generation does not
        change its upstream.

        Args:
            routes: The routes of the service.
            bucket: The bucket of the flow.
            now_ms: The current time.
        """
        default_owner = routes.generations[0].owner(bucket)
        number = routes.generations[0].number
        for generation in routes.generations[1:]:
            if generation.owner(bucket) != default_owner:
                break
            number = generation.number
        used = self._used_ms_by_service.setdefault(routes.name, {})
        used[number] = now_ms

    def start(self, service: str, now_ms: int) -> None:
        """Starts to observe a service, unless that has been done before."""
        self._since_ms_by_service.setdefault(service, now_ms)

    def report(
        self,
        host_id: str,
        routes: routes_lib.Routes,
        flows: Iterable[tuple[int, str]],
        slow_starting: frozenset[str],
        *,
        idle_ms: int,
        now_ms: int,
    ) -> history_usage_report.HistoryUsageReport:
        """Returns what the flows of this host need.

        A recorded flow needs the newest generation in which its upstream owns
        its bucket. Once the history holds only later generations, the bucket
        may be settled with another owner, and the record is no longer used.

        Args:
            host_id: The identity of this host.
            routes: The routes of the service.
            flows: The recorded flows with their upstreams.
            slow_starting: The upstreams that are in slow start on this host.
            idle_ms: The time within which each open flow sends a packet.
            now_ms: The current time.

        Returns:
            The report.
        """
        needed = []
        for number, used_ms in self._used_ms_by_service.get(
            routes.name, {}
        ).items():
            if now_ms - used_ms < idle_ms:
                needed.append(number)
        has_unowned_flows = False
        for flow_hash, upstream in flows:
            newest = _newest_with_owner(routes, flow_hash, upstream)
            if newest is None:
                has_unowned_flows = True
                continue
            needed.append(newest)
        since_ms = self._since_ms_by_service.get(routes.name, now_ms)
        return history_usage_report.HistoryUsageReport(
            host_id=host_id,
            service=routes.name,
            oldest_generation=min(needed, default=None),
            has_unowned_flows=has_unowned_flows,
            slow_starting=slow_starting
            & routes.service.upstreams_by_name.keys(),
            observed_ms=now_ms - since_ms,
        )


def _newest_with_owner(
    routes: routes_lib.Routes, flow_hash: int, upstream: str
) -> int | None:
    """Returns the newest generation in which an upstream owns the bucket."""
    bucket = flow_hash % routes.bucket_count
    for generation in reversed(routes.generations):
        if generation.owner(bucket) == upstream:
            return generation.number
    return None
