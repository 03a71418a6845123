"""Refuses openings while a service responds too late for its callers.

While more is asked of a service than it can process, the queues of its
upstreams grow until nearly every response misses its objective, and the slots
work for callers who get little from it. A host therefore admits only as many
openings as the service can answer in time, those of the most urgent routes
first, and refuses the others.

The admitted rate is the rate of responses times the ratio of the target and the
response time, damped: by Little's law the requests in flight then approach what
the service answers within its target (a gradient limit). It needs nothing but
the requests that the host itself forwards; the queues are common to all hosts,
so hosts that exchange nothing admit about the same share.
"""

import dataclasses
import math
import random

from sapphire_core.tagged_flows import data

# The part of the latency objective that the mean response may take. The rest is
# for the spread of processing times and for opening the flow.
TARGET_PART_OF_OBJECTIVE = 0.4
# A response that takes less than this many times the usual one is not late by
# waiting, whatever its objective: refusals would not make it faster.
MIN_USUAL_TIMES = 1.5
# The exponent of the ratio of target and time. A change of the admitted rate
# shows in responses about two target times later; the loop is stable with an
# exponent below pi / 4.
DAMPING = 0.75
# Admitted besides. Hosts that have admitted too small a share of their openings
# gain by it more than others, so that the shares become equal.
ADDED_SHARE = 0.005
# The least share of a priority that is admitted, so that none starves.
MIN_ADMITTED_SHARE = 0.01
# Rates are means over this many target times, response times over one.
TARGETS_PER_RATE = 4.0
# The least time constant of the usual response time of a route, far longer than
# bursts last, and for slow routes in usual times. The first responses count in
# equal parts.
MIN_USUAL_TIME_CONSTANT_MS = 10_000
USUAL_TIMES_PER_CONSTANT = 50
MIN_RESPONSES = 8
# A response counts as at most this many times the usual one, in its mean, and
# this many target times.
MAX_USUAL_RATIO = 2.0
MAX_TARGET_RATIO = 3.0


@dataclasses.dataclass(slots=True)
class _Count:
    """Events, of which the recent ones count in full.

    Attributes:
        events: The decaying number.
        updated_ms: When the last event was recorded.
    """

    events: float = 0.0
    updated_ms: int = 0

    def at(self, now_ms: int, time_constant_ms: float) -> float:
        """Returns the number, decayed until now."""
        elapsed_ms = max(0, now_ms - self.updated_ms)
        return self.events * math.exp(-elapsed_ms / time_constant_ms)

    def record(self, now_ms: int, time_constant_ms: float) -> None:
        """Records an event."""
        self.events = self.at(now_ms, time_constant_ms) + 1
        self.updated_ms = now_ms


@dataclasses.dataclass(slots=True)
class _UsualTime:
    """The usual response time of one route.

    Attributes:
        mean_ms: The mean.
        responses: How many responses were recorded.
        updated_ms: When the last one was.
    """

    mean_ms: float = 0.0
    responses: int = 0
    updated_ms: int = 0

    def record(self, time_ms: int, now_ms: int) -> None:
        """Records a response time."""
        self.responses += 1
        if self.responses <= MIN_RESPONSES:
            self.mean_ms += (time_ms - self.mean_ms) / self.responses
        else:
            elapsed_ms = max(0, now_ms - self.updated_ms)
            time_constant_ms = max(
                MIN_USUAL_TIME_CONSTANT_MS,
                self.mean_ms * USUAL_TIMES_PER_CONSTANT,
            )
            weight = 1 - math.exp(-elapsed_ms / time_constant_ms)
            clipped_ms = min(time_ms, self.mean_ms * MAX_USUAL_RATIO)
            self.mean_ms += (clipped_ms - self.mean_ms) * weight
        self.updated_ms = now_ms


