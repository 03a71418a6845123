"""Memory of answers in flight; upstreams wait while it is in use."""

import anyio

from sapphire_core.requests import memory_budget


class AnswerMemory:
    """A memory budget whose users wait for room."""

    def __init__(self, limit_bytes: int) -> None:
        self._budget = memory_budget.MemoryBudget(limit_bytes)
        self._has_room = anyio.Event()

    def fits(self, size_bytes: int) -> bool:
        """Whether an answer of this size can ever be held."""
        limit_bytes = self._budget.limit_bytes * memory_budget.SERVICE_SHARE
        return size_bytes <= limit_bytes

    async def reserve(self, service: str, size_bytes: int) -> None:
        """Waits until there is room and reserves it."""
        while not self._budget.reserve(service, size_bytes):
            await self._has_room.wait()

    def release(self, service: str, size_bytes: int) -> None:
        """Gives memory back and wakes those that wait."""
        self._budget.release(service, size_bytes)
        self._has_room.set()
        self._has_room = anyio.Event()
