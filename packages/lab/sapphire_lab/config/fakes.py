"""A store in memory, and coroutines that a test runs step by step.

Each call to the store pauses before its effect, so that a test decides the
order in which the calls of several coroutines take effect.
"""

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
    """What happens to a call to the store.

    A request or an answer may be lost, so that the caller does not know the
    outcome; a write may in addition take effect later, by
    `FakeStore.apply_delayed_writes`; or the store may be down, in which case
    the caller knows that nothing was written.
    """

    NONE = "none"
    LOST_REQUEST = "lost_request"
    LOST_ANSWER = "lost_answer"
    LATE_EFFECT = "late_effect"
    DOWN = "down"


class Pause:
    """Suspends a coroutine until the test runs its next step."""

    def __await__(self) -> Generator[None, None, None]:
        """Suspends the coroutine once."""
        yield


class SteppedTask(Generic[OutcomeT]):
    """A coroutine that a test runs from pause to pause, without an event loop.

    Attributes:
        outcomes: The return value of the coroutine, empty until it returns.
    """

    def __init__(self, coroutine: Coroutine[Any, Any, OutcomeT]) -> None:
        self._coroutine = coroutine
        self.outcomes: list[OutcomeT] = []

    @property
    def is_done(self) -> bool:
        """Whether the coroutine has returned."""
        return bool(self.outcomes)

    def step(self) -> None:
        """Runs the coroutine to its next pause or its end."""
        if self.is_done:
            return
        try:
            self._coroutine.send(None)
        except StopIteration as stop:
            self.outcomes.append(stop.value)

    def finish(self) -> OutcomeT:
        """Runs the coroutine to its end and returns its outcome."""
        while not self.is_done:
            self.step()
        return self.outcomes[0]


class FakeStore(interface.Store):
    """A store in memory, called without a socket.

    Attributes:
        time: The clock of the store and its leases.
        state: The keys and leases of the store.
        faults: The fault of each of the next calls, in order; calls after
            them have none.
        call_count: The number of calls so far.
    """

    def __init__(self) -> None:
        self.time = clock.ManualClock(1_000_000)
        self.state = store_state.StoreState(self.time)
        self.faults: list[Fault] = []
        self.call_count = 0
        self._delayed_writes: list[tuple[Any, Any]] = []

    def apply_delayed_writes(self) -> None:
        """Applies the writes that `Fault.LATE_EFFECT` has delayed."""
        delayed, self._delayed_writes = self._delayed_writes, []
        for compares, writes in delayed:
            # The store refuses a write whose lease has expired since then.
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
        found = self.state.read_range(key, end, self.state.items_by_key)
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
            self._delayed_writes.append((compares, writes))
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
        """Grants a lease; see `interface.Store`."""
        await Pause()
        if self._next_fault() is not Fault.NONE:
            return expression.Error(failures.StoreOutcomeUnknown("fault"))
        lease_id = self.state.grant_lease(time_to_live_ms)
        return expression.Ok(data.LeaseResponse(lease_id, time_to_live_ms))

    async def renew_lease(
        self, lease_id: int
    ) -> expression.Result[data.LeaseResponse, failures.StoreFailure]:
        """Renews a lease; see `interface.Store`."""
        await Pause()
        if self._next_fault() is not Fault.NONE:
            return expression.Error(failures.StoreOutcomeUnknown("fault"))
        self.state.expire_leases()
        time_to_live_ms = self.state.renew_lease(lease_id)
        return expression.Ok(data.LeaseResponse(lease_id, time_to_live_ms))

    async def revoke_lease(
        self, lease_id: int
    ) -> expression.Result[None, failures.StoreFailure]:
        """Revokes a lease; see `interface.Store`."""
        await Pause()
        if self._next_fault() is not Fault.NONE:
            return expression.Error(failures.StoreOutcomeUnknown("fault"))
        self.state.revoke_lease(lease_id)
        return expression.Ok(None)

    async def watch(
        self,
        key: str,
        from_store_revision: int,
        events: interface.EventSender,
        *,
        is_prefix: bool = False,
    ) -> failures.StoreFailure:
        """Returns a failure; watches are tested with `stand_ins.store`."""
        await Pause()
        return failures.WatchEnded("the store in memory has no watches")

    def _next_fault(self) -> Fault:
        """Counts a call, expires leases and returns the fault of the call."""
        self.call_count += 1
        self.state.expire_leases()
        return self.faults.pop(0) if self.faults else Fault.NONE

    def _apply(self, compares: Any, writes: Any) -> data.TransactionResponse:
        """Applies a transaction without a pause or a fault."""
        holds = all(
            self.state.is_at_revision(compare.key, compare.mod_revision)
            for compare in compares
        )
        if holds:
            self.state.apply(list(writes))
        return data.TransactionResponse(holds, self.state.revision)


async def pause_ms(_: int) -> None:
    """Suspends the coroutine once, whatever the wait."""
    await Pause()


def fake_environment(
    store: FakeStore, prefix: str = "test/"
) -> environment.Environment:
    """Builds an environment on a fake store.

    Args:
        store: The store.
        prefix: The prefix of the environment's keys in the store.

    Returns:
        The environment; a wait in it suspends the coroutine once.
    """
    return environment.Environment(store, prefix, pause_ms)
