import testtools

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import slow_start_pacer

OVERAGE = 1.5
SLACK = 5


class SlowStartPacerTest(testtools.TestCase):
    def count(
        self, hosts: int, rate: float, known_hosts: int
    ) -> tuple[int, int]:
        """Returns the most flows in any second, and all flows of 10 s.

        Hosts that do not hear each other offer each cold upstream a flow
        every 10 ms.
        """
        service = data.Service("board", rate, 2_000, 100)
        budgets = [
            slow_start_pacer.SlowStartPacer(seed) for seed in range(hosts)
        ]
        times: list[int] = []
        for now_ms in range(0, 10_000, 10):
            for budget in budgets:
                if budget.allows_flow("i-1", service, known_hosts, now_ms):
                    budget.record_flow("i-1", service, known_hosts, now_ms)
                    times.append(now_ms)
        most = max(
            (
                sum(1 for other in times if 0 <= other - one < 1_000)
                for one in times
            ),
            default=0,
        )
        return most, len(times)

    def test_the_sum_over_all_hosts_stays_within_what_it_bears(self) -> None:
        for hosts in (1, 9, 12, 66, 300):
            for rate in (0.0, 1.0, 4.0, 20.0, 50.0):
                most, _ = self.count(hosts, rate, hosts)
                self.assertLessEqual(most, rate * OVERAGE + SLACK)

    def test_a_host_that_knows_fewer_hosts_than_there_are(self) -> None:
        # Nine hosts of which each has not heard of three.
        most, _ = self.count(9, 20.0, 6)
        self.assertLessEqual(most, 20.0 * OVERAGE + SLACK)

    def test_a_cold_upstream_gets_a_good_part_of_what_it_bears(self) -> None:
        _, flows = self.count(9, 20.0, 9)
        self.assertGreaterEqual(flows, 20.0 * 10 * 0.5)

    def test_what_bears_nothing_gets_nothing(self) -> None:
        self.assertEqual((0, 0), self.count(3, 0.0, 3))
