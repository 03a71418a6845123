"""The pool generations of a service that the flows of one host still need."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryUsageReport:
    """The generations that the flows of one host need of a service's history.

    Attributes:
        host_id: The host.
        service: The service.
        oldest_generation: The oldest generation that the flows need: the
            history can be truncated up to it, but not further, without losing
            a flow. None if the flows need no generation.
        has_unowned_flows: Whether the upstream of a recorded flow owns its
            bucket in no known generation.
        slow_starting: The upstreams of the service that are in slow start.
        observed_ms: For how long the host has observed the service.
    """

    host_id: str
    service: str
    oldest_generation: int | None
    has_unowned_flows: bool
    slow_starting: frozenset[str]
    observed_ms: int
