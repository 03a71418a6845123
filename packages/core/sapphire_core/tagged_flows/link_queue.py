"""What leaves first on a narrow link, and when.

A link that gets more than it carries loses packets once its short queue is
full. Callers repeat them after 200 ms and longer, so an upload that shares the
link with others takes seconds instead of a fraction of one. A host therefore
sends full packets, which belong to long requests, at the rate of its link and
queues the rest itself. What is short leaves at once: opening packets, short
requests and acknowledgements. Of the long requests the one that began first
leaves first, so that it ends early instead of all of them ending late. The
repetition of a packet that is still queued is not sent a second time.
"""

import collections
import dataclasses
import enum

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows.flows import flow_table

# The part of the link that packets and heartbeats may take. The rest is for
# pulls and store calls, and for what the estimate of sizes leaves out.
USABLE_PART = 0.95
# What may leave at once after a pause: less than the queue of a link holds, and
# more than leaves between two ticks.
BURST_MS = 25
# Two full packets, for links that carry less in that time.
MIN_BURST_BYTES = 2_600
# What may be queued, in time of the link. Callers that wait for longer than
# this have repeated all that they have in flight.
MAX_QUEUED_MS = 1_000
# Bounds the memory that the queue of a wide link can take.
MAX_QUEUED_BYTES = 8_388_608
# A flow that sends nothing long for this time has begun another request: the
# longest time between two repetitions of a caller (1,600 ms, the protocol).
REQUEST_PAUSE_MS = 2_000
# How often the requests that have ended are looked for.
FORGET_INTERVAL_MS = 500
# The head of a datagram on the link: of IP, UDP and the packet.
HEAD_BYTES = 68


class Admission(enum.StrEnum):
    """What becomes of a packet; the value is its name in counters.

    Attributes:
        SENT: It leaves now.
        QUEUED: It leaves later.
        REPEATED: It does not leave: a copy of it is queued already.
        DROPPED: It does not leave: too much is queued.
    """

    SENT = "sent"
    QUEUED = "queued"
    REPEATED = "repeated"
    DROPPED = "dropped"


@dataclasses.dataclass(slots=True)
class _LongRequest:
    """A request of full packets.

    Attributes:
        started_ms: When its first full packet arrived.
        last_ms: When its last packet arrived.
        queued: Its packets that wait, in their order, by sequence number.
    """

    started_ms: int
    last_ms: int
    queued: collections.OrderedDict[int, data.Forward] = dataclasses.field(
        default_factory=collections.OrderedDict
    )


