"""Load patterns of uploads that fill a host's link before idle upstreams.

The transfer of an upload, and of what waits behind it, depends on the link, so
none of it may count against the service or an upstream.
"""

import testtools

from sapphire_lab.tagged_flows import narrow_link_simulation

SEEDS = range(3)
SECONDS = 15
# Widths of 2, 5 and 10 Mbit/s, with more uploads a second than each carries.
UPLOADS_BY_BYTES_PER_MS = {250.0: 6, 625.0: 10, 1_250.0: 20}
# The part of the link that random uploads take.
LINK_SHARE = 0.7
# The users' objective for an upload of 80,000 bytes is 14 times what it takes
# on a link of 5 Mbit/s without others, and 0.98 are to be in time.
OBJECTIVE_OF_TRANSFER = 14
MIN_IN_TIME = 0.98


def transfer_ms(bytes_per_ms: float, packets: int) -> float:
    """Returns how long an upload takes that has the link to itself."""
    packet_bytes = (
        narrow_link_simulation.FULL_PACKET_BYTES
        + narrow_link_simulation.HEADER_BYTES
    )
    return packets * packet_bytes / bytes_per_ms


class UploadsOnNarrowLinksTest(testtools.TestCase):
    def assert_no_blame(self, load: narrow_link_simulation.Load) -> None:
        """Runs the load; the host must not refuse a flow or eject anyone."""
        refusals = ejections = retransmissions = 0
        for seed in SEEDS:
            simulation = narrow_link_simulation.NarrowLinkSimulation(load, seed)
            simulation.run(SECONDS)
            refusals += simulation.refusals
            ejections += simulation.ejections
            retransmissions += simulation.retransmissions
        self.assertGreater(retransmissions, 0)
        self.assertEqual((0, 0), (refusals, ejections))

    def test_a_full_link_is_no_late_service(self) -> None:
        for bytes_per_ms, uploads in UPLOADS_BY_BYTES_PER_MS.items():
            self.assert_no_blame(
                narrow_link_simulation.Load(
                    bytes_per_ms=bytes_per_ms,
                    uploads=uploads,
                    upload_pause_ms=1_000,
                    openings_per_s=10,
                    objective_ms=700,
                )
            )

    def test_neither_with_short_work_nor_with_long_uploads(self) -> None:
        for work_ms, packets in ((5, 67), (72, 67), (5, 400)):
            self.assert_no_blame(
                narrow_link_simulation.Load(
                    bytes_per_ms=625.0,
                    uploads=10,
                    upload_pause_ms=1_000 * packets // 67,
                    upload_packets=packets,
                    openings_per_s=10,
                    work_ms=work_ms,
                    objective_ms=700,
                )
            )


class LinkQueueTest(testtools.TestCase):
    """Uploads at random times take most of the link of a host."""

    def upload_times_ms(
        self, bytes_per_ms: float, packets: int, *, has_link_queue: bool
    ) -> list[int]:
        """Returns how long the uploads took."""
        load = narrow_link_simulation.Load(
            bytes_per_ms=bytes_per_ms,
            # The platform's links lose what they cannot send within 50 ms.
            max_queue_ms=50,
            has_link_queue=has_link_queue,
            uploads=0,
            random_uploads=int(
                LINK_SHARE
                * narrow_link_simulation.RANDOM_UPLOADS_MS
                / transfer_ms(bytes_per_ms, packets)
            ),
            upload_packets=packets,
            openings_per_s=10,
            work_ms=5,
        )
        times_ms: list[int] = []
        for seed in SEEDS:
            simulation = narrow_link_simulation.NarrowLinkSimulation(load, seed)
            simulation.run(SECONDS)
            times_ms += simulation.upload_times_ms
            if has_link_queue:
                self.assertEqual(0, simulation.lost_packets)
        return sorted(times_ms)

    def test_few_uploads_are_late_on_links_of_any_width(self) -> None:
        before: list[float] = []
        for bytes_per_ms, packets in (
            (250.0, 27),
            (625.0, 67),
            (1_250.0, 67),
            (1_250.0, 400),
        ):
            objective_ms = OBJECTIVE_OF_TRANSFER * transfer_ms(
                bytes_per_ms, packets
            )
            in_time = [
                sum(time_ms <= objective_ms for time_ms in times_ms)
                / len(times_ms)
                for times_ms in (
                    self.upload_times_ms(
                        bytes_per_ms, packets, has_link_queue=has_link_queue
                    )
                    for has_link_queue in (False, True)
                )
            ]
            self.assertGreaterEqual(in_time[1], in_time[0])
            self.assertGreaterEqual(in_time[1], MIN_IN_TIME)
            before.append(in_time[0])
        self.assertLess(min(before), MIN_IN_TIME)
