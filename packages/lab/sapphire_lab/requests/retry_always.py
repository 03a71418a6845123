"""A baseline: no claims, no limits, a retry on every failure."""

import collections
import dataclasses
import heapq
import random

from sapphire_core.requests import data
from sapphire_core.requests import failures
from sapphire_data import records

MAX_ATTEMPTS = 3


@dataclasses.dataclass(slots=True)
class Pending:
    """A request that waits for an answer.

    Attributes:
        request: The request.
        attempt_id: The attempt in flight.
        attempt_count: The attempts made.
    """

    request: data.Request
    attempt_id: str = ""
    attempt_count: int = 0


class RetryAlways:
    """Decides as a simple client does, behind the interface of the engine.

    Attributes:
        counters: Counts of events by name.
    """

    def __init__(self, host_id: str, rng: random.Random) -> None:
        self.counters: collections.Counter[str] = collections.Counter()
        self._host_id = host_id
        self._rng = rng
        self._upstreams_by_service: dict[str, list[str]] = {}
        self._pending_by_serial: dict[int, Pending] = {}
        self._serials_by_attempt: dict[str, int] = {}
        self._timers: list[tuple[int, int, str]] = []
        self._actions: list[data.Action] = []

    @property
    def store_calls(self) -> int:
        """The store calls made."""
        return 0

    @property
    def is_idle(self) -> bool:
        """Whether no request is in flight."""
        return not self._pending_by_serial

    def set_configuration(
        self, configuration: records.Configuration, now_ms: int
    ) -> list[data.Action]:
        """Takes in a configuration."""
        del now_ms
        for name, service in configuration.services_by_name.items():
            names = sorted(service.upstreams_by_name)
            self._upstreams_by_service[name] = names
        return []

    def set_view(
        self, view: records.MemberView, now_ms: int
    ) -> list[data.Action]:
        """Takes in the membership, which this baseline does not use."""
        del view, now_ms
        return []

    def begin_drain(self) -> None:
        """Does nothing: the baseline knows no drain."""

    def handle(self, event: data.Event, now_ms: int) -> list[data.Action]:
        """Takes in an event and returns the actions that follow."""
        match event:
            case data.RequestArrived(request):
                pending = Pending(request)
                self._pending_by_serial[request.serial] = pending
                self._send(pending, now_ms)
            case data.AnswerArrived(attempt_id):
                self._answer(attempt_id, event.answer)
            case data.AttemptFailed(attempt_id):
                self._fail(attempt_id, now_ms)
            case _:
                pass
        while self._timers and self._timers[0][0] <= now_ms:
            _, _, attempt_id = heapq.heappop(self._timers)
            self._fail(attempt_id, now_ms)
        actions = self._actions
        self._actions = []
        return actions

    def next_wakeup_ms(self, now_ms: int) -> int | None:
        """Returns when the next Tick is due, or None."""
        del now_ms
        return self._timers[0][0] if self._timers else None

    def _send(self, pending: Pending, now_ms: int) -> None:
        request = pending.request
        names = self._upstreams_by_service[request.service]
        self.counters["attempts"] += 1
        pending.attempt_count += 1
        number = self.counters["attempts"]
        pending.attempt_id = f"{self._host_id}-{number}"
        self._serials_by_attempt[pending.attempt_id] = request.serial
        # Each attempt gets an equal part of the time that is left.
        left = MAX_ATTEMPTS - pending.attempt_count + 1
        timeout_ms = max(1, (request.deadline_ms - now_ms) // left)
        timer = (now_ms + timeout_ms, number, pending.attempt_id)
        heapq.heappush(self._timers, timer)
        self._actions.append(
            data.SendAttempt(
                request.serial,
                pending.attempt_id,
                self._rng.choice(names),
                timeout_ms,
                0,
            )
        )

    def _answer(self, attempt_id: str, answer: object) -> None:
        serial = self._serials_by_attempt.pop(attempt_id, None)
        if serial is None:
            return
        del self._pending_by_serial[serial]
        self._actions.append(
            data.Finish(serial, data.Outcome.ANSWERED, None, answer, None)
        )

    def _fail(self, attempt_id: str, now_ms: int) -> None:
        serial = self._serials_by_attempt.pop(attempt_id, None)
        if serial is None:
            return
        pending = self._pending_by_serial[serial]
        if pending.attempt_count < MAX_ATTEMPTS:
            self._send(pending, now_ms)
            return
        del self._pending_by_serial[serial]
        refusal = failures.RetriesExhausted("any")
        self._actions.append(
            data.Finish(serial, data.Outcome.NOT_RUN, refusal, None, 100)
        )
