"""A simulation of load on one service behind its hosts, without a network.

Callers open a flow for each request and retransmit an unanswered opening packet
after 200 and 600 ms, as the platform's callers do. When a flow is reset, or was
not opened after 1.4 s, they try again with another flow, twice at most and
until their deadline. Some keep a flow open for many requests instead. Upstreams
answer opening packets at once, process as many requests at a time as they have
slots, queue a few more and reject the rest.
"""

from collections.abc import Callable
import dataclasses
import functools
import heapq
import random

from sapphire_core.tagged_flows import data
from sapphire_lab.tagged_flows import builders
from sapphire_lab.tagged_flows import load_fleet

STEP_MS = 5
# The delay from caller through host to upstream, and from upstream to caller.
ONE_WAY_DELAY_MS = 5
# When a caller sends the opening packet and its retransmissions, from the
# start of the request on.
OPENING_TIMES_MS = (0, 200, 600)
# When a caller gives up a flow that was not opened.
OPENING_TIMEOUT_MS = 1_400
MAX_RETRIES = 2
CALLERS = 400
DEADLINE_MS = 3_000
REQUEST_BYTES = 300
RESPONSE_BYTES = 800
REJECTION_BYTES = 120

IsAlive = Callable[[int], bool]


def always_alive(now_ms: int) -> bool:
    """Returns True, for an upstream that never fails."""
    del now_ms
    return True


@dataclasses.dataclass(slots=True)
class SimulatedUpstream:
    """An upstream with a fixed processing time and a queue for its slots.

    Attributes:
        upstream_id: Its ID.
        work_ms: The processing time of a request.
        slots: How many requests it processes at a time.
        queue: How many further requests it accepts.
        is_alive: Whether it responds to packets at a given time.
        data_centre: Its data centre.
        free_at_ms: A heap of the times when the slots used so far become free.
        requests: How many requests it has received.
    """

    upstream_id: str
    work_ms: int
    slots: int = 2
    queue: int = 12
    is_alive: IsAlive = always_alive
    data_centre: str = builders.DATA_CENTRE
    free_at_ms: list[int] = dataclasses.field(default_factory=list)
    requests: int = 0

    def enqueue(self, now_ms: int) -> int | None:
        """Queues a request.

        Args:
            now_ms: When the request arrives.

        Returns:
            When its response is ready; None if the queue is full.
        """
        if self._queued(now_ms) >= self.queue:
            return None
        self.requests += 1
        if len(self.free_at_ms) < self.slots:
            start_ms = now_ms
        else:
            start_ms = max(now_ms, heapq.heappop(self.free_at_ms))
        heapq.heappush(self.free_at_ms, start_ms + self.work_ms)
        return start_ms + self.work_ms

    def _queued(self, now_ms: int) -> float:
        """Returns how many accepted requests have not begun yet."""
        busy_ms = sum(max(0, free_ms - now_ms) for free_ms in self.free_at_ms)
        return max(0.0, busy_ms / self.work_ms - self.slots)


@dataclasses.dataclass(slots=True)
class _Request:
    """A request of a caller.

    Attributes:
        started_ms: When its first attempt began.
        caller: The number of the caller.
        gap_ms: The mean time after which the caller sends another request on
            the same flow; None if it closes the flow.
        retries: How many attempts followed the first one.
    """

    started_ms: int
    caller: int
    gap_ms: float | None = None
    retries: int = 0


@dataclasses.dataclass(slots=True)
class _OpenFlow:
    """A flow that an upstream has answered.

    Attributes:
        number: The number of the flow.
        upstream: The upstream.
        tag: The tag of the upstream.
        requests: How many requests the caller has sent on it.
    """

    number: int
    upstream: SimulatedUpstream
    tag: int
    requests: int = 0


