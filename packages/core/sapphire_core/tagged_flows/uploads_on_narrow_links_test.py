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
