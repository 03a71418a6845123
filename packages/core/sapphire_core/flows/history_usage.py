"""Which generations of a service the flows of this host still need."""

from collections.abc import Iterable

from sapphire_core.flows import history_usage_report
from sapphire_core.flows import routes as routes_lib

ServiceUse = dict[int, int]


class HistoryUsage:
    """When each generation of each service last told an upstream."""

    def __init__(self) -> None:
        self._used_ms_by_service: dict[str, ServiceUse] = {}
        self._since_ms_by_service: dict[str, int] = {}

    def note_base(
        self, routes: routes_lib.Routes, bucket: int, now_ms: int
    ) -> None:
        """Notes an answer by the base owner of a bucket.

        The flow is kept by any cut to a generation up to which the owner of
        its bucket has stayed the same.
        """
        base = routes.generations[0].owner(bucket)
        number = routes.generations[0].number
        for generation in routes.generations[1:]:
            if generation.owner(bucket) != base:
                break
            number = generation.number
        used = self._used_ms_by_service.setdefault(routes.name, {})
        used[number] = now_ms

    def note_start(self, service: str, now_ms: int) -> None:
        """Notes that this host observes a service from now on."""
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

        A recorded flow needs the newest generation that names its upstream,
        since the flow is lost once a later one decides its bucket alone.

        Args:
            host_id: The identity of this host.
            routes: The routes of the service.
            flows: The recorded flows with their upstreams.
            slow_starting: The upstreams that are on a start ramp here.
            idle_ms: The time after which an open flow has spoken.
            now_ms: The current time.
        """
        needed = []
        for number, used_ms in self._used_ms_by_service.get(
            routes.name, {}
        ).items():
            if now_ms - used_ms < idle_ms:
                needed.append(number)
        has_unowned_flows = False
        for flow_hash, upstream in flows:
            named = _newest_naming(routes, flow_hash, upstream)
            if named is None:
                has_unowned_flows = True
                continue
            needed.append(named)
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


def _newest_naming(
    routes: routes_lib.Routes, flow_hash: int, upstream: str
) -> int | None:
    """Returns the newest generation that gives a flow its upstream."""
    bucket = flow_hash % routes.bucket_count
    for generation in reversed(routes.generations):
        if generation.owner(bucket) == upstream:
            return generation.number
    return None
