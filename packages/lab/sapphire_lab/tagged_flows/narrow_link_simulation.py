"""A simulation of one host whose link to the upstreams is narrow.

Some callers upload, others send a short request from time to time on a flow
that stays open, or open a flow for each request. All packets from the host to
the upstreams share one link with a queue. Upstreams are always alive and answer
callers directly, not through the host, so every reset of an open flow is wrong.
Callers retransmit as the platform's callers do.
"""

from collections.abc import Callable
import dataclasses
import functools
import heapq
import random

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import decisions
from sapphire_core.tagged_flows import link_queue
from sapphire_core.tagged_flows import steering as steering_lib
from sapphire_lab.tagged_flows import builders

STEP_MS = 1
TICK_MS = 10
SWEEP_MS = 100
JUDGE_MS = 500
# From a caller to the host, from the link to an upstream, and from an upstream
# to a caller.
ONE_WAY_DELAY_MS = 2
HEADER_BYTES = 68
REQUEST_BYTES = 300
RESPONSE_BYTES = 900
FULL_PACKET_BYTES = 1_200
MAX_PACKETS_IN_FLIGHT = 16
FIRST_RETRANSMISSION_MS = 200
MAX_RETRANSMISSION_MS = 1_600
RANDOM_UPLOADS_MS = 10_000
OPENING_TIMES_MS = (0, 200, 600)
FEED_SERVICE = "board"
UPLOAD_SERVICE = "intake"


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What callers send through the host.

    Attributes:
        bytes_per_ms: The rate of the host's link.
        max_queue_ms: The longest time that a packet waits for the link; further
            packets are lost.
        has_link_queue: Whether the host knows the rate of its link and queues
            what the link cannot carry.
        loss: The share of packets that the link loses, from 0 to 1.
        feeds: How many flows stay open for a request every `feed_pause_ms`.
        feed_pause_ms: The mean pause between two requests of a feed.
        uploads: How many uploads start every `upload_pause_ms`.
        upload_pause_ms: The time between the starts of two groups of uploads.
        random_uploads: How many further uploads start at random times in the
            first ten seconds.
        upload_packets: The full packets of one upload.
        openings_per_s: How many flows for one request are opened each second.
        work_ms: How long an upstream processes a request.
        objective_ms: The latency objective of all routes.
        lapse_ms: When the entry of one live upstream is removed from the
            registry as if it had stopped; None for never.
    """

    bytes_per_ms: float = 250.0
    max_queue_ms: int = 1_000
    has_link_queue: bool = False
    loss: float = 0.0
    feeds: int = 20
    feed_pause_ms: int = 4_000
    uploads: int = 3
    upload_pause_ms: int = 3_000
    random_uploads: int = 0
    upload_packets: int = 60
    openings_per_s: int = 6
    work_ms: int = 40
    objective_ms: int = 200
    lapse_ms: int | None = None


@dataclasses.dataclass(slots=True)
class _Flow:
    """A flow as its caller sees it.

    Attributes:
        number: Selects the caller's port.
        port: The service's port.
        tag: The tag of the upstream that answered first.
        sequence: The sequence number of the next byte that the caller sends.
        acknowledged: What the caller acknowledges.
        unacknowledged: The payload sizes in flight, by their sequence number.
        unsent_packets: The full packets still to be sent.
        started_ms: When its caller opened it.
        is_open: Whether an upstream has answered the opening packet.
        is_feed: Whether the flow stays open for further requests.
        is_reset: Whether the host has reset the flow.
    """

    number: int
    port: int
    is_feed: bool
    started_ms: int
    unsent_packets: int = 0
    tag: int = 0
    sequence: int = 2
    acknowledged: int = 100
    unacknowledged: dict[int, int] = dataclasses.field(default_factory=dict)
    is_open: bool = False
    is_reset: bool = False


class NarrowLinkSimulation:
    """Simulates callers, one host, its link, and upstreams that never fail.

    Attributes:
        resets: The decisions by which the host has reset open flows.
        refusals: How many opening packets it has refused.
        ejections: How many upstreams it has ejected.
        retransmissions: How many packets of open flows callers have repeated.
        responses: How many responses have reached callers.
        upload_times_ms: How long each finished upload took.
        lost_packets: How many packets the link has lost.

    Args:
        load: What callers send.
        seed: Seeds the times of requests, losses and the host's choices.
    """

    def __init__(self, load: Load, seed: int) -> None:
        self.resets: list[decisions.Decision] = []
        self.refusals = 0
        self.ejections = 0
        self.retransmissions = 0
        self.responses = 0
        self.upload_times_ms: list[int] = []
        self.lost_packets = 0
        self._load = load
        self._rng = random.Random(seed)
        self._steering = steering_lib.Steering(
            builders.DATA_CENTRE, random.Random(seed), self._record_decision
        )
        services = (FEED_SERVICE, UPLOAD_SERVICE)
        self._steering.configure(
            builders.configuration(1, services, objective_ms=load.objective_ms)
        )
        self._steering.apply_peer_reports({}, {}, 1, 0)
        for number in range(4):
            service = services[number % 2]
            self._steering.upstream_table.put(
                builders.upstream(f"i-{number}", service), number + 1, 0
            )
        self._link_queue = link_queue.LinkQueue(
            load.bytes_per_ms if load.has_link_queue else None
        )
        self._now_ms = 0
        self._link_free_ms = 0.0
        self._flow_count = 0
        self._event_count = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._received_by_flow: dict[int, set[int]] = {}
        self._flows_by_number: dict[int, _Flow] = {}

    def run(self, seconds: int) -> None:
        """Runs the callers for a time.

        Args:
            seconds: For how long, in simulated time.
        """
        for _ in range(self._load.feeds):
            delay_ms = self._rng.randrange(self._load.feed_pause_ms)
            self._schedule(
                delay_ms, functools.partial(self._start, is_feed=True)
            )
        for start_ms in range(500, seconds * 1_000, self._load.upload_pause_ms):
            for _ in range(self._load.uploads):
                self._schedule(start_ms, self._start_upload)
        for _ in range(self._load.random_uploads):
            self._schedule(
                self._rng.randrange(RANDOM_UPLOADS_MS), self._start_upload
            )
        for _ in range(seconds * self._load.openings_per_s):
            delay_ms = self._rng.randrange(seconds * 1_000)
            self._schedule(
                delay_ms, functools.partial(self._start, is_feed=False)
            )
        if self._load.lapse_ms is not None:
            self._schedule(self._load.lapse_ms, self._remove_entry)
        while self._now_ms < seconds * 1_000:
            self._step()

    def _remove_entry(self) -> None:
        """Removes the entry of one upstream from the registry."""
        self._steering.upstream_table.remove(
            "i-0", self._now_ms, data.RemovalCause.UPSTREAM_STOPPED
        )

    def _record_decision(self, decision: decisions.Decision) -> None:
        """Records a decision by which the host resets a flow."""
        if decision.verdict is data.Verdict.UPSTREAM_GONE:
            self.resets.append(decision)
        self.refusals += decision.verdict is data.Verdict.SHED

    def _open(
        self, *, is_feed: bool, port: int = builders.SERVICE_PORT
    ) -> _Flow:
        """Starts a flow by scheduling its opening packets."""
        self._flow_count += 1
        flow = _Flow(self._flow_count, port, is_feed, self._now_ms)
        self._flows_by_number[flow.number] = flow
        for retransmissions, delay_ms in enumerate(OPENING_TIMES_MS):
            self._schedule(
                delay_ms,
                functools.partial(self._send_opening, flow, retransmissions),
            )
        return flow

    def _start(self, *, is_feed: bool) -> None:
        """Starts a feed, or a flow for one request."""
        self._open(is_feed=is_feed)

    def _start_upload(self) -> None:
        """Starts an upload."""
        flow = self._open(is_feed=False, port=builders.SERVICE_PORT + 1)
        flow.unsent_packets = self._load.upload_packets

    def _send_opening(self, flow: _Flow, retransmissions: int) -> None:
        """Sends an opening packet, unless the flow is open or refused."""
        if flow.is_open or flow.is_reset:
            return
        packet = builders.opening(
            flow.number, retransmissions=retransmissions, port=flow.port
        )
        self._handle(flow, packet)

    def _handle(self, flow: _Flow, packet: data.Packet) -> None:
        """Lets the host handle a packet and does what it decides."""
        self._apply(flow, self._steering.handle(packet, self._now_ms))

    def _apply(self, flow: _Flow, action: data.Action) -> None:
        """Sends a forwarded packet over the link, or a reset to the caller."""
        if isinstance(action, data.Reset):
            flow.is_reset = True
        if not isinstance(action, data.Forward):
            return
        admission = self._link_queue.admit(action, self._now_ms)
        if admission is link_queue.Admission.SENT:
            self._transmit_forward(flow, action)

    def _transmit_forward(self, flow: _Flow, action: data.Forward) -> None:
        """Sends a packet over the link, which may lose it."""
        packet = action.packet
        delay_ms = self._pass_link(HEADER_BYTES + packet.payload_bytes)
        if delay_ms is None:
            self.lost_packets += 1
            return
        self._schedule(
            delay_ms + ONE_WAY_DELAY_MS,
            lambda: self._receive(flow, packet, action.tag),
        )

    def _pass_link(self, size: int) -> int | None:
        """Returns when a datagram has passed the link, None if it is lost."""
        wait_ms = max(0.0, self._link_free_ms - self._now_ms)
        if wait_ms > self._load.max_queue_ms:
            return None
        if self._rng.random() < self._load.loss:
            return None
        wait_ms += size / self._load.bytes_per_ms
        self._link_free_ms = self._now_ms + wait_ms
        return int(wait_ms) + 1

    def _receive(self, flow: _Flow, packet: data.Packet, tag: int) -> None:
        """Handles a packet at the upstream, which answers the caller."""
        if packet.is_opening:
            self._schedule(
                ONE_WAY_DELAY_MS, lambda: self._handle_answer(flow, tag)
            )
            return
        if packet.payload_bytes == 0:
            return
        received = self._received_by_flow.setdefault(flow.number, set())
        is_new = packet.sequence not in received
        received.add(packet.sequence)
        self._schedule(
            ONE_WAY_DELAY_MS,
            lambda: self._handle_acknowledgement(flow, packet.sequence),
        )
        is_upload = flow.port != builders.SERVICE_PORT
        if not is_new or (
            is_upload and len(received) < self._load.upload_packets
        ):
            return
        self._schedule(
            self._load.work_ms + ONE_WAY_DELAY_MS,
            lambda: self._handle_response(flow),
        )

    def _handle_answer(self, flow: _Flow, tag: int) -> None:
        """Handles the first answer to an opening packet at the caller."""
        if flow.is_open:
            return
        flow.is_open = True
        flow.tag = tag
        if flow.port != builders.SERVICE_PORT:
            self._fill_window(flow)
            return
        self._send_data(flow, REQUEST_BYTES)

    def _handle_acknowledgement(self, flow: _Flow, sequence: int) -> None:
        """Handles an acknowledgement of data at the caller."""
        if flow.unacknowledged.pop(sequence, None) is not None:
            self._fill_window(flow)

    def _fill_window(self, flow: _Flow) -> None:
        """Sends as much of an upload as may be in flight."""
        while (
            flow.unsent_packets > 0
            and len(flow.unacknowledged) < MAX_PACKETS_IN_FLIGHT
        ):
            flow.unsent_packets -= 1
            self._send_data(flow, FULL_PACKET_BYTES)

    def _send_data(self, flow: _Flow, size: int) -> None:
        """Sends new data of a caller and schedules its retransmissions."""
        sequence = flow.sequence
        flow.sequence += size
        flow.unacknowledged[sequence] = size
        self._transmit(flow, sequence, FIRST_RETRANSMISSION_MS)

    def _transmit(self, flow: _Flow, sequence: int, timeout_ms: int) -> None:
        """Sends data until it is acknowledged or the flow is reset."""
        size = flow.unacknowledged.get(sequence)
        if size is None or flow.is_reset:
            return
        self.retransmissions += timeout_ms > FIRST_RETRANSMISSION_MS
        self._schedule(
            timeout_ms,
            lambda: self._transmit(
                flow, sequence, min(2 * timeout_ms, MAX_RETRANSMISSION_MS)
            ),
        )
        self._handle(flow, self._packet(flow, sequence, size))

    def _packet(
        self, flow: _Flow, sequence: int, size: int, *, is_closing: bool = False
    ) -> data.Packet:
        """Returns a packet of the caller of an open flow."""
        packet = builders.packet(
            flow.number,
            tag=flow.tag,
            sequence=sequence,
            acknowledged=flow.acknowledged,
            payload_bytes=size,
            is_closing=is_closing,
        )
        flow_id = builders.flow(flow.number, flow.port)
        return dataclasses.replace(packet, flow_id=flow_id)

    def _handle_response(self, flow: _Flow) -> None:
        """Acknowledges a response; a feed sends its next request later."""
        if flow.is_reset:
            return
        self.responses += 1
        if flow.port != builders.SERVICE_PORT:
            self.upload_times_ms.append(self._now_ms - flow.started_ms)
        flow.acknowledged += RESPONSE_BYTES
        is_closing = not flow.is_feed
        packet = self._packet(flow, flow.sequence, 0, is_closing=is_closing)
        self._handle(flow, packet)
        if flow.is_feed:
            pause_ms = int(self._rng.expovariate(1 / self._load.feed_pause_ms))
            self._schedule(
                pause_ms,
                functools.partial(self._send_data, flow, REQUEST_BYTES),
            )

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
        if self._now_ms % TICK_MS == 0:
            for forward in self._link_queue.release(self._now_ms):
                self._transmit_forward(self._flow_of(forward.packet), forward)
        if self._now_ms % TICK_MS == 0 and self._steering.has_pending:
            for action in self._steering.tick(self._now_ms):
                self._apply(self._flow_of(action.packet), action)
        if self._now_ms % SWEEP_MS == 0:
            self._steering.sweep(self._now_ms)
        if self._now_ms % JUDGE_MS == 0:
            changes = self._steering.ejection_control.update({}, self._now_ms)
            self.ejections += sum(change.is_ejected for change in changes)

    def _flow_of(self, packet: data.Packet) -> _Flow:
        """Returns the flow of a packet."""
        number = packet.flow_id.caller_port - builders.flow(0).caller_port
        return self._flows_by_number[number]
