"""What a host knows of the era of the store.

Only the store itself tells its era. An era that a peer claims is a reason to
ask the store, since heartbeats can be forged.
"""

import dataclasses

import anyio

from sapphire_data import clock as clock_lib


@dataclasses.dataclass(slots=True)
class StoreEras:
    """The newest eras, by who has named them.

    Attributes:
        named: The newest that the store has named to this process.
        restored_ms: When the store named it in place of an older one; None if
            it has not come back from an older copy since the start.
        from_peers: The newest of which batches of peers are taken though the
            store has not named it, as it does not answer; else 0.
        claimed: The newest that a peer has claimed.
    """

    named: int = 0
    restored_ms: int | None = None
    from_peers: int = 0
    claimed: int = 0

    _is_restored: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    _is_claimed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    @property
    def accepted(self) -> int:
        """The newest era of which batches of peers are taken."""
        return max(self.named, self.from_peers)

    @property
    def has_open_claim(self) -> bool:
        """Whether a peer claims an era newer than the accepted one."""
        return self.claimed > self.accepted

    def record_restore(self, now_ms: int) -> None:
        """Records that the store has come back from an older copy.

        Args:
            now_ms: The current time.
        """
        self.restored_ms = now_ms
        self._is_restored.set()
        self._is_restored = anyio.Event()

    async def wait_for_restore(self, max_wait_ms: int) -> None:
        """Waits until the store comes back from an older copy.

        Args:
            max_wait_ms: How long to wait at most.
        """
        with anyio.move_on_after(max_wait_ms / clock_lib.MS_PER_SECOND):
            await self._is_restored.wait()

    def record_claim(self, era: int) -> None:
        """Records an era that a peer claims.

        Args:
            era: The era.
        """
        self.claimed = max(self.claimed, era)
        if self.has_open_claim:
            self._is_claimed.set()

    def drop_claims(self) -> None:
        """Forgets the claims, since they have been checked."""
        self.claimed = 0
        self._is_claimed = anyio.Event()

    async def wait_for_claim(self) -> None:
        """Waits until a peer claims an era that is not accepted."""
        await self._is_claimed.wait()
