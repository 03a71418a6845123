"""A fake upstream: slots, sheds, cold starts, and counted runs."""

import collections
from collections.abc import Callable
import dataclasses
import random

from sapphire_core.requests import data
from sapphire_data import records
from sapphire_lab.requests import simulation

# The shape of the gamma distribution of run times: deviation half the mean.
RUN_SHAPE = 4.0
COLD_SLOWDOWN = 3.0
# A cold upstream that sees so many requests in the window falls over.
COLD_REQUEST_LIMIT = 8
COLD_WINDOW_MS = 200
CRASH_DOWN_MS = 500


@dataclasses.dataclass(slots=True)
class Run:
    """A run in progress.

    Attributes:
        attempt_id: The attempt.
        request_id: The request.
        arrival: The arrival at a host that caused it.
        reply: Takes the event that ends the attempt.
    """

    attempt_id: str
    request_id: str
    arrival: str
    reply: Callable[[data.AnswerArrived | data.AttemptFailed], None]


@dataclasses.dataclass(slots=True)
class RunLog:
    """The runs that upstreams started.

    Attributes:
        starts_by_id: For each request id, when its runs started in
            milliseconds and the arrivals that caused them.
    """

    starts_by_id: dict[str, list[tuple[int, str]]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )


@dataclasses.dataclass(slots=True)
class FakeUpstream:
    """An upstream.

    Attributes:
        record: Its configuration.
        sim: The queue of timed calls.
        rng: The source of run times.
        log: The runs of all upstreams.
        mean_run_ms: The mean time of a run.
        attempts: The attempts that reached it.
        sheds: The attempts that it shed.
        answers: The answers that it gave.
        runs: The runs that it started.
        run_time_ms: The time that these runs take, all together.
        crashes: How often it fell over while cold.
    """

    record: records.Upstream
    sim: simulation.Simulation
    rng: random.Random
    log: RunLog
    mean_run_ms: float = 50.0
    attempts: int = 0
    sheds: int = 0
    answers: int = 0
    crashes: int = 0
    runs: int = 0
    run_time_ms: int = 0
    boot_number: int = 1
    is_up: bool = True
    cold_until_ms: int = 0
    _runs_by_attempt: dict[str, Run] = dataclasses.field(default_factory=dict)
    _recent_ms: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque
    )

    @property
    def boot_id(self) -> str:
        """The identity of this start."""
        return f"{self.record.name}/{self.boot_number}"

    @property
    def is_cold(self) -> bool:
        """Whether it still warms up."""
        return self.sim.now_ms < self.cold_until_ms

    def receive(self, run: Run) -> None:
        """Takes a request: runs it, sheds it, or refuses the connection."""
        attempt_id = run.attempt_id
        self.attempts += 1
        if not self.is_up:
            unreachable = data.AttemptFault.UNREACHABLE
            run.reply(data.AttemptFailed(attempt_id, unreachable))
            return
        if self.is_cold and self._is_cold_overloaded():
            self.crashes += 1
            self.restart(CRASH_DOWN_MS)
            lost = data.AttemptFault.CONNECTION_LOST
            run.reply(data.AttemptFailed(attempt_id, lost))
            return
        slots = 1 if self.is_cold else self.record.slots
        if len(self._runs_by_attempt) >= slots:
            self.sheds += 1
            shed = data.AttemptFault.SHED
            run.reply(
                data.AttemptFailed(attempt_id, shed, self.boot_id, attempt_id)
            )
            return
        start = (self.sim.now_ms, run.arrival)
        self.log.starts_by_id[run.request_id].append(start)
        self._runs_by_attempt[attempt_id] = run
        run_ms = self._run_ms()
        self.runs += 1
        self.run_time_ms += run_ms
        self.sim.call_after(run_ms, lambda: self._finish(run))

    def cancel(self, attempt_id: str) -> None:
        """Stops a run whose connection was closed."""
        self._runs_by_attempt.pop(attempt_id, None)

    def restart(self, down_ms: int) -> None:
        """Loses all runs, is down for a time, then starts cold."""
        lost = data.AttemptFault.CONNECTION_LOST
        runs = list(self._runs_by_attempt.values())
        self._runs_by_attempt.clear()
        self.is_up = False
        self.boot_number += 1
        self.sim.call_after(down_ms, self._start)
        for run in runs:
            run.reply(data.AttemptFailed(run.attempt_id, lost))

    def _start(self) -> None:
        self.is_up = True
        self.cold_until_ms = self.sim.now_ms + self.record.warm_up_ms

    def _is_cold_overloaded(self) -> bool:
        now_ms = self.sim.now_ms
        self._recent_ms.append(now_ms)
        while self._recent_ms[0] < now_ms - COLD_WINDOW_MS:
            self._recent_ms.popleft()
        return len(self._recent_ms) > COLD_REQUEST_LIMIT

    def _run_ms(self) -> int:
        mean_ms = self.mean_run_ms
        if self.is_cold:
            mean_ms *= COLD_SLOWDOWN
        scale_ms = mean_ms / RUN_SHAPE
        return max(1, round(self.rng.gammavariate(RUN_SHAPE, scale_ms)))

    def _finish(self, run: Run) -> None:
        if self._runs_by_attempt.get(run.attempt_id) is not run:
            return
        del self._runs_by_attempt[run.attempt_id]
        self.answers += 1
        run.reply(
            data.AnswerArrived(
                run.attempt_id, run.attempt_id, self.boot_id, run.request_id
            )
        )
