"""What the flows of one host still need of the history of a service."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryUsageReport:
    """What the flows that one host keeps need of a service's history.

    Attributes:
        host_id: The host.
        service: The service.
        oldest_generation: The oldest generation by whose owner the host has
            answered within the idle time; None if it is not needed.
        has_unowned_flows: Whether a flow has an upstream that owns its
            bucket in no carried generation.
        slow_starting: The upstreams of the service that are on a start ramp.
        observed_ms: For how long the host has observed the service.
    """

    host_id: str
    service: str
    oldest_generation: int | None
    has_unowned_flows: bool
    slow_starting: frozenset[str]
    observed_ms: int
