"""What became of requests at each upstream, as seen from callers' packets.

A host forwards the callers' half of each flow and sees no response. It judges
a request by what its caller does next:

| the caller | the request |
| --- | --- |
| acknowledges a response of usual size | ended well |
| acknowledges one far below the median of its route | ended badly: an error |
| closes or resets the flow without any response | ended badly |
| acknowledges nothing for the patience of the route | ended badly: it hangs, \
or the upstream reset the flow, which no host sees |

Signs that share one cause count once: each caller counts once for an upstream.
The path of a caller with bad signs at several upstreams, or of this host where
most upstreams have them, explains them better than the upstreams do, so they
count nothing. See docs/incidents/0007.
"""

import collections
import dataclasses
from typing import NamedTuple

from sapphire_core.peers import outcome_reports
from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import upstream_table
from sapphire_core.tagged_flows.flows import flow_table
from sapphire_core.tagged_flows.health import path_time as path_time_lib
from sapphire_core.tagged_flows.health import usual_responses

# For how long an outcome counts: long enough for about ten requests at an
# upstream of a small service, short enough that it tells of the present.
WINDOW_MS = 3_000
# Bounds of memory: a request in flight takes about 250 bytes, an outcome 150.
MAX_REQUESTS = 4_096
MAX_OUTCOMES = 4_096
# A request without a response for this many mean response times of its route
# hangs. Of the times of the users' requests one in a thousand is longer.
PATIENCE_MEANS = 8
# The least patience: callers repeat data after 200 ms (the protocol), so that
# one lost packet is no sign.
MIN_PATIENCE_MS = 300
# The patience while the usual time of a route is not known, and the most.
MAX_PATIENCE_MS = 1_000
# A response time counts as at most this many times the usual one, so that one
# long request does not stand for the upstream.
MAX_TIME_RATIO = 10.0
# A caller with bad signs at this many upstreams within the window has a bad
# path of its own.
CALLER_PATH_UPSTREAMS = 3
# Bad signs at this many upstreams, and at more than half of those that this
# host sent requests to, come from its own path.
HOST_PATH_UPSTREAMS = 3
_SEQUENCE_MASK = 0xFFFF_FFFF
_HALF_SEQUENCE_SPACE = 0x8000_0000


@dataclasses.dataclass(slots=True, eq=False)
class _Request:
    """A request in flight.

    Attributes:
        entry: The upstream.
        base: What the caller had acknowledged before the request.
        end: The sequence number after the last byte of the request.
        sent_ms: When its data last arrived, repetitions of its last packet
            apart.
        repeated_ms: When its data last arrived, all repetitions included.
        has_response: Whether its caller has acknowledged a response.
        response_ms: How long the response took, once it has one.
        is_hanging: Whether it counts as ended badly already.
    """

    entry: upstream_table.Entry
    base: int
    end: int
    sent_ms: int
    repeated_ms: int
    has_response: bool = False
    response_ms: int = 0
    is_hanging: bool = False


class _Outcome(NamedTuple):
    """The end of one request, or the begin of its response.

    Two are made of each request.

    Attributes:
        at_ms: When it was observed.
        tag: The tag of the upstream.
        caller: The address of the caller.
        is_bad: Whether it ended badly; None for the begin of a response.
        time_ratio: The response time relative to the mean of the route.
    """

    at_ms: int
    tag: int
    caller: int
    is_bad: bool | None
    time_ratio: float = 1.0


