"""A service under load before one host, without a network, in steps of time.

Callers open a flow for each request and send copies of an unanswered opening
after 200 and 600 ms, as the platform's do. Upstreams answer openings at once
and work on as many requests at a time as they have slots.
"""

from collections.abc import Callable
import dataclasses
import functools
import heapq
import random

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import steering as steering_lib
from sapphire_lab.tagged_flows import builders

STEP_MS = 5
TICK_MS = 10
SWEEP_MS = 100
# From caller to host to upstream, and from upstream to caller.
CROSSING_MS = 5
COPIES_MS = (0, 200, 600)
REQUEST_BYTES = 300

IsAlive = Callable[[int], bool]


def always(now_ms: int) -> bool:
    """Whether an upstream that never fails is alive."""
    del now_ms
    return True


@dataclasses.dataclass(slots=True)
class SimulatedUpstream:
    """An upstream.

    Attributes:
        upstream_id: Its identity.
        work_ms: How long it works on a request.
        slots: How many it works on at a time.
        is_alive: Whether it answers at a time.
        free_at_ms: When each slot is free.
        requests: How many requests it has taken.
    """

    upstream_id: str
    work_ms: int
    slots: int = 2
    is_alive: IsAlive = always
    free_at_ms: list[int] = dataclasses.field(default_factory=list)
    requests: int = 0

    def finish_ms(self, now_ms: int) -> int:
        """Takes a request and returns when its response is ready."""
        self.requests += 1
        if len(self.free_at_ms) < self.slots:
            begin_ms = now_ms
        else:
            begin_ms = max(now_ms, heapq.heappop(self.free_at_ms))
        heapq.heappush(self.free_at_ms, begin_ms + self.work_ms)
        return begin_ms + self.work_ms


class LoadSimulation:
    """Requests to one service.

    Attributes:
        latencies_ms: How long each request took that was answered.
        unanswered: How many were not.

    Args:
        upstreams: The upstreams of the service.
        seed: Decides when requests come, and between equal upstreams.
    """

    def __init__(self, upstreams: list[SimulatedUpstream], seed: int) -> None:
        self.latencies_ms: list[int] = []
        self.unanswered = 0
        self._rng = random.Random(seed)
        self._upstreams_by_id = {one.upstream_id: one for one in upstreams}
        self._steering = steering_lib.Steering(
            builders.DATA_CENTRE, self._rng, lambda decision: None
        )
        self._steering.configure(builders.configuration())
        for number, one in enumerate(upstreams):
            registered = builders.upstream(one.upstream_id, slots=one.slots)
            self._steering.upstream_table.put(registered, number + 1, 0)
        self._now_ms = 0
        self._count = 0
        self._scheduled = 0
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self._began_ms: dict[int, int] = {}
        self._open: set[int] = set()

    def run(self, seconds: float, per_second: float) -> None:
        """Lets requests come for some time, and then end.

        Args:
            seconds: For how long requests come.
            per_second: How many come in a second.
        """
        until_ms = self._now_ms + int(seconds * 1_000)
        while self._now_ms < until_ms:
            if self._rng.random() < per_second * STEP_MS / 1_000:
                self._begin()
            self._step()

    def finish(self) -> None:
        """Lets all requests end."""
        while self._due:
            self._step()
        self.unanswered = len(self._began_ms)

    def share_answered_within(self, objective_ms: int) -> float:
        """Returns the share of requests that were answered in time."""
        in_time = sum(1 for one in self.latencies_ms if one <= objective_ms)
        return in_time / (len(self.latencies_ms) + len(self._began_ms))

    def _begin(self) -> None:
        """Begins a request."""
        self._count += 1
        number = self._count
        self._began_ms[number] = self._now_ms
        for copy, delay_ms in enumerate(COPIES_MS):
            ask = functools.partial(self._ask, number, copy)
            self._after(delay_ms, ask)

    def _ask(self, number: int, copy: int) -> None:
        """Sends a copy of an opening unless it was answered."""
        if number in self._open:
            return
        packet = builders.opening(number, retransmissions=copy)
        self._act(self._steering.handle(packet, self._now_ms))

    def _act(self, action: data.Action) -> None:
        """Carries an opening to its upstream."""
        if not isinstance(action, data.Forward):
            return
        number = (
            action.packet.flow_id.caller_port - builders.flow(0).caller_port
        )
        upstream = self._upstreams_by_id[action.upstream.upstream_id]
        if upstream.is_alive(self._now_ms):
            self._after(
                2 * CROSSING_MS,
                lambda: self._answered(number, upstream, action.tag),
            )

    def _answered(
        self, number: int, upstream: SimulatedUpstream, tag: int
    ) -> None:
        """The caller takes the first answer and sends its request."""
        if number in self._open:
            return
        self._open.add(number)
        request = builders.packet(number, tag=tag, payload_bytes=REQUEST_BYTES)
        self._steering.handle(request, self._now_ms)
        if not upstream.is_alive(self._now_ms):
            return
        finish_ms = upstream.finish_ms(self._now_ms + CROSSING_MS)
        self._after(
            finish_ms + CROSSING_MS - self._now_ms,
            lambda: self._finish(number, tag),
        )

    def _finish(self, number: int, tag: int) -> None:
        """The caller takes the response and closes the flow."""
        self.latencies_ms.append(self._now_ms - self._began_ms.pop(number))
        closing = builders.packet(
            number,
            tag=tag,
            sequence=2 + REQUEST_BYTES,
            acknowledged=900,
            payload_bytes=0,
            is_closing=True,
        )
        self._steering.handle(closing, self._now_ms)

    def _after(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Schedules something."""
        self._scheduled += 1
        due_ms = self._now_ms + delay_ms
        heapq.heappush(self._due, (due_ms, self._scheduled, action))

    def _step(self) -> None:
        """Passes one step of time."""
        self._now_ms += STEP_MS
        while self._due and self._due[0][0] <= self._now_ms:
            heapq.heappop(self._due)[2]()
        if self._now_ms % TICK_MS == 0:
            for action in self._steering.tick(self._now_ms):
                self._act(action)
        if self._now_ms % SWEEP_MS == 0:
            self._steering.sweep(self._now_ms)
