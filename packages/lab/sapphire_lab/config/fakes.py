"""A store in memory whose calls pause, so that a test orders their effects."""

from collections.abc import Coroutine
from collections.abc import Generator
from collections.abc import Sequence
import contextlib
import dataclasses
import enum
from typing import Any
from typing import Generic
from typing import TypeVar

import expression

from sapphire_data import clock
from sapphire_lab.stand_ins import store_state
from sapphire_net.store import data
from sapphire_net.store import environment
from sapphire_net.store import failures
from sapphire_net.store import interface

OutcomeT = TypeVar("OutcomeT")

HTTP_BAD_REQUEST = 400


class Fault(enum.Enum):
    """What happens to the next call."""

    NONE = "none"
    LOST_REQUEST = "lost_request"
    LOST_ANSWER = "lost_answer"
    LATE_EFFECT = "late_effect"
    DOWN = "down"


class Pause:
    """Gives control back to the test."""

    def __await__(self) -> Generator[None, None, None]:
        """Yields once."""
        yield


class SteppedTask(Generic[OutcomeT]):
    """A coroutine that the test drives from pause to pause.

    Attributes:
        outcomes: Its return value, once it has ended.
    """

    def __init__(self, body: Coroutine[Any, Any, OutcomeT]) -> None:
        self._body = body
        self.outcomes: list[OutcomeT] = []

    @property
    def is_done(self) -> bool:
        """Whether it has ended."""
        return bool(self.outcomes)

    def step(self) -> None:
        """Runs to the next pause."""
        if self.is_done:
            return
        try:
            self._body.send(None)
        except StopIteration as stop:
            self.outcomes.append(stop.value)

    def finish(self) -> OutcomeT:
        """Runs to the end and returns the outcome."""
        while not self.is_done:
            self.step()
        return self.outcomes[0]


class FakeStore(interface.Store):
    """A store without a socket.

    Attributes:
        state: The keys.
        faults: What happens to the next calls; none when it runs out.
        call_count: The calls so far.
    """

    def __init__(self) -> None:
        self.time = clock.ManualClock(1_000_000)
        self.state = store_state.StoreState(self.time)
        self.faults: list[Fault] = []
        self.call_count = 0
        self._late: list[tuple[Any, Any]] = []

    def apply_delayed_writes(self) -> None:
        """Lets the delayed writes take effect."""
        late, self._late = self._late, []
        for compares, writes in late:
            # The store refuses a write under a lease that has ended since.
            with contextlib.suppress(store_state.InvalidRequestError):
                self._apply(compares, writes)

    async def get(
        self,
        key: str,
        *,
        is_prefix: bool = False,
        limit: int = 0,
        is_keys_only: bool = False,
    ) -> expression.Result[data.RangeResponse, failures.StoreFailure]:
        """Reads keys; see `interface.Store`."""
        await Pause()
        if self._next_fault() is not Fault.NONE:
            return expression.Error(failures.StoreUnavailable("fault"))
        end = key[:-1] + chr(ord(key[-1]) + 1) if is_prefix else None
        found = self.state.select(key, end, self.state.items_by_key)
        items = tuple(found[: limit or len(found)])
        if is_keys_only:
            items = tuple(
                dataclasses.replace(item, value=b"") for item in items
            )
        return expression.Ok(data.RangeResponse(self.state.revision, items))

    async def transact(
        self,
        compares: Sequence[data.Compare],
        writes: Sequence[data.Put | data.Delete],
        else_reads: Sequence[str] = (),
    ) -> expression.Result[data.TransactionResponse, failures.StoreFailure]:
        """Writes if all conditions hold; see `interface.Store`."""
        await Pause()
        fault = self._next_fault()
        if fault is Fault.DOWN:
            return expression.Error(failures.StoreUnavailable("fault"))
        if fault is Fault.LATE_EFFECT:
            self._late.append((compares, writes))
        if fault in (Fault.LOST_REQUEST, Fault.LATE_EFFECT):
            return expression.Error(failures.StoreOutcomeUnknown("fault"))
        try:
            answer = self._apply(compares, writes)
        except store_state.InvalidRequestError as error:
            return expression.Error(
                failures.StoreRejected(str(error), status=HTTP_BAD_REQUEST)
            )
        if not answer.succeeded:
            found = [
                item
                for key, item in self.state.items_by_key.items()
                if key in else_reads
            ]
            answer = dataclasses.replace(answer, items=tuple(found))
        await Pause()
        if fault is Fault.LOST_ANSWER:
            return expression.Error(failures.StoreOutcomeUnknown("fault"))
        return expression.Ok(answer)

    async def grant_lease(
        self, time_to_live_ms: int
    ) -> expression.Result[data.LeaseResponse, failures.StoreFailure]:
        """Opens a lease; see `interface.Store`."""
        await Pause()
        if self._next_fault() is not Fault.NONE:
            return expression.Error(failures.StoreOutcomeUnknown("fault"))
        lease_id = self.state.grant(time_to_live_ms)
        return expression.Ok(data.LeaseResponse(lease_id, time_to_live_ms))

    async def renew_lease(
        self, lease_id: int
    ) -> expression.Result[data.LeaseResponse, failures.StoreFailure]:
        """Extends a lease; see `interface.Store`."""
        await Pause()
        if self._next_fault() is not Fault.NONE:
            return expression.Error(failures.StoreOutcomeUnknown("fault"))
        self.state.expire_leases()
        length_ms = self.state.renew(lease_id)
        return expression.Ok(data.LeaseResponse(lease_id, length_ms))

    async def revoke_lease(
        self, lease_id: int
    ) -> expression.Result[None, failures.StoreFailure]:
        """Ends a lease; see `interface.Store`."""
        await Pause()
        if self._next_fault() is not Fault.NONE:
            return expression.Error(failures.StoreOutcomeUnknown("fault"))
        self.state.revoke(lease_id)
        return expression.Ok(None)

    async def watch(
        self,
        key: str,
        from_store_revision: int,
        events: interface.EventSender,
        *,
        is_prefix: bool = False,
    ) -> failures.StoreFailure:
        """Ends at once; tests of watches use the stand-in over a socket."""
        await Pause()
        return failures.WatchEnded("not offered in memory")

    def _next_fault(self) -> Fault:
        """Counts a call and returns its fault."""
        self.call_count += 1
        self.state.expire_leases()
        return self.faults.pop(0) if self.faults else Fault.NONE

    def _apply(self, compares: Any, writes: Any) -> data.TransactionResponse:
        """Applies a transaction at once."""
        holds = all(
            self.state.holds(compare.key, compare.mod_revision)
            for compare in compares
        )
        if holds:
            self.state.apply(list(writes))
        return data.TransactionResponse(holds, self.state.revision)


async def pause_ms(_: int) -> None:
    """Pauses instead of waiting."""
    await Pause()


def fake_environment(
    store: FakeStore, prefix: str = "test/"
) -> environment.Environment:
    """Builds an environment on a store in memory.

    Args:
        store: The store.
        prefix: What its keys start with.

    Returns:
        The environment; its waits are pauses.
    """
    return environment.Environment(store, prefix, pause_ms)
