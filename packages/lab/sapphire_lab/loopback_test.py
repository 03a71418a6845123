import testtools

from sapphire_lab import loopback


class ClaimNetworkTest(testtools.TestCase):
    def test_networks_claimed_at_the_same_time_differ(self) -> None:
        with (
            loopback.claim_network() as first,
            loopback.claim_network() as second,
        ):
            self.assertNotEqual(first, second)

    def test_all_networks_may_be_claimed_again(self) -> None:
        for _ in range(100):
            with loopback.claim_network() as network:
                self.assertIn(network, range(80, 120))
