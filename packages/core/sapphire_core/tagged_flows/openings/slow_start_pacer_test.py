import testtools

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows.openings import slow_start_pacer

# In any second, all hosts together may send the cold rate times this factor,
# plus the extra flows.
ALLOWED_EXCESS = 1.5
ALLOWED_EXTRA_FLOWS = 5


class SlowStartPacerTest(testtools.TestCase):
    def count_flows(
        self, host_count: int, rate: float, known_host_count: int
    ) -> tuple[int, int]:
        """Returns the most flows in any second, and all flows of 10 s.

        Each host tries to send a flow to one cold upstream every 10 ms.

        Args:
            host_count: The number of hosts.
            rate: The cold rate in flows a second.
            known_host_count: The number of hosts that each host knows.
        """
        service = data.Service("board", rate, 2_000, 100)
        pacers = [
            slow_start_pacer.SlowStartPacer(seed) for seed in range(host_count)
        ]
        sent_ms: list[int] = []
        for now_ms in range(0, 10_000, 10):
            for pacer in pacers:
                if pacer.allows_flow("i-1", service, known_host_count, now_ms):
                    pacer.record_flow("i-1", service, known_host_count, now_ms)
                    sent_ms.append(now_ms)
        most = max(
            (
                sum(1 for time_ms in sent_ms if 0 <= time_ms - start_ms < 1_000)
                for start_ms in sent_ms
            ),
            default=0,
        )
        return most, len(sent_ms)

    def test_all_hosts_together_stay_within_the_cold_rate(self) -> None:
        for host_count in (1, 9, 12, 66, 300):
            for rate in (0.0, 1.0, 4.0, 20.0, 50.0):
                most, _ = self.count_flows(host_count, rate, host_count)
                self.assertLessEqual(
                    most, rate * ALLOWED_EXCESS + ALLOWED_EXTRA_FLOWS
                )

    def test_cold_rate_holds_if_hosts_know_only_some_of_their_peers(
        self,
    ) -> None:
        # Each of the nine hosts knows of six, itself included.
        most, _ = self.count_flows(9, 20.0, 6)
        self.assertLessEqual(most, 20.0 * ALLOWED_EXCESS + ALLOWED_EXTRA_FLOWS)

    def test_a_cold_upstream_gets_at_least_half_of_its_cold_rate(self) -> None:
        _, flows = self.count_flows(9, 20.0, 9)
        self.assertGreaterEqual(flows, 20.0 * 10 * 0.5)

    def test_a_cold_rate_of_zero_allows_no_flow(self) -> None:
        self.assertEqual((0, 0), self.count_flows(3, 0.0, 3))