class LoadSimulation:
    """Simulates callers, the hosts and the upstreams of one service.

    Attributes:
        latencies_ms: The latency of each request that got a response, from its
            first opening packet on.
        unanswered: How many requests got no response; set by `finish`.
        resets: How many flows were reset by a host.
        rejections: How many requests an upstream has rejected.
        openings: How many opening packets were sent to upstreams.
        crossings: How many of them went to another data centre.

    Args:
        upstreams: The upstreams of the service.
        seed: Seeds the arrivals of requests and the hosts' random choices.
        plan: The hosts; one if not given.
    """

    def __init__(
        self,
        upstreams: list[SimulatedUpstream],
        seed: int,
        plan: load_fleet.FleetPlan | None = None,
    ) -> None:
        self.latencies_ms: list[int] = []
        self.unanswered = 0
        self._rng = random.Random(seed)
        self._upstreams_by_id = {
            upstream.upstream_id: upstream for upstream in upstreams
        }
        self._fleet = load_fleet.LoadFleet(
            plan or load_fleet.FleetPlan(),
            [
                builders.upstream(
                    upstream.upstream_id,
                    data_centre=upstream.data_centre,
                    slots=upstream.slots,
                )
                for upstream in upstreams
            ],
            self._rng,
            self._deliver,
        )
        self._now_ms = 0
        self.resets = 0
        self.rejections = 0
        self.openings = 0
        self.crossings = 0
        self._flow_count = 0
        self._event_count = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        # The requests without a response, by the number of their last flow.
        self._waiting_by_flow: dict[int, _Request] = {}
        self._caller_by_flow: dict[int, int] = {}
        self._request_count = 0
        self._failed_requests = 0
        self._answered: set[int] = set()
        self._is_finishing = False

    def run(self, seconds: float, per_second: float) -> None:
        """Starts requests at random times; some are still open at the end.

        Args:
            seconds: For how long requests are started.
            per_second: The mean number of new requests a second.
        """
        until_ms = self._now_ms + int(seconds * 1_000)
        next_arrival_ms = self._now_ms + self._arrival_gap_ms(per_second)
        while self._now_ms < until_ms:
            while next_arrival_ms <= self._now_ms:
                self._start_request()
                next_arrival_ms += self._arrival_gap_ms(per_second)
            self._step()

    def open_long_flows(self, count: int, gap_ms: float) -> None:
        """Opens flows on which requests follow each other until the end.

        Args:
            count: How many flows.
            gap_ms: The mean time from a response to the next request.
        """
        for _ in range(count):
            self._open_flow(_Request(self._now_ms, self._next_caller(), gap_ms))

    def finish(self) -> None:
        """Runs without new requests until no event is left."""
        self._is_finishing = True
        while self._events:
            self._step()
        self.unanswered = self._failed_requests + len(self._waiting_by_flow)

    def share_answered_within(self, objective_ms: int) -> float:
        """Returns the share of requests with a response in time.

        Args:
            objective_ms: The longest latency that is in time.

        Returns:
            The share among all requests, those without response included.
        """
        in_time = sum(
            1 for latency_ms in self.latencies_ms if latency_ms <= objective_ms
        )
        unanswered = self._failed_requests + len(self._waiting_by_flow)
        return in_time / (len(self.latencies_ms) + unanswered)

    def _arrival_gap_ms(self, per_second: float) -> float:
        """Draws the time between two requests that arrive independently."""
        return self._rng.expovariate(per_second) * 1_000

    def _start_request(self) -> None:
        """Starts a request."""
        self._open_flow(_Request(self._now_ms, self._next_caller()))

    def _next_caller(self) -> int:
        """Returns the caller of the next request; callers take turns."""
        self._request_count += 1
        return self._request_count % CALLERS

    def _open_flow(self, request: _Request) -> None:
        """Starts an attempt by scheduling its opening packets."""
        self._flow_count += 1
        number = self._flow_count
        self._waiting_by_flow[number] = request
        self._caller_by_flow[number] = request.caller
        self._schedule(OPENING_TIMEOUT_MS, lambda: self._give_up_flow(number))
        for retransmissions, delay_ms in enumerate(OPENING_TIMES_MS):
            send_opening = functools.partial(
                self._send_opening, number, retransmissions
            )
            self._schedule(delay_ms, send_opening)

    def _give_up_flow(self, number: int) -> None:
        """Ends an attempt whose flow was reset or not opened in time."""
        if number in self._answered or number not in self._waiting_by_flow:
            return
        request = self._waiting_by_flow.pop(number)
        age_ms = self._now_ms - request.started_ms
        if request.retries >= MAX_RETRIES or age_ms >= DEADLINE_MS:
            self._failed_requests += 1
            return
        request.retries += 1
        self._open_flow(request)

    def _send_opening(self, number: int, retransmissions: int) -> None:
        """Sends an opening packet, unless the attempt has ended."""
        if number in self._answered or number not in self._waiting_by_flow:
            return
        packet = builders.opening(number, retransmissions=retransmissions)
        action, data_centre = self._send(packet)
        self._deliver(action, data_centre)

    def _deliver(self, action: data.Action, data_centre: str) -> None:
        """Delivers a forwarded opening packet, or a reset.

        Args:
            action: What a host does.
            data_centre: The data centre of the host.
        """
        if not isinstance(action, data.Forward | data.Reset):
            return
        number = (
            action.packet.flow_id.caller_port - builders.flow(0).caller_port
        )
        if isinstance(action, data.Reset):
            self.resets += 1
            self._schedule(ONE_WAY_DELAY_MS, lambda: self._give_up_flow(number))
            return
        upstream = self._upstreams_by_id[action.upstream.upstream_id]
        self.openings += 1
        if upstream.data_centre != data_centre:
            self.crossings += 1
        if upstream.is_alive(self._now_ms):
            self._schedule(
                2 * ONE_WAY_DELAY_MS,
                lambda: self._handle_answer(number, upstream, action.tag),
            )

    def _handle_answer(
        self, number: int, upstream: SimulatedUpstream, tag: int
    ) -> None:
        """Handles the answer to an opening packet at the caller.

        The caller sends its request after the first answer only.
        """
        if number in self._answered or number not in self._waiting_by_flow:
            return
        self._answered.add(number)
        self._send_request(_OpenFlow(number, upstream, tag))

    def _send_request(self, flow: _OpenFlow) -> None:
        """Sends a request on a flow."""
        request = builders.packet(
            flow.number,
            tag=flow.tag,
            sequence=2 + flow.requests * REQUEST_BYTES,
            acknowledged=100 + flow.requests * RESPONSE_BYTES,
            payload_bytes=REQUEST_BYTES,
        )
        flow.requests += 1
        self._send(request)
        if not flow.upstream.is_alive(self._now_ms):
            return
        ready_ms = flow.upstream.enqueue(self._now_ms + ONE_WAY_DELAY_MS)
        if ready_ms is None:
            self._schedule(
                2 * ONE_WAY_DELAY_MS, lambda: self._handle_rejection(flow)
            )
            return
        self._schedule(
            ready_ms + ONE_WAY_DELAY_MS - self._now_ms,
            lambda: self._handle_response(flow),
        )

    def _handle_rejection(self, flow: _OpenFlow) -> None:
        """Lets the caller close a flow whose request was not run."""
        self.rejections += 1
        self._acknowledge(flow, is_closing=True, response=REJECTION_BYTES)
        self._answered.discard(flow.number)
        self._give_up_flow(flow.number)

    def _handle_response(self, flow: _OpenFlow) -> None:
        """Records a response at the caller, which may close the flow."""
        request = self._waiting_by_flow.pop(flow.number)
        self.latencies_ms.append(self._now_ms - request.started_ms)
        if request.gap_ms is None or self._is_finishing:
            self._acknowledge(flow, is_closing=True)
            return
        self._acknowledge(flow, is_closing=False)
        pause_ms = int(self._rng.expovariate(1 / request.gap_ms))
        self._schedule(pause_ms, lambda: self._send_next(flow, request.gap_ms))

    def _send_next(self, flow: _OpenFlow, gap_ms: float | None) -> None:
        """Sends the next request of a long flow, unless the run has ended."""
        if self._is_finishing:
            return
        self._waiting_by_flow[flow.number] = _Request(
            self._now_ms, self._caller_by_flow[flow.number], gap_ms
        )
        self._send_request(flow)

    def _acknowledge(
        self,
        flow: _OpenFlow,
        *,
        is_closing: bool,
        response: int = RESPONSE_BYTES,
    ) -> None:
        """Sends the caller's acknowledgement of a response.

        Args:
            flow: The flow.
            is_closing: Whether the caller closes it.
            response: The bytes of the response.
        """
        packet = builders.packet(
            flow.number,
            tag=flow.tag,
            sequence=2 + flow.requests * REQUEST_BYTES,
            acknowledged=(
                100 + (flow.requests - 1) * RESPONSE_BYTES + response
            ),
            payload_bytes=0,
            is_closing=is_closing,
        )
        self._send(packet)

    def _send(self, packet: data.Packet) -> tuple[data.Action, str]:
        """Sends a packet from the address of its caller."""
        flow_id = packet.flow_id
        number = flow_id.caller_port - builders.flow(0).caller_port
        flow_id = flow_id._replace(
            caller_address=builders.CALLER_ADDRESS
            + self._caller_by_flow[number],
        )
        packet = dataclasses.replace(packet, flow_id=flow_id)
        return self._fleet.handle(packet, self._now_ms)

    def _schedule(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Schedules an action."""
        self._event_count += 1
        due_ms = self._now_ms + delay_ms
        heapq.heappush(self._events, (due_ms, self._event_count, action))

    def _step(self) -> None:
        """Advances the time by one step and runs what is due."""
        self._now_ms += STEP_MS
        while self._events and self._events[0][0] <= self._now_ms:
            heapq.heappop(self._events)[2]()
        self._fleet.step(self._now_ms)
