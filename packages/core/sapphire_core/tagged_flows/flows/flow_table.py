"""The flow table: records of open flows, as soft state.

A flow continues without its record, since a host can forward its packets by
their tag. The records serve to count in-flight requests and to detect dead
upstreams. They also pin a flow to the upstream that opened it if its opening
packet was sent to two upstreams and both answered: the tag of the later answer
is on the packets from then on.
"""

import collections
from collections.abc import Set
import dataclasses

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import upstream_table
from sapphire_core.tagged_flows.flows import smoothed_load

# A record takes about 200 bytes, so the table takes 4 MB at most.
MAX_RECORDS = 20_000
# A request whose end this host did not see counts as ended this long after its
# last data: ten times the mean processing time of the users' slowest kind of
# request.
MAX_REQUEST_MS = 500
# Callers retransmit data after 200 ms (the protocol), less the jitter of links.
MIN_RETRANSMISSION_MS = 150
# How often a caller repeats its data until its flow counts as stalled: after
# 200 and 600 ms (the protocol). A request may take longer than the first.
STALLED_RETRANSMISSIONS = 2
# A stalled flow counts for this long after its last packet: longer than the
# longest time between two retransmissions (1,600 ms, the protocol).
STALLED_FLOW_TTL_MS = 2_000
# The time over which repeated data is counted: a host sees some four requests a
# second, and one in ten of them is to be noticed.
REPEATED_DATA_WINDOW_MS = 5_000
# The data of a full packet (the protocol). Only the last packet of a response
# carries less, so a response of which the caller has acknowledged full packets
# only goes on.
FULL_PACKET_BYTES = 1_200
_SEQUENCE_MASK = 0xFFFF_FFFF
_HALF_SEQUENCE_SPACE = 0x8000_0000


@dataclasses.dataclass(slots=True, eq=False)
class FlowRecord:
    """The state of one flow, as observed from its caller's packets.

    Attributes:
        entry: The upstream of the flow.
        first_seen_ms: When this host added the record.
        last_packet_ms: When its last packet arrived.
        next_sequence: The sequence number after the last byte of data seen.
        acknowledged: The highest sequence number that the caller acknowledged.
        request_data_ms: When the last new data of the in-flight request
            arrived; None if no request is in flight.
        waiting_since_ms: When the caller last sent new data, or acknowledged a
            part of the response; None if it waits for no response.
        retransmissions: How often the caller has retransmitted the last data
            without any progress.
        last_new_data_ms: When the last new data arrived.
        last_retransmission_ms: When the caller last retransmitted data.
        is_closed: Whether the caller has closed or reset the flow.
        is_stall_reported: Whether it is logged that the flow is stalled, since
            its last new data.
        is_second_answer_reported: Whether it is logged that another upstream
            has answered the opening packet too.
    """

    entry: upstream_table.Entry
    first_seen_ms: int
    last_packet_ms: int
    next_sequence: int = 0
    acknowledged: int = 0
    request_data_ms: int | None = None
    waiting_since_ms: int | None = None
    retransmissions: int = 0
    last_new_data_ms: int = 0
    last_retransmission_ms: int = 0
    is_closed: bool = False
    is_stall_reported: bool = False
    is_second_answer_reported: bool = False

    @property
    def is_stalled(self) -> bool:
        """Whether the caller repeats its data and the upstream is silent."""
        return (
            not self.is_closed
            and self.retransmissions >= STALLED_RETRANSMISSIONS
        )


