import testtools

from sapphire_lab.demo import deployment_results
from sapphire_lab.demo import orders


class LostAnswersTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.counters = orders.OrderCounters()

    def test_a_lost_order_counts_once(self) -> None:
        self.counters.outcome_by_key["a"] = orders.OrderOutcome.LOST
        self.counters.wrong_answers = 1
        self.assertEqual(1, self.counters.count_lost_answers())

    def test_an_order_at_a_killed_host_is_not_lost(self) -> None:
        for key, address in (("a", "127.11.3.3"), ("b", "127.11.3.4")):
            self.counters.outcome_by_key[key] = orders.OrderOutcome.LOST
            self.counters.broken_address_by_key[key] = address
        self.counters.killed_addresses.add("127.11.3.3")
        self.assertEqual(1, self.counters.count_lost_answers())

    def test_a_failed_race_fails_the_trial(self) -> None:
        for failed_races in (0, 1):
            results = deployment_results.DeploymentResults(
                answered=1, failed_races=failed_races
            )
            self.assertEqual(
                failed_races == 0, results.meets_fault_requirements()
            )