class RequestOutcomes:
    """Estimates by upstream from the requests of the last seconds.

    The counts are exact for what this host saw; a share of n requests has a
    standard error of up to 0.5 / sqrt(n). A request whose flow moves to another
    host between its data and its response counts as hanging; when a host joins
    or leaves, this is one of the requests in flight at each host, at most.

    Args:
        path_time: How much longer than usual the way takes, which is no fault
            of an upstream.
    """

    def __init__(self, path_time: path_time_lib.PathTime) -> None:
        self._path_time = path_time
        self._usual = usual_responses.UsualResponses()
        self._requests: collections.OrderedDict[data.FlowId, _Request] = (
            collections.OrderedDict()
        )
        self._outcomes: collections.deque[_Outcome] = collections.deque(
            maxlen=MAX_OUTCOMES
        )

    def __len__(self) -> int:
        """Returns the number of requests in flight."""
        return len(self._requests)

    def observe(
        self, packet: data.Packet, entry: upstream_table.Entry, now_ms: int
    ) -> int | None:
        """Updates the outcomes from a packet of a caller.

        Args:
            packet: The packet, not an opening packet.
            entry: The upstream of its flow.
            now_ms: The current time.

        Returns:
            The response time in milliseconds if the caller acknowledges the
            begin of a response that is no error, otherwise None. It is without
            the transfer of the request and its excess on the way.
        """
        request = self._requests.get(packet.flow_id)
        if request is None:
            if packet.payload_bytes > 0:
                self._observe_data(packet, entry, None, now_ms)
            return None
        had_response = request.has_response
        self._observe_request(packet, entry, request, now_ms)
        if had_response or not request.has_response:
            return None
        if self._usual.is_short(
            packet.flow_id.endpoint, _received_bytes(packet, request)
        ):
            return None
        return request.response_ms

    def _processing_ms(self, request: _Request, now_ms: int) -> int:
        """Returns how long a request waits, delays of the way apart.

        Counted from its last data, repetitions included: the transfer of a
        request depends on the links, not on the upstream.
        """
        path_ms = self._path_time.excess_ms(now_ms)
        return max(0, now_ms - request.repeated_ms - path_ms)

    def _observe_request(
        self,
        packet: data.Packet,
        entry: upstream_table.Entry,
        request: _Request,
        now_ms: int,
    ) -> None:
        """Updates a request in flight from a packet of its caller."""
        if packet.is_reset or packet.is_closing:
            self._finish(packet, request, now_ms)
            return
        if packet.payload_bytes > 0:
            self._observe_data(packet, entry, request, now_ms)
            return
        received_bytes = _received_bytes(packet, request)
        if received_bytes == 0:
            return
        self._observe_response(packet, request, now_ms)
        if received_bytes % flow_table.FULL_PACKET_BYTES != 0:
            self._finish(packet, request, now_ms)

    def sweep(self, now_ms: int) -> None:
        """Records which requests hang, and forgets old outcomes.

        Args:
            now_ms: The current time.
        """
        path_ms = self._path_time.excess_ms(now_ms)
        for flow_id, request in list(self._requests.items()):
            waited_ms = now_ms - request.sent_ms
            if waited_ms > flow_table.STALLED_FLOW_TTL_MS * 2:
                del self._requests[flow_id]
            if request.has_response or request.is_hanging:
                continue
            if waited_ms >= self._patience_ms(flow_id.endpoint) + path_ms:
                request.is_hanging = True
                self._record(flow_id, request.entry, now_ms, is_bad=True)
        while self._outcomes and (now_ms - self._outcomes[0].at_ms > WINDOW_MS):
            self._outcomes.popleft()

    def longest_usual_ms(self, endpoint: data.Endpoint) -> float | None:
        """Returns the time that few requests of a route exceed.

        Args:
            endpoint: The endpoint of the route.

        Returns:
            The time; None while too few responses are known.
        """
        mean_ms = self._usual.mean_ms(endpoint)
        return None if mean_ms is None else mean_ms * PATIENCE_MEANS

    def forget_requests(self) -> None:
        """Forgets the requests in flight.

        To be called if this process has stalled: what their callers sent
        meanwhile is still to be read.
        """
        self._requests.clear()

    def by_tag(self) -> dict[int, outcome_reports.HostCounts]:
        """Returns what became of requests at each upstream, by its tag.

        The outcomes are those since the last sweep's window began.
        """
        own_path_callers = self._callers_with_bad_path()
        well: collections.Counter[int] = collections.Counter()
        answered: collections.Counter[int] = collections.Counter()
        ratios: dict[int, float] = {}
        bad_callers: dict[int, set[int]] = {}
        for outcome in self._outcomes:
            if outcome.is_bad is None:
                answered[outcome.tag] += 1
                ratios[outcome.tag] = (
                    ratios.get(outcome.tag, 0.0) + outcome.time_ratio
                )
            elif not outcome.is_bad:
                well[outcome.tag] += 1
            elif outcome.caller not in own_path_callers:
                bad_callers.setdefault(outcome.tag, set()).add(outcome.caller)
        tags = well.keys() | answered.keys() | bad_callers.keys()
        if len(bad_callers) >= HOST_PATH_UPSTREAMS and 2 * len(
            bad_callers
        ) > len(tags):
            bad_callers = {}
        return {
            tag: outcome_reports.HostCounts(
                well[tag],
                len(bad_callers.get(tag, ())),
                answered[tag],
                ratios[tag] / answered[tag] if answered[tag] else 1.0,
            )
            for tag in tags
        }

    def _observe_data(
        self,
        packet: data.Packet,
        entry: upstream_table.Entry,
        request: _Request | None,
        now_ms: int,
    ) -> None:
        """Updates the outcomes from a packet with payload.

        The payload is a new request, more of one, or a retransmission.
        """
        end = (packet.sequence + packet.payload_bytes) & _SEQUENCE_MASK
        if request is not None and not _received_bytes(packet, request):
            distance = _distance(end, request.end)
            if distance > 0:
                request.end = end
            request.repeated_ms = now_ms
            if distance != 0:
                # More of the request, or what was lost of it on the way.
                request.sent_ms = now_ms
            return
        if request is not None and _distance(end, request.end) <= 0:
            self._observe_response(packet, request, now_ms)
            return
        if request is not None:
            self._finish(packet, request, now_ms)
        self._requests[packet.flow_id] = _Request(
            entry, packet.acknowledged, end, now_ms, now_ms
        )
        if len(self._requests) > MAX_REQUESTS:
            self._requests.popitem(last=False)

    def _observe_response(
        self, packet: data.Packet, request: _Request, now_ms: int
    ) -> None:
        """Records the time of a response when its caller first has a part."""
        if request.has_response:
            return
        request.has_response = True
        endpoint = packet.flow_id.endpoint
        time_ms = self._processing_ms(request, now_ms)
        request.response_ms = time_ms
        mean_ms = self._usual.mean_ms(endpoint)
        self._usual.record_time(endpoint, time_ms)
        if mean_ms is None:
            return
        self._outcomes.append(
            _Outcome(
                now_ms,
                request.entry.tag,
                packet.flow_id.caller_address,
                None,
                min(time_ms / mean_ms, MAX_TIME_RATIO),
            )
        )

    def _finish(
        self, packet: data.Packet, request: _Request, now_ms: int
    ) -> None:
        """Records how a request ended."""
        del self._requests[packet.flow_id]
        received_bytes = _received_bytes(packet, request)
        if received_bytes > 0:
            self._observe_response(packet, request, now_ms)
        if request.is_hanging:
            # Recorded already; a response after the patience changes nothing.
            return
        endpoint = packet.flow_id.endpoint
        is_bad = received_bytes == 0
        if received_bytes > 0:
            is_bad = self._usual.is_short(endpoint, received_bytes)
            self._usual.record_size(endpoint, received_bytes, now_ms)
        self._record(packet.flow_id, request.entry, now_ms, is_bad=is_bad)

    def _record(
        self,
        flow_id: data.FlowId,
        entry: upstream_table.Entry,
        now_ms: int,
        *,
        is_bad: bool,
    ) -> None:
        """Records the end of a request, or that it hangs."""
        self._outcomes.append(
            _Outcome(now_ms, entry.tag, flow_id.caller_address, is_bad)
        )

    def _patience_ms(self, endpoint: data.Endpoint) -> float:
        """Returns after which time without a response a request hangs."""
        mean_ms = self._usual.mean_ms(endpoint)
        if mean_ms is None:
            return MAX_PATIENCE_MS
        return min(
            max(mean_ms * PATIENCE_MEANS, MIN_PATIENCE_MS), MAX_PATIENCE_MS
        )

    def _callers_with_bad_path(self) -> set[int]:
        """Returns the callers that have bad signs at several upstreams."""
        tags_by_caller: dict[int, set[int]] = {}
        for outcome in self._outcomes:
            if outcome.is_bad:
                tags = tags_by_caller.setdefault(outcome.caller, set())
                tags.add(outcome.tag)
        return {
            caller
            for caller, tags in tags_by_caller.items()
            if len(tags) >= CALLER_PATH_UPSTREAMS
        }


def _received_bytes(packet: data.Packet, request: _Request) -> int:
    """Returns how much of its response the caller has acknowledged."""
    return max(0, _distance(packet.acknowledged, request.base))


def _distance(number: int, other: int) -> int:
    """Returns how far a sequence number is after another, modulo 2**32."""
    distance = (number - other) & _SEQUENCE_MASK
    if distance >= _HALF_SEQUENCE_SPACE:
        return distance - _SEQUENCE_MASK - 1
    return distance