class FlowTable:
    """The records of open flows, least recently seen first.

    Attributes:
        load: The requests in flight at each upstream.
    """

    def __init__(self) -> None:
        self._by_flow: collections.OrderedDict[data.FlowId, FlowRecord] = (
            collections.OrderedDict()
        )
        self.load = smoothed_load.SmoothedLoad()

    def __len__(self) -> int:
        """Returns the number of records."""
        return len(self._by_flow)

    def get(self, flow_id: data.FlowId) -> FlowRecord | None:
        """Returns the record of a flow, None if there is none."""
        return self._by_flow.get(flow_id)

    def in_flight(self, upstream_id: str) -> int:
        """Returns the number of in-flight requests at an upstream."""
        return self.load.current(upstream_id)

    def add(
        self,
        flow_id: data.FlowId,
        entry: upstream_table.Entry,
        now_ms: int,
    ) -> FlowRecord:
        """Adds a record, in place of any former one of the same flow.

        The least recently seen record is evicted if there are too many.

        Args:
            flow_id: The flow.
            entry: The upstream of the flow.
            now_ms: The current time.

        Returns:
            The new record.
        """
        self.discard(flow_id)
        record = FlowRecord(entry, now_ms, now_ms)
        self._by_flow[flow_id] = record
        if len(self._by_flow) > MAX_RECORDS:
            self.discard(next(iter(self._by_flow)))
        return record

    def observe(
        self, packet: data.Packet, record: FlowRecord, now_ms: int
    ) -> None:
        """Updates the record of a flow from a packet of its caller.

        Args:
            packet: The packet, not an opening packet.
            record: The record of its flow.
            now_ms: The current time.
        """
        record.last_packet_ms = now_ms
        self._by_flow.move_to_end(packet.flow_id)
        if packet.is_reset or packet.is_closing:
            record.waiting_since_ms = None
            self._end_request(record, now_ms)
            return
        if packet.payload_bytes > 0:
            self._observe_data(packet, record, now_ms)
            return
        received_bytes = self._observe_acknowledgement(packet, record, now_ms)
        if received_bytes == 0:
            return
        # Callers send nothing between a request and its response, so an
        # acknowledgement without data acknowledges the response, or a part.
        if received_bytes % FULL_PACKET_BYTES != 0:
            record.waiting_since_ms = None
            self._end_request(record, now_ms)
            return
        if record.waiting_since_ms is not None:
            record.waiting_since_ms = now_ms
        if record.request_data_ms is not None:
            # The request counts as in flight while its response arrives.
            record.request_data_ms = now_ms

    def waiting_at(
        self, upstream_ids: Set[str], since_ms: int
    ) -> list[tuple[data.FlowId, FlowRecord]]:
        """Returns the flows whose callers have long waited for a response.

        Args:
            upstream_ids: The upstreams whose flows are meant.
            since_ms: Callers that have waited since then, or longer.
        """
        return [
            (flow_id, record)
            for flow_id, record in self._by_flow.items()
            if record.waiting_since_ms is not None
            and record.waiting_since_ms <= since_ms
            and record.entry.upstream.upstream_id in upstream_ids
        ]

    def has_stalled_elsewhere(
        self, entry: upstream_table.Entry, now_ms: int
    ) -> bool:
        """Whether flows to another registered upstream are stalled.

        Stalled flows to several upstreams at a time point to the network path
        of this host rather than to the upstreams.

        Args:
            entry: The upstream whose own flows do not count.
            now_ms: The current time.
        """
        for record in reversed(self._by_flow.values()):
            if now_ms - record.last_packet_ms > STALLED_FLOW_TTL_MS:
                return False
            if record.entry is entry or record.entry.removed_ms is not None:
                continue
            if record.is_stalled:
                return True
        return False

    def repeated_share_elsewhere(
        self, entry: upstream_table.Entry, now_ms: int
    ) -> float:
        """Returns in how many recent flows callers had to repeat data.

        Args:
            entry: The upstream whose own flows do not count.
            now_ms: The current time.

        Returns:
            The share of the flows to other registered upstreams that had a
            packet within `REPEATED_DATA_WINDOW_MS`; 0 if there is none.
        """
        flows = 0
        repeated = 0
        for record in reversed(self._by_flow.values()):
            if now_ms - record.last_packet_ms > REPEATED_DATA_WINDOW_MS:
                break
            if record.entry is entry or record.entry.removed_ms is not None:
                continue
            flows += 1
            if record.last_retransmission_ms == 0:
                continue
            repeated_ms = now_ms - record.last_retransmission_ms
            repeated += repeated_ms <= REPEATED_DATA_WINDOW_MS
        return repeated / flows if flows else 0.0

    def discard(self, flow_id: data.FlowId) -> None:
        """Discards the record of a flow, if there is one.

        A request in flight counts until the last packet of the flow.
        """
        record = self._by_flow.pop(flow_id, None)
        if record is not None:
            self._end_request(record, record.last_packet_ms)

    def extend_timeouts(self, stall_ms: int) -> None:
        """Extends the timeouts of all flows after a stall of this process.

        Args:
            stall_ms: How long the process did not run.
        """
        for record in self._by_flow.values():
            record.last_new_data_ms += stall_ms
            if record.waiting_since_ms is not None:
                record.waiting_since_ms += stall_ms
            # What the upstream has sent since may be among the packets that
            # are still to be read.
            record.retransmissions = 0
            if record.request_data_ms is not None:
                record.request_data_ms += stall_ms

    def evict_expired(self, now_ms: int, idle_timeout_ms: int) -> None:
        """Ends overdue requests and evicts idle flows.

        Args:
            now_ms: The current time.
            idle_timeout_ms: A flow without packets for longer is evicted.
        """
        for flow_id, record in list(self._by_flow.items()):
            request_data_ms = record.request_data_ms
            if (
                request_data_ms is not None
                and now_ms - request_data_ms > MAX_REQUEST_MS
            ):
                self._end_request(record, now_ms)
            if now_ms - record.last_packet_ms > idle_timeout_ms:
                self.discard(flow_id)
        self.load.evict_faded(now_ms)

    def _observe_data(
        self, packet: data.Packet, record: FlowRecord, now_ms: int
    ) -> None:
        """Updates a record from a packet with payload.

        The payload is a new request, more of it, or a retransmission.
        """
        end = (packet.sequence + packet.payload_bytes) & _SEQUENCE_MASK
        if record.next_sequence and not _is_after(end, record.next_sequence):
            acknowledged = record.acknowledged
            self._observe_acknowledgement(packet, record, now_ms)
            if record.acknowledged != acknowledged:
                # The upstream goes on sending.
                return
            # Packets of one upload may be reordered within milliseconds; only
            # data that arrives later is a retransmission. A caller repeats all
            # packets in flight together, which counts once.
            last_sent_ms = max(
                record.last_new_data_ms, record.last_retransmission_ms
            )
            if now_ms - last_sent_ms >= MIN_RETRANSMISSION_MS:
                record.retransmissions += 1
                record.last_retransmission_ms = now_ms
            return
        record.next_sequence = end
        record.retransmissions = 0
        record.is_stall_reported = False
        record.last_new_data_ms = now_ms
        record.waiting_since_ms = now_ms
        self._observe_acknowledgement(packet, record, now_ms)
        if record.request_data_ms is None:
            self.load.begin(record.entry.upstream.upstream_id, now_ms)
        record.request_data_ms = now_ms

    def _observe_acknowledgement(
        self, packet: data.Packet, record: FlowRecord, now_ms: int
    ) -> int:
        """Updates a record from the acknowledgement number of a packet.

        Returns:
            How many bytes the caller has received from the upstream since the
            last acknowledgement.
        """
        is_first = record.acknowledged == 0
        is_further = _is_after(packet.acknowledged, record.acknowledged)
        if not is_first and not is_further:
            return 0
        received_bytes = 0
        if not is_first:
            received_bytes = (
                packet.acknowledged - record.acknowledged
            ) & _SEQUENCE_MASK
        record.acknowledged = packet.acknowledged
        record.retransmissions = 0
        record.entry.last_active_ms = now_ms
        return received_bytes

    def _end_request(self, record: FlowRecord, now_ms: int) -> None:
        """Records that a flow has no in-flight request any more."""
        if record.request_data_ms is None:
            return
        record.request_data_ms = None
        self.load.end(record.entry.upstream.upstream_id, now_ms)


def _is_after(number: int, other: int) -> bool:
    """Whether a sequence number comes after another, modulo 2**32."""
    return 0 < ((number - other) & _SEQUENCE_MASK) < _HALF_SEQUENCE_SPACE
