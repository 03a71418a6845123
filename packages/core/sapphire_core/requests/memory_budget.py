"""A limit on the memory for bodies in flight."""

import collections
import dataclasses

# The largest share of one service, so that it cannot starve the others.
SERVICE_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class MemoryBudget:
    """Bytes reserved for each service, under a common limit.

    Attributes:
        limit_bytes: The most bytes that may be reserved at a time.
        used_bytes: The bytes reserved now.
    """

    limit_bytes: int
    used_bytes: int = 0
    _used_by_service: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def reserve(self, service: str, size_bytes: int) -> bool:
        """Reserves memory.

        Args:
            service: The service that the body belongs to.
            size_bytes: The size of the reservation.

        Returns:
            Whether both limits allowed it; if not, nothing is reserved.
        """
        used_by_service = self._used_by_service[service] + size_bytes
        if used_by_service > self.limit_bytes * SERVICE_SHARE:
            return False
        if self.used_bytes + size_bytes > self.limit_bytes:
            return False
        self._used_by_service[service] = used_by_service
        self.used_bytes += size_bytes
        return True

    def release(self, service: str, size_bytes: int) -> None:
        """Releases reserved memory."""
        self._used_by_service[service] -= size_bytes
        self.used_bytes -= size_bytes
        if not self._used_by_service[service]:
            del self._used_by_service[service]
