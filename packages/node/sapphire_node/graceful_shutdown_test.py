from collections.abc import AsyncIterator
import dataclasses
import signal

import anyio
from anyio.streams import memory
import testtools
from testtools import matchers

from sapphire_data import clock
from sapphire_node import graceful_shutdown
from sapphire_node import lifecycle


@dataclasses.dataclass(slots=True)
class FakeHost:
    """A fake of the daemon's tasks that records the calls of the shutdown."""

    calls: list[str] = dataclasses.field(default_factory=list)
    polls_until_idle: int = 0
    is_handover_complete: bool = True
    last_packet_ms: int = 0

    async def announce_leaving(self) -> None:
        self.calls.append("announce")

    def is_idle(self) -> bool:
        self.polls_until_idle -= 1
        return self.polls_until_idle < 0

    def as_callbacks(self) -> graceful_shutdown.Callbacks:
        return graceful_shutdown.Callbacks(
            announce_leaving=self.announce_leaving,
            refuse_requests=lambda: self.calls.append("refuse"),
            is_handover_complete=lambda: self.is_handover_complete,
            is_idle=self.is_idle,
            last_packet_ms=lambda: self.last_packet_ms,
        )


class SteppingClock:
    """A clock that advances by one poll interval at each reading."""

    def __init__(self) -> None:
        self._time_ms = 0

    def now_ms(self) -> int:
        self._time_ms += graceful_shutdown.POLL_MS
        return self._time_ms


async def shut_down(
    host: FakeHost, signal_count: int, state: lifecycle.Lifecycle
) -> graceful_shutdown.Result:
    time: clock.Clock = SteppingClock()
    shutdown = graceful_shutdown.GracefulShutdown(
        state,
        host.as_callbacks(),
        time,
        notice_ms=400,
        quiet_ms=200,
        timeout_ms=4_000,
    )
    send, receive = anyio.create_memory_object_stream[signal.Signals](2)
    for _ in range(signal_count):
        send.send_nowait(signal.SIGTERM)
    return await shutdown.run(iterate(receive))


async def iterate(
    receive: memory.MemoryObjectReceiveStream[signal.Signals],
) -> AsyncIterator[signal.Signals]:
    async for item in receive:
        yield item


class GracefulShutdownTest(testtools.TestCase):
    def test_requests_in_flight_are_finished_before_the_exit(self) -> None:
        for signal_count in (1, 2):
            host = FakeHost(polls_until_idle=5)
            state = lifecycle.Lifecycle(lifecycle.Phase.SERVING, True)
            result = anyio.run(shut_down, host, signal_count, state)
            self.expectThat(
                result, matchers.Equals(graceful_shutdown.Result.FINISHED)
            )
            self.expectThat(host.polls_until_idle, matchers.LessThan(0))
            self.assertEqual(["announce", "refuse"], host.calls)
            self.assertEqual(
                lifecycle.NotReadyReason.LEAVING, state.not_ready_reason()
            )

    def test_an_incomplete_handover_is_reported(self) -> None:
        host = FakeHost(is_handover_complete=False)
        result = anyio.run(shut_down, host, 1, lifecycle.Lifecycle())
        self.assertThat(
            result, matchers.Equals(graceful_shutdown.Result.UNFINISHED)
        )

    def test_a_request_that_never_ends_is_not_waited_for_after_the_timeout(
        self,
    ) -> None:
        host = FakeHost(polls_until_idle=10_000)
        result = anyio.run(shut_down, host, 1, lifecycle.Lifecycle())
        self.assertThat(
            result, matchers.Equals(graceful_shutdown.Result.UNFINISHED)
        )
