"""What this host has seen of open flows, as soft state.

No flow depends on it: a host without the record follows the tag. It serves
to infer which upstreams are busy or dead, and to hold a flow at the upstream
that opened it when its opening was sent to two and the later answer put
another tag on its packets.
"""

import collections
import dataclasses

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import upstream_table

# About 200 bytes a record: 4 MB at most.
MAX_RECORDS = 20_000
# A request whose end was not seen counts as ended after this time; ten times
# the mean work of the users' slowest kind of request.
BUSY_LIMIT_MS = 500
# Callers repeat data after 200 ms (the protocol), less what a link may vary.
REPEAT_MS = 150
_SEQUENCE_MASK = 0xFFFF_FFFF
_HALF_OF_SEQUENCES = 0x8000_0000


@dataclasses.dataclass(slots=True, eq=False)
class FlowRecord:
    """What this host has seen of one flow.

    Attributes:
        entry: The upstream that holds it.
        opened_ms: When this host first saw it.
        seen_ms: When its last packet came.
        next_sequence: The number after the last byte of data seen.
        acknowledged: The highest number that the caller acknowledged.
        busy_since_ms: When the request in progress began; None if idle.
        repeats: How often the caller sent the same data again in a row.
        sent_ms: When the data that it repeats came first.
        is_closed: Whether the caller has ended it.
    """

    entry: upstream_table.Entry
    opened_ms: int
    seen_ms: int
    next_sequence: int = 0
    acknowledged: int = 0
    busy_since_ms: int | None = None
    repeats: int = 0
    sent_ms: int = 0
    is_closed: bool = False


class FlowTable:
    """The flows seen by this host, those not seen for longest first."""

    def __init__(self) -> None:
        self._by_flow: collections.OrderedDict[data.FlowId, FlowRecord] = (
            collections.OrderedDict()
        )
        self._busy_by_id: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        """Returns how many flows are recorded."""
        return len(self._by_flow)

    def get(self, flow_id: data.FlowId) -> FlowRecord | None:
        """Returns the record of a flow, None if there is none."""
        return self._by_flow.get(flow_id)

    def busy(self, upstream_id: str) -> int:
        """Returns how many requests an upstream has in progress."""
        return self._busy_by_id[upstream_id]

    def open(
        self,
        flow_id: data.FlowId,
        entry: upstream_table.Entry,
        now_ms: int,
    ) -> FlowRecord:
        """Starts the record of a flow.

        Args:
            flow_id: The flow.
            entry: The upstream that holds it.
            now_ms: The current time.

        Returns:
            The record.
        """
        self.close(flow_id)
        record = FlowRecord(entry, now_ms, now_ms)
        self._by_flow[flow_id] = record
        if len(self._by_flow) > MAX_RECORDS:
            self.close(next(iter(self._by_flow)))
        return record

    def note(
        self, packet: data.Packet, record: FlowRecord, now_ms: int
    ) -> None:
        """Takes a packet of a recorded flow.

        Args:
            packet: The packet.
            record: The record of its flow.
            now_ms: The current time.
        """
        record.seen_ms = now_ms
        self._by_flow.move_to_end(packet.flow_id)
        if packet.is_reset or packet.is_closing:
            self._end_request(record)
            return
        if packet.payload_bytes > 0:
            self._note_data(packet, record, now_ms)
            return
        if self._note_progress(packet, record, now_ms):
            # Callers send nothing between a request and its response, so an
            # acknowledgement without data takes a response.
            self._end_request(record)

    def close(self, flow_id: data.FlowId) -> None:
        """Drops the record of a flow, if there is one."""
        record = self._by_flow.pop(flow_id, None)
        if record is not None:
            self._end_request(record)

    def expire(self, now_ms: int, idle_ms: int) -> None:
        """Ends requests and drops flows that were quiet for too long.

        Args:
            now_ms: The current time.
            idle_ms: After this time without packets a flow is dropped.
        """
        for flow_id, record in list(self._by_flow.items()):
            busy_since_ms = record.busy_since_ms
            if (
                busy_since_ms is not None
                and now_ms - busy_since_ms > BUSY_LIMIT_MS
            ):
                self._end_request(record)
            if now_ms - record.seen_ms > idle_ms:
                self.close(flow_id)

    def _note_data(
        self, packet: data.Packet, record: FlowRecord, now_ms: int
    ) -> None:
        """Takes a packet with data: a new request, more of it, or a repeat."""
        end = (packet.sequence + packet.payload_bytes) & _SEQUENCE_MASK
        if record.next_sequence and not _is_after(end, record.next_sequence):
            # Packets of one upload overtake each other within milliseconds.
            if now_ms - record.sent_ms >= REPEAT_MS:
                record.repeats += 1
            return
        record.next_sequence = end
        record.repeats = 0
        record.sent_ms = now_ms
        self._note_progress(packet, record, now_ms)
        if record.busy_since_ms is None:
            self._busy_by_id[record.entry.upstream.upstream_id] += 1
        record.busy_since_ms = now_ms

    def _note_progress(
        self, packet: data.Packet, record: FlowRecord, now_ms: int
    ) -> bool:
        """Takes an acknowledgement; whether the upstream has sent data."""
        is_first = record.acknowledged == 0
        is_further = _is_after(packet.acknowledged, record.acknowledged)
        if is_first or is_further:
            record.acknowledged = packet.acknowledged
            record.repeats = 0
            record.entry.alive_ms = now_ms
        return is_further and not is_first

    def _end_request(self, record: FlowRecord) -> None:
        """Notes that no request is in progress on a flow."""
        if record.busy_since_ms is None:
            return
        record.busy_since_ms = None
        upstream_id = record.entry.upstream.upstream_id
        self._busy_by_id[upstream_id] -= 1
        if self._busy_by_id[upstream_id] <= 0:
            del self._busy_by_id[upstream_id]


def _is_after(number: int, other: int) -> bool:
    """Whether a sequence number comes after another, modulo 2**32."""
    return 0 < ((number - other) & _SEQUENCE_MASK) < _HALF_OF_SEQUENCES
