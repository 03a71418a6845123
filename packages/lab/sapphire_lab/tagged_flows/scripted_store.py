"""A store that gives scripted answers, for tests of the tasks that call it."""

import anyio

from sapphire_core.replication import data
from sapphire_node.entry import platform_interface

Answer = (
    data.Batch
    | data.Snapshot
    | data.Announcement
    | data.SourceFailure
    | int
    | None
)
# What a full read records among the calls.
READ_ALL = -1


class ScriptedStore:
    """A store that gives answers from a list and then never answers again.

    Args:
        answers: The answers, in order; None for a renewal that succeeds.

    Attributes:
        calls: The revision of each wait for changes, `READ_ALL` for each read
            of all items, the name of each other call.
        close_count: How often a connection was closed.
        era: The newest era that the store has named.
    """

    def __init__(self, answers: list[Answer]) -> None:
        self.answers = answers
        self.calls: list[int | str] = []
        self.close_count = 0
        self.era = 0

    async def _next(self) -> Answer:
        await anyio.sleep(0)
        if not self.answers:
            await anyio.sleep_forever()
        return self.answers.pop(0)

    async def read_snapshot(
        self, timeout_ms: int
    ) -> data.Snapshot | data.SourceFailure:
        """See `platform_interface.StoreClient`."""
        self.calls.append("snapshot")
        answer = await self._next()
        assert isinstance(answer, data.Snapshot | data.SourceFailure)
        return answer

    async def read_all(
        self, scope: data.Scope, timeout_ms: int
    ) -> data.Batch | data.SourceFailure:
        """See `platform_interface.StoreClient`."""
        self.calls.append(READ_ALL)
        answer = await self._next()
        assert isinstance(answer, data.Batch | data.SourceFailure)
        return answer

    async def read_all_allow_stale(
        self, scope: data.Scope, timeout_ms: int
    ) -> data.Batch | data.SourceFailure:
        """See `platform_interface.StoreClient`."""
        return await self.read_all(scope, timeout_ms)

    async def wait_for_changes(
        self,
        scope: data.Scope,
        after_revision: int,
        wait_ms: int,
        timeout_ms: int,
    ) -> data.Batch | data.SourceFailure:
        """See `platform_interface.StoreClient`."""
        self.calls.append(after_revision)
        answer = await self._next()
        assert isinstance(answer, data.Batch | data.SourceFailure)
        return answer

    async def announce(
        self, host: str, value: bytes, ttl_ms: int, timeout_ms: int
    ) -> data.Announcement | data.SourceFailure:
        """See `platform_interface.StoreClient`."""
        self.calls.append("announce")
        answer = await self._next()
        assert isinstance(answer, data.Announcement | data.SourceFailure)
        return answer

    async def renew(
        self, lease: int, timeout_ms: int
    ) -> data.SourceFailure | None:
        """See `platform_interface.StoreClient`."""
        self.calls.append(f"renew {lease}")
        answer = await self._next()
        assert answer is None or isinstance(answer, data.SourceFailure)
        return answer

    async def read_era(self, timeout_ms: int) -> int | data.SourceFailure:
        """See `platform_interface.StoreClient`."""
        self.calls.append("era")
        answer = await self._next()
        assert isinstance(answer, int | data.SourceFailure)
        if isinstance(answer, int):
            self.era = max(self.era, answer)
        return answer

    async def close(self) -> None:
        """See `platform_interface.StoreClient`."""
        self.close_count += 1


class ScriptedPlatform:
    """An adapter that only creates clients of a scripted store.

    Args:
        store: The store.
    """

    def __init__(self, store: ScriptedStore) -> None:
        self._store = store
        self.packets: platform_interface.PacketCodec
        self.items: platform_interface.ItemDecoder

    def read_settings(self) -> platform_interface.HostSettings:
        """See `platform_interface.Platform`."""
        raise NotImplementedError

    def create_store_client(
        self, settings: platform_interface.HostSettings
    ) -> platform_interface.StoreClient:
        """See `platform_interface.Platform`."""
        return self._store