@dataclasses.dataclass(slots=True)
class _ServiceState:
    """What is known of one service.

    Attributes:
        target_ms: The mean target time of its responses; 0 before the first.
        target_ratio: The mean response time, in target times.
        responses: The responses.
        openings_by_priority: The first opening packets, by the priority of
            their route.
    """

    target_ms: float = 0.0
    target_ratio: float = 0.0
    responses: _Count = dataclasses.field(default_factory=_Count)
    openings_by_priority: dict[int, _Count] = dataclasses.field(
        default_factory=dict
    )

    @property
    def is_late(self) -> bool:
        """Whether the mean response misses its target."""
        return self.target_ratio >= 1.0

    @property
    def rate_constant_ms(self) -> float:
        """The time over which openings and responses count."""
        return self.target_ms * TARGETS_PER_RATE

    def record_response(
        self, time_ms: int, target_ms: float, now_ms: int
    ) -> None:
        """Records a response time and its target."""
        elapsed_ms = max(1, now_ms - self.responses.updated_ms)
        weight = 1 - math.exp(-elapsed_ms / target_ms)
        ratio = min(time_ms / target_ms, MAX_TARGET_RATIO)
        self.target_ratio += (ratio - self.target_ratio) * weight
        if self.target_ms == 0:
            self.target_ms = target_ms
        self.target_ms += (target_ms - self.target_ms) * weight
        self.responses.record(now_ms, self.rate_constant_ms)

    def admitted_share(self, openings: float, now_ms: int) -> float:
        """Returns the share of all openings that is admitted, up to 1."""
        if not self.is_late:
            return 1.0
        responses = self.responses.at(now_ms, self.rate_constant_ms)
        gradient = math.pow(self.target_ratio, -DAMPING)
        return min(1.0, responses / openings * gradient + ADDED_SHARE)


class LoadShedding:
    """The openings that this host refuses, by service.

    Args:
        rng: Draws which openings are refused.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._states_by_service: dict[str, _ServiceState] = {}
        self._usual_by_route: dict[str, _UsualTime] = {}

    def target_ratio(self, service: str) -> float:
        """Returns the mean response time of a service, in target times."""
        state = self._states_by_service.get(service)
        return state.target_ratio if state is not None else 0.0

    def usual_in_flight(self, service: str, now_ms: int) -> float:
        """Returns how many requests a service answers within its target.

        Args:
            service: The name of the service.
            now_ms: The current time.

        Returns:
            The number for this host alone, by the rate of responses.
        """
        state = self._states_by_service.get(service)
        if state is None or state.target_ms == 0:
            return 0.0
        responses = state.responses.at(now_ms, state.rate_constant_ms)
        return responses / TARGETS_PER_RATE

    def record_response(
        self, service: str, route: data.Route, time_ms: int, now_ms: int
    ) -> None:
        """Records how long a response took.

        Args:
            service: The name of the service that responded.
            route: The route of the request.
            time_ms: The time from the request to its response.
            now_ms: The current time.
        """
        if route.objective_ms <= 0:
            return
        state = self._states_by_service.get(service)
        if state is None:
            state = self._states_by_service[service] = _ServiceState()
        usual = self._usual_by_route.get(route.name)
        if usual is None:
            usual = self._usual_by_route[route.name] = _UsualTime()
        if not state.is_late:
            usual.record(time_ms, now_ms)
        if usual.responses < MIN_RESPONSES:
            return
        target_ms = max(
            route.objective_ms * TARGET_PART_OF_OBJECTIVE,
            usual.mean_ms * MIN_USUAL_TIMES,
        )
        state.record_response(time_ms, target_ms, now_ms)

    def draws_refusal(
        self, service: str, route: data.Route, now_ms: int
    ) -> bool:
        """Draws whether the opening of a new flow is to be refused.

        Args:
            service: The name of the flow's service.
            route: The route of the flow.
            now_ms: The current time.
        """
        state = self._states_by_service.get(service)
        if state is None or state.target_ms == 0:
            return False
        count = state.openings_by_priority.get(route.priority)
        if count is None:
            count = state.openings_by_priority[route.priority] = _Count()
        count.record(now_ms, state.rate_constant_ms)
        if not state.is_late:
            return False
        return self._rng.random() >= _admitted_share_of(
            state, route.priority, now_ms
        )


def _admitted_share_of(
    state: _ServiceState, priority: int, now_ms: int
) -> float:
    """Returns which share of the openings of a priority is admitted.

    The least urgent priority is refused first.
    """
    openings_by_priority = {
        each: count.at(now_ms, state.rate_constant_ms)
        for each, count in state.openings_by_priority.items()
    }
    total = sum(openings_by_priority.values())
    refused = total * (1 - state.admitted_share(total, now_ms))
    for each in sorted(openings_by_priority, reverse=True):
        openings = openings_by_priority[each]
        part = min(refused, openings * (1 - MIN_ADMITTED_SHARE))
        if each == priority:
            return 1 - part / openings
        refused -= part
    return 1.0
