import testtools

from sapphire_core.replication import data as replication_data
from sapphire_core.tagged_flows import upstream_table
from sapphire_core.tagged_flows.flows import flow_table
from sapphire_lab.tagged_flows import builders

MIN_RETRANSMISSION_MS = flow_table.MIN_RETRANSMISSION_MS


class FlowTableTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.flow_table = flow_table.FlowTable()
        upstream = builders.upstream("i-1")
        self.entry = upstream_table.Entry(
            upstream, 5, replication_data.Position(0, 1), 0
        )

    def add_record(self, number: int = 1) -> flow_table.FlowRecord:
        return self.flow_table.add(builders.flow(number), self.entry, 0)

    def observe(
        self,
        record: flow_table.FlowRecord,
        now_ms: int,
        *,
        sequence: int = 2,
        acknowledged: int = 100,
        payload_bytes: int = 0,
        is_closing: bool = False,
        number: int = 1,
    ) -> None:
        packet = builders.packet(
            number,
            tag=5,
            sequence=sequence,
            acknowledged=acknowledged,
            payload_bytes=payload_bytes,
            is_closing=is_closing,
        )
        self.flow_table.observe(packet, record, now_ms)

    def test_a_request_is_in_flight_until_its_response(self) -> None:
        # The caller of a long flow sends a request, acknowledges the response
        # without data, and pauses before its next request.
        record = self.add_record()
        sequence, acknowledged = 2, 100
        for now_ms in (0, 1_000, 2_000):
            self.observe(
                record,
                now_ms,
                sequence=sequence,
                acknowledged=acknowledged,
                payload_bytes=210,
            )
            self.assertEqual(1, self.flow_table.in_flight("i-1"))
            sequence += 210
            acknowledged += 1_000
            self.observe(
                record,
                now_ms + 50,
                sequence=sequence,
                acknowledged=acknowledged,
            )
            self.assertEqual(0, self.flow_table.in_flight("i-1"))

    def test_a_download_is_in_flight_until_its_last_packet(self) -> None:
        """Pattern: a response of 20,000 bytes, acknowledged piece by piece."""
        record = self.add_record()
        self.observe(record, 0, payload_bytes=210)
        full_bytes = flow_table.FULL_PACKET_BYTES
        for piece in range(1, 9):
            acknowledged = 100 + piece * 2 * full_bytes
            # Each piece takes longer than a request without response may.
            now_ms = piece * (flow_table.MAX_REQUEST_MS - 1)
            self.observe(
                record, now_ms, sequence=212, acknowledged=acknowledged
            )
            self.flow_table.evict_expired(now_ms, 60_000)
            self.assertEqual(1, self.flow_table.in_flight("i-1"))
            self.assertEqual(0, record.retransmissions)
        self.observe(
            record, now_ms + 50, sequence=212, acknowledged=100 + 20_000
        )
        self.assertEqual(0, self.flow_table.in_flight("i-1"))

    def test_a_download_that_stops_is_no_longer_in_flight(self) -> None:
        record = self.add_record()
        self.observe(record, 0, payload_bytes=210)
        acknowledged = 100 + 2 * flow_table.FULL_PACKET_BYTES
        self.observe(record, 40, sequence=212, acknowledged=acknowledged)
        self.flow_table.evict_expired(
            41 + flow_table.MAX_REQUEST_MS, idle_timeout_ms=60_000
        )
        self.assertEqual(0, self.flow_table.in_flight("i-1"))

    def test_closing_a_flow_ends_its_request(self) -> None:
        record = self.add_record()
        self.observe(record, 0, payload_bytes=900)
        self.observe(record, 50, sequence=902, is_closing=True)
        self.assertEqual(0, self.flow_table.in_flight("i-1"))

    def test_reordered_packets_are_not_retransmissions(self) -> None:
        record = self.add_record()
        for sequence in (10_802, 6_002, 14_402, 2, 8_402):
            self.observe(record, 1, sequence=sequence, payload_bytes=1_200)
        self.assertEqual(0, record.retransmissions)
        self.assertEqual(1, self.flow_table.in_flight("i-1"))

    def test_retransmissions_are_counted(self) -> None:
        record = self.add_record()
        for now_ms in (0, 200, 600, 1_400):
            self.observe(record, now_ms, payload_bytes=300)
        self.assertEqual(3, record.retransmissions)
        self.assertEqual(0, record.last_new_data_ms)

    def test_a_request_whose_end_is_not_seen_times_out(self) -> None:
        record = self.add_record()
        self.observe(record, 0, payload_bytes=300)
        self.flow_table.evict_expired(flow_table.MAX_REQUEST_MS, 15_000)
        self.assertEqual(1, self.flow_table.in_flight("i-1"))
        self.flow_table.evict_expired(flow_table.MAX_REQUEST_MS + 1, 15_000)
        self.assertEqual(0, self.flow_table.in_flight("i-1"))

    def test_records_are_bounded_and_expire_when_idle(self) -> None:
        for number in range(flow_table.MAX_RECORDS + 10):
            record = self.add_record(number)
            self.observe(record, 0, payload_bytes=300, number=number)
        self.assertEqual(flow_table.MAX_RECORDS, len(self.flow_table))
        self.assertEqual(
            flow_table.MAX_RECORDS, self.flow_table.in_flight("i-1")
        )
        self.flow_table.evict_expired(15_001, 15_000)
        self.assertEqual(0, len(self.flow_table))
        self.assertEqual(0, self.flow_table.in_flight("i-1"))

    def test_sequence_numbers_wrap_around(self) -> None:
        record = self.add_record()
        top = 2**32 - 100
        self.observe(record, 0, sequence=top, payload_bytes=300)
        self.observe(
            record, MIN_RETRANSMISSION_MS, sequence=200, payload_bytes=300
        )
        self.assertEqual(0, record.retransmissions)
