"""The graceful shutdown of a host, from the first signal to the exit."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
import logging
import signal

import anyio

from sapphire_data import clock
from sapphire_net import event_log
from sapphire_node import lifecycle

_LOGGER = logging.getLogger(__name__)

POLL_MS = 50


class Result(enum.Enum):
    """How a graceful shutdown ended.

    Attributes:
        FINISHED: No request was in flight, and the handover was complete.
        UNFINISHED: A request was in flight, or the handover incomplete.
    """

    FINISHED = "finished"
    UNFINISHED = "unfinished"


@dataclasses.dataclass(frozen=True, slots=True)
class Callbacks:
    """Functions that a graceful shutdown calls on the tasks of the daemon.

    Attributes:
        announce_leaving: Announces to the other hosts that this one leaves.
        refuse_requests: Makes the host refuse new requests from now on.
        is_handover_complete: Returns whether other replica hosts have the flow
            records of this host.
        is_idle: Returns whether no request is in flight.
        last_packet_ms: Returns when the last packet from the fabric arrived.
    """

    announce_leaving: Callable[[], Awaitable[None]]
    refuse_requests: Callable[[], None]
    is_handover_complete: Callable[[], bool]
    is_idle: Callable[[], bool]
    last_packet_ms: Callable[[], int]


class GracefulShutdown:
    """Waits for a signal and takes the host out of service.

    The host first announces that it leaves and still accepts new work, then
    refuses new requests, and then waits until the fabric is quiet, the handover
    is complete and no request is in flight.
    """

    def __init__(
        self,
        state: lifecycle.Lifecycle,
        callbacks: Callbacks,
        time: clock.Clock,
        *,
        notice_ms: int,
        quiet_ms: int,
        timeout_ms: int,
    ) -> None:
        """Creates the graceful shutdown.

        Args:
            state: The phase of the process; it becomes `LEAVING`.
            callbacks: Functions of the tasks of the daemon.
            time: The clock.
            notice_ms: How long new work is still accepted after the signal,
                because the platform's list of hosts lags.
            quiet_ms: The time without packets from the fabric after which no
                more are expected.
            timeout_ms: The longest time from the signal to the end.
        """
        self._state = state
        self._callbacks = callbacks
        self._time = time
        self._notice_ms = notice_ms
        self._quiet_ms = quiet_ms
        self._timeout_ms = timeout_ms
        self._is_urgent = False

    async def run(self, signals: AsyncIterator[signal.Signals]) -> Result:
        """Waits for the first signal and shuts down.

        Args:
            signals: SIGTERM and SIGINT as they arrive.

        Returns:
            Whether all requests and the handover were finished.
        """
        await anext(signals)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._wait_second_signal, signals)
            result = await self._leave()
            tasks.cancel_scope.cancel()
        return result

    async def _wait_second_signal(
        self, signals: AsyncIterator[signal.Signals]
    ) -> None:
        """Makes the shutdown urgent at the second signal."""
        await anext(signals)
        self._is_urgent = True
        event_log.log(_LOGGER, logging.INFO, "departure_urgent")

    async def _leave(self) -> Result:
        """Announces leaving, refuses new work and waits for open work."""
        started_ms = self._time.now_ms()
        deadline_ms = started_ms + self._timeout_ms
        self._state.phase = lifecycle.Phase.LEAVING
        event_log.log(_LOGGER, logging.INFO, "departure_started")
        await self._callbacks.announce_leaving()
        notice_end_ms = min(started_ms + self._notice_ms, deadline_ms)
        await self._wait(
            lambda: self._time.now_ms() >= notice_end_ms, deadline_ms
        )
        self._callbacks.refuse_requests()
        await self._wait(self._is_fabric_quiet_and_handed_over, deadline_ms)
        is_idle = await self._wait_idle(deadline_ms)
        event_log.log(
            _LOGGER,
            logging.INFO,
            "departure_ended",
            duration_ms=self._time.now_ms() - started_ms,
            idle=is_idle,
            handed_over=self._callbacks.is_handover_complete(),
        )
        if is_idle and self._callbacks.is_handover_complete():
            return Result.FINISHED
        return Result.UNFINISHED

    def _is_fabric_quiet_and_handed_over(self) -> bool:
        """Returns whether the fabric is quiet and the handover complete."""
        quiet_ms = self._time.now_ms() - self._callbacks.last_packet_ms()
        return (
            quiet_ms >= self._quiet_ms
            and self._callbacks.is_handover_complete()
        )

    async def _wait(
        self, is_done: Callable[[], bool], deadline_ms: int
    ) -> None:
        """Waits for a condition, the deadline or the second signal."""
        while not is_done() and not self._is_urgent:
            if self._time.now_ms() >= deadline_ms:
                return
            await anyio.sleep(POLL_MS / clock.MS_PER_SECOND)

    async def _wait_idle(self, deadline_ms: int) -> bool:
        """Waits for in-flight requests; a second signal does not end it.

        Returns:
            Whether no request is in flight; False at the deadline.
        """
        while not self._callbacks.is_idle():
            if self._time.now_ms() >= deadline_ms:
                return False
            await anyio.sleep(POLL_MS / clock.MS_PER_SECOND)
        return True
