import testtools

from sapphire_lab.flows import slopes


class SlopesTest(testtools.TestCase):
    def test_added_upstream_makes_few_buckets_ambiguous(self) -> None:
        share = slopes.ambiguous_share(7, 1_021)
        # The new upstream gets 1/8 of the buckets. At least 0.9 of that share
        # and at most three times as much may become ambiguous.
        self.assertTrue(0.9 / 8 < share < 3 / 8, share)

    def test_flow_record_takes_between_16_and_400_bytes(self) -> None:
        self.assertTrue(16 < slopes.bytes_per_recorded_flow() < 400)
