import testtools

from sapphire_lab.flows import slopes


class SlopesTest(testtools.TestCase):
    def test_one_more_upstream_moves_few_buckets(self) -> None:
        share = slopes.ambiguous_share(7, 1_021)
        # At least its own share moves, at most thrice as much.
        self.assertTrue(0.9 / 8 < share < 3 / 8, share)

    def test_memory_grows_with_recorded_flows(self) -> None:
        self.assertTrue(16 < slopes.bytes_per_recorded_flow() < 400)
