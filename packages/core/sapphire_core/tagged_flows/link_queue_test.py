import testtools

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import link_queue
from sapphire_lab.tagged_flows import builders

# A link of 5 Mbit/s.
BYTES_PER_MS = 625.0
FULL_BYTES = 1_200
SENT = link_queue.Admission.SENT
QUEUED = link_queue.Admission.QUEUED


def forward(
    number: int,
    position: int = 0,
    *,
    payload_bytes: int = FULL_BYTES,
    is_closing: bool = False,
    is_reset: bool = False,
) -> data.Forward:
    """Returns a packet at a position of the request of a flow."""
    packet = builders.packet(
        number,
        tag=1,
        sequence=2 + position * FULL_BYTES,
        payload_bytes=payload_bytes,
        is_closing=is_closing,
        is_reset=is_reset,
    )
    return data.Forward(packet, builders.upstream("i-1"), 1)


class LinkQueueTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.queue = link_queue.LinkQueue(BYTES_PER_MS)

    def admit(self, packet: data.Forward, now_ms: int) -> link_queue.Admission:
        return self.queue.admit(packet, now_ms)

    def fill(self, number: int, packets: int, now_ms: int = 0) -> int:
        """Offers the packets of a request; returns how many leave at once."""
        return sum(
            self.admit(forward(number, position), now_ms)
            is link_queue.Admission.SENT
            for position in range(packets)
        )

    def released(self, until_ms: int, from_ms: int = 10) -> list[int]:
        """Returns the ports of the callers of what leaves, in its order."""
        return [
            each.packet.flow_id.caller_port - builders.flow(0).caller_port
            for now_ms in range(from_ms, until_ms + 1, 10)
            for each in self.queue.release(now_ms)
        ]

    def test_packets_leave_at_the_rate_of_the_link(self) -> None:
        """Widths of 0.1 to 100 Mbit/s."""
        size = FULL_BYTES + link_queue.HEAD_BYTES
        for bytes_per_ms in (12.5, 62.5, 625.0, 12_500.0):
            self.queue = link_queue.LinkQueue(bytes_per_ms)
            # Twice what the link carries in the time, at once.
            duration_ms = max(1_000, int(20 * size / bytes_per_ms))
            carried = int(bytes_per_ms * duration_ms / size)
            sent = self.fill(1, 2 * carried)
            for now_ms in range(10, duration_ms + 1, 10):
                sent += len(self.queue.release(now_ms))
                # As much again arrives, since the queue is bounded.
                sent += self.fill(
                    now_ms, 1 + carried * 10 // duration_ms, now_ms
                )
            burst = max(
                bytes_per_ms * link_queue.BURST_MS, link_queue.MIN_BURST_BYTES
            )
            self.assertLessEqual(sent, carried + burst / size + 1)
            self.assertGreaterEqual(sent, 0.9 * carried)

    def test_what_is_short_does_not_wait(self) -> None:
        self.fill(1, 100)
        short = (
            data.Forward(builders.opening(2), builders.upstream("i-1"), 1),
            forward(3, payload_bytes=900),
            forward(1, 100, payload_bytes=0),
        )
        for each in short:
            self.assertEqual(SENT, self.admit(each, 5))

    def test_the_end_of_a_request_follows_its_data(self) -> None:
        self.fill(1, 100)
        end = forward(1, 100, payload_bytes=7)
        closing = forward(1, 101, payload_bytes=0, is_closing=True)
        self.assertEqual(QUEUED, self.admit(end, 5))
        self.assertEqual(QUEUED, self.admit(closing, 5))
        last = [
            each.packet
            for now_ms in range(10, 400, 10)
            for each in self.queue.release(now_ms)
        ][-2:]
        self.assertEqual([7, 0], [packet.payload_bytes for packet in last])

    def test_the_request_that_began_first_leaves_first(self) -> None:
        self.fill(1, 40)
        self.fill(2, 40, now_ms=5)
        # More of the first one arrives later.
        self.admit(forward(1, 40), 6)
        self.admit(forward(1, 41), 6)
        ports = self.released(400)
        self.assertEqual(sorted(ports), ports)
        self.assertIn(2, ports)

    def test_a_repetition_of_a_queued_packet_is_not_sent_again(self) -> None:
        self.fill(1, 60)
        waiting = len(self.queue)
        for position in range(60 - waiting, 60):
            self.assertEqual(
                link_queue.Admission.REPEATED,
                self.admit(forward(1, position), 1),
            )
        self.assertEqual(waiting, len(self.queue))

    def test_a_repetition_of_what_was_sent_leaves_again(self) -> None:
        self.fill(1, 5)
        self.assertEqual(SENT, self.admit(forward(1, 0), 200))

    def test_what_is_queued_is_bounded(self) -> None:
        for number in range(100):
            self.fill(number, 100)
        bound = BYTES_PER_MS * link_queue.MAX_QUEUED_MS / FULL_BYTES
        self.assertLessEqual(len(self.queue), bound)
        self.assertEqual(
            link_queue.Admission.DROPPED, self.admit(forward(1, 101), 5)
        )

    def test_a_wide_link_does_not_queue_without_a_bound(self) -> None:
        self.queue = link_queue.LinkQueue(125_000.0)
        for number in range(100):
            self.fill(number, 1_000)
        bound = link_queue.MAX_QUEUED_BYTES / FULL_BYTES
        self.assertLessEqual(len(self.queue), bound)

    def test_a_reset_gives_up_what_is_queued(self) -> None:
        self.fill(1, 100)
        self.assertEqual(SENT, self.admit(forward(1, is_reset=True), 5))
        self.assertEqual(0, len(self.queue))
        self.assertEqual([], self.released(200))

    def test_heartbeats_count(self) -> None:
        self.fill(1, 100)
        for now_ms in range(10, 101, 10):
            self.queue.record_sent(int(BYTES_PER_MS * 10))
            self.queue.release(now_ms)
        self.assertGreater(len(self.queue), 80)

    def test_requests_that_have_ended_are_forgotten(self) -> None:
        """Also by a link on which nothing ever waits."""
        self.queue = link_queue.LinkQueue(125_000.0)
        for number in range(1_000):
            self.admit(forward(number), number)
            self.queue.release(number)
        self.queue.release(4_000)
        self.assertEqual(0, len(self.queue._requests_by_flow))

    def test_nothing_waits_for_a_link_of_unknown_or_great_width(self) -> None:
        for bytes_per_ms in (None, 125_000.0):
            self.queue = link_queue.LinkQueue(bytes_per_ms)
            self.assertEqual(1_000, self.fill(1, 1_000))

    def test_packets_leave_when_the_width_becomes_unknown(self) -> None:
        self.fill(1, 100)
        waiting = len(self.queue)
        self.queue.set_rate(None)
        self.assertEqual(waiting, len(self.queue.release(10)))