class LinkQueue:
    """The packets that wait for the link of this host.

    Args:
        bytes_per_ms: The rate of the link; None if it is not known, so that
            nothing waits.
    """

    def __init__(self, bytes_per_ms: float | None) -> None:
        self._rate: float | None = None
        self._budget = 0.0
        self._updated_ms: int | None = None
        self._requests_by_flow: dict[data.FlowId, _LongRequest] = {}
        self._queued_packets = 0
        self._queued_bytes = 0
        self._forgotten_ms = 0
        self.set_rate(bytes_per_ms)

    def __len__(self) -> int:
        """Returns the number of packets that wait."""
        return self._queued_packets

    def set_rate(self, bytes_per_ms: float | None) -> None:
        """Sets the rate of the link; packets that wait leave by it.

        Args:
            bytes_per_ms: The rate; None if it is not known.
        """
        self._rate = None
        if bytes_per_ms is not None:
            self._rate = bytes_per_ms * USABLE_PART
            self._budget = _burst_bytes(self._rate)

    def record_sent(self, size_bytes: int) -> None:
        """Records what else this host has sent over the link.

        Args:
            size_bytes: The size of all datagrams, their heads included.
        """
        self._budget -= size_bytes

    def admit(self, forward: data.Forward, now_ms: int) -> Admission:
        """Decides what becomes of a packet, and queues it if it has to wait.

        Args:
            forward: The packet.
            now_ms: The current time.
        """
        if self._rate is None:
            return Admission.SENT
        packet = forward.packet
        self._update_budget(self._rate, now_ms)
        request = self._request_of(packet, now_ms)
        if request is None or not self._must_wait(packet, request):
            self._budget -= _size(packet)
            return Admission.SENT
        if packet.sequence in request.queued:
            return Admission.REPEATED
        if self._queued_bytes >= min(
            self._rate * MAX_QUEUED_MS, MAX_QUEUED_BYTES
        ):
            return Admission.DROPPED
        request.queued[packet.sequence] = forward
        self._queued_packets += 1
        self._queued_bytes += _size(packet)
        return Admission.QUEUED

    def release(self, now_ms: int) -> list[data.Forward]:
        """Returns the packets that may leave now.

        To be called every 10 ms while packets wait, and from time to time.

        Args:
            now_ms: The current time.
        """
        if now_ms - self._forgotten_ms >= FORGET_INTERVAL_MS:
            self._forgotten_ms = now_ms
            self._forget_ended(now_ms)
        if self._queued_packets == 0:
            return []
        if self._rate is not None:
            self._update_budget(self._rate, now_ms)
        waiting = [
            request
            for request in self._requests_by_flow.values()
            if request.queued
        ]
        waiting.sort(key=lambda request: request.started_ms)
        released: list[data.Forward] = []
        for request in waiting:
            while request.queued and (self._rate is None or self._budget > 0):
                _, forward = request.queued.popitem(last=False)
                size = _size(forward.packet)
                self._budget -= size
                self._queued_packets -= 1
                self._queued_bytes -= size
                released.append(forward)
        return released

    def _request_of(
        self, packet: data.Packet, now_ms: int
    ) -> _LongRequest | None:
        """Returns the long request that a packet belongs to, if any.

        A reset gives up what waits of its flow.
        """
        request = self._requests_by_flow.get(packet.flow_id)
        if packet.is_reset and request is not None:
            self._discard(packet.flow_id, request)
            return None
        if packet.is_opening or (
            packet.payload_bytes == 0 and not packet.is_closing
        ):
            return None
        is_long = packet.payload_bytes >= flow_table.FULL_PACKET_BYTES
        if request is None:
            if not is_long:
                return None
            request = _LongRequest(now_ms, now_ms)
            self._requests_by_flow[packet.flow_id] = request
        elif now_ms - request.last_ms > REQUEST_PAUSE_MS:
            request.started_ms = now_ms
        request.last_ms = now_ms
        return request

    def _must_wait(self, packet: data.Packet, request: _LongRequest) -> bool:
        """Whether a packet waits for its turn.

        The end of a request follows the data before it, so that its flow stays
        in order.
        """
        if request.queued:
            return True
        if packet.payload_bytes < flow_table.FULL_PACKET_BYTES:
            return False
        return self._budget <= 0 or self._queued_packets > 0

    def _discard(self, flow_id: data.FlowId, request: _LongRequest) -> None:
        """Discards a request and what waits of it."""
        self._queued_packets -= len(request.queued)
        self._queued_bytes -= sum(
            _size(forward.packet) for forward in request.queued.values()
        )
        del self._requests_by_flow[flow_id]

    def _forget_ended(self, now_ms: int) -> None:
        """Forgets the requests of which nothing came for some time."""
        for flow_id, request in list(self._requests_by_flow.items()):
            if request.queued:
                continue
            if now_ms - request.last_ms > REQUEST_PAUSE_MS:
                del self._requests_by_flow[flow_id]

    def _update_budget(self, rate: float, now_ms: int) -> None:
        """Adds what the link has carried since the last call.

        What leaves without waiting puts the others back by one burst at most.
        """
        burst = _burst_bytes(rate)
        if self._updated_ms is not None:
            self._budget += (now_ms - self._updated_ms) * rate
        self._updated_ms = now_ms
        self._budget = min(max(self._budget, -burst), burst)


def _burst_bytes(rate: float) -> float:
    """Returns what may leave at once over a link.

    Args:
        rate: What may leave on average, in bytes a millisecond.
    """
    return max(rate * BURST_MS, MIN_BURST_BYTES)


def _size(packet: data.Packet) -> int:
    """Returns what a packet takes on the link, in bytes."""
    return HEAD_BYTES + packet.payload_bytes
