"""The memory budget for answers of upstreams on their way to callers."""

import anyio

from sapphire_core.requests import memory_budget


class AnswerMemory:
    """A memory budget that makes callers of `reserve` wait while it is used up.

    An answer is not read from its upstream before its memory is reserved.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._budget = memory_budget.MemoryBudget(limit_bytes)
        self._memory_released = anyio.Event()

    def can_ever_fit(self, size_bytes: int) -> bool:
        """Returns whether an answer fits while no other memory is in use."""
        limit_bytes = self._budget.limit_bytes * memory_budget.SERVICE_SHARE
        return size_bytes <= limit_bytes

    async def reserve(self, service: str, size_bytes: int) -> None:
        """Waits until there is enough memory and reserves it."""
        while not self._budget.reserve(service, size_bytes):
            await self._memory_released.wait()

    def release(self, service: str, size_bytes: int) -> None:
        """Releases memory and wakes the tasks that wait for it."""
        self._budget.release(service, size_bytes)
        self._memory_released.set()
        self._memory_released = anyio.Event()
