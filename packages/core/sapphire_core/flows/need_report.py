"""What the flows of one host still need of the history of a service."""

import dataclasses


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
