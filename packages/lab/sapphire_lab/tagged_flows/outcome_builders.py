"""Requests as a host sees them, at upstreams that fail in various ways.

A host sees only what callers send. The packets here are those of the users'
callers and upstreams, see `packets_of`.
"""

from collections.abc import Iterator
import dataclasses
import enum

from sapphire_core.peers import data as peer_data
from sapphire_core.peers import outcome_reports
from sapphire_core.replication import data as replication_data
from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import upstream_table
from sapphire_core.tagged_flows.health import path_time
from sapphire_core.tagged_flows.health import request_outcomes
from sapphire_lab.tagged_flows import builders

REQUEST_BYTES = 170
RESPONSE_BYTES = 770
WORK_MS = 20
# An upstream that rejects or fails a request responds at once.
REJECTION_MS = 8
ERROR_BYTES = {"errors": 149, "shed": 122, "busy": 136}
# When a caller gives a request up.
DEADLINE_MS = 2_176
RETRANSMISSIONS_MS = (200, 600, 1_400)
FIRST_ACKNOWLEDGED = 5_000


class Way(enum.StrEnum):
    """What an upstream does with a request."""

    WELL = "well"
    ERRORS = "errors"
    SHED = "shed"
    BUSY = "busy"
    HANG = "hang"
    RESET = "reset"
    MUTE = "mute"
    SLOW = "slow"


def entry(number: int) -> upstream_table.Entry:
    """Returns the entry of an upstream whose tag is its number."""
    return upstream_table.Entry(
        builders.upstream(f"i-{number}"),
        number,
        replication_data.Position(0, 1),
        0,
    )


def packets_of(
    way: Way, flow_number: int, caller: int
) -> Iterator[tuple[int, data.Packet]]:
    """Yields the caller's packets of one request on a flow of its own.

    Args:
        way: What the upstream does.
        flow_number: Tells the flows of a caller apart.
        caller: The number of the caller.

    Yields:
        When each packet is sent, from the request on, and the packet.
    """
    yield 0, _packet(flow_number, caller, payload_bytes=REQUEST_BYTES)
    received = FIRST_ACKNOWLEDGED
    if way is Way.MUTE:
        for after_ms in RETRANSMISSIONS_MS:
            yield (
                after_ms,
                _packet(flow_number, caller, payload_bytes=REQUEST_BYTES),
            )
    if way is Way.RESET:
        # Its upstream resets the flow, which no host sees.
        return
    if way in (Way.HANG, Way.MUTE):
        yield (
            DEADLINE_MS,
            _packet(flow_number, caller, acknowledged=received, closing=True),
        )
        return
    ended_ms = REJECTION_MS
    if way is Way.WELL or way is Way.SLOW:
        received += RESPONSE_BYTES
        ended_ms = WORK_MS * (8 if way is Way.SLOW else 1)
    else:
        received += ERROR_BYTES[way.value]
    yield ended_ms, _packet(flow_number, caller, acknowledged=received)
    yield (
        ended_ms + 1,
        _packet(flow_number, caller, acknowledged=received, closing=True),
    )


def with_tag(packet: data.Packet, tag: int) -> data.Packet:
    """Returns a packet with the tag of the upstream that answered."""
    return dataclasses.replace(packet, tag=tag)


def _packet(
    flow_number: int,
    caller: int,
    *,
    acknowledged: int = FIRST_ACKNOWLEDGED,
    payload_bytes: int = 0,
    closing: bool = False,
) -> data.Packet:
    """Returns a packet of a flow of the given caller."""
    flow_id = data.FlowId(
        builders.CALLER_ADDRESS + caller,
        1_024 + flow_number,
        builders.SERVICE_ADDRESS,
        builders.SERVICE_PORT,
    )
    sequence = 1_000 if payload_bytes else 1_000 + REQUEST_BYTES
    return data.Packet(
        flow_id,
        False,
        closing,
        False,
        1,
        sequence,
        acknowledged,
        payload_bytes,
        b"",
    )


class ObservedHost:
    """A host that observes requests, one after the other or overlapping.

    Attributes:
        outcomes: The estimator under test.
        now_ms: The current time.
    """

    def __init__(self) -> None:
        self.outcomes = request_outcomes.RequestOutcomes(path_time.PathTime())
        self.now_ms = 0
        self._flows = 0
        self._pending: list[
            tuple[int, int, data.Packet, upstream_table.Entry]
        ] = []

    def request(
        self, way: Way, upstream: upstream_table.Entry, caller: int = 1
    ) -> None:
        """Begins a request now.

        Args:
            way: What its upstream does.
            upstream: The upstream.
            caller: The number of its caller.
        """
        self._flows += 1
        for after_ms, packet in packets_of(way, self._flows, caller):
            self._pending.append(
                (
                    self.now_ms + after_ms,
                    len(self._pending),
                    packet,
                    upstream,
                )
            )

    def run(self, duration_ms: int, step_ms: int = 1) -> None:
        """Lets time pass, with a sweep each 100 ms."""
        for _ in range(0, duration_ms, step_ms):
            due = [each for each in self._pending if each[0] <= self.now_ms]
            self._pending = [
                each for each in self._pending if each[0] > self.now_ms
            ]
            for _, _, packet, upstream in sorted(due, key=lambda d: d[:2]):
                self.outcomes.observe(packet, upstream, self.now_ms)
            if self.now_ms % 100 == 0:
                self.outcomes.sweep(self.now_ms)
            self.now_ms += step_ms

    def learn_usual(self) -> None:
        """Observes enough sound requests, and forgets whose they were."""
        for number in range(30):
            self.request(Way.WELL, entry(99), caller=number)
            self.run(40)
        self.run(request_outcomes.WINDOW_MS + 200)


def evidence(
    *peers: tuple[int, int], own: tuple[int, int] | None = None
) -> outcome_reports.Evidence:
    """Returns evidence from pairs of requests that ended well and badly."""
    return outcome_reports.Evidence(
        None if own is None else counts(*own),
        tuple(counts(*each) for each in peers),
        0,
    )


def counts(
    well: int, badly: int, time_ratio: float = 1.0
) -> outcome_reports.HostCounts:
    """Returns the counts of one host."""
    return outcome_reports.HostCounts(well, badly, well, time_ratio)


def report(
    tag: int, well: int, badly: int, time_ratio: float = 1.0
) -> peer_data.OutcomeReport:
    """Returns the report of one upstream."""
    return peer_data.OutcomeReport(tag, well, badly, well, time_ratio)
