import testtools

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows.openings import answer_timeout
from sapphire_core.tagged_flows.openings import failover_budget
from sapphire_lab.tagged_flows import builders

TIMEOUT_MS = answer_timeout.MIN_TIMEOUT_MS


class FailoverBudgetTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.budget = failover_budget.FailoverBudget()

    def take(self, now_ms: int = 0) -> failover_budget.Refusal | None:
        return self.budget.take("board", now_ms)

    def test_a_share_of_the_openings_may_be_tried_again(self) -> None:
        for _ in range(int(failover_budget.MAX_TOKENS)):
            self.assertIsNone(self.take())
        self.assertIs(failover_budget.Refusal.BUDGET_SPENT, self.take())
        self.assertIsNone(self.budget.take("intake", 0))
        taken = 0
        for _ in range(100):
            self.budget.record_opening("board")
            taken += self.take() is None
        self.assertEqual(100 * failover_budget.EARNED_PER_OPENING, taken)

    def test_no_second_tries_while_most_upstreams_are_silent(self) -> None:
        for number in range(3):
            self.budget.record_outcome(f"i-{number}", 0, is_silent=True)
        self.assertIs(failover_budget.Refusal.MANY_SILENT, self.take())
        self.assertIsNone(self.take(failover_budget.OUTCOME_TTL_MS + 1))

    def test_a_rack_of_dead_upstreams_leaves_second_tries(self) -> None:
        for number in range(20):
            self.budget.record_outcome(f"i-{number}", 0, is_silent=number < 10)
        self.assertIsNone(self.take())

    def test_many_outcomes_take_bounded_memory(self) -> None:
        for number in range(10_000):
            self.budget.record_outcome(f"i-{number}", 0, is_silent=True)
        self.assertEqual(
            failover_budget.MAX_OUTCOMES, len(self.budget._outcomes_by_id)
        )


class SecondTryTest(testtools.TestCase):
    """What a host does with opening packets that are not answered in time."""

    def setUp(self) -> None:
        super().setUp()
        self.bench = builders.SteeringBench(
            *[builders.upstream(f"i-{number}") for number in range(8)]
        )
        self.steering = self.bench.steering

    def test_no_upstream_answers_in_time(self) -> None:
        """The host's link is full, or all upstreams are overloaded."""
        for number in range(40):
            self.bench.open(number, 10 * number)
            self.steering.tick(10 * number)
        for now_ms in range(400, 600, 10):
            self.steering.tick(now_ms)
        verdicts = self.bench.verdicts()
        self.assertLessEqual(verdicts.count(data.Verdict.FAILED_OVER), 2)
        self.assertEqual(40, verdicts.count(data.Verdict.OPENED))
        # What a caller asks for is tried at another upstream.
        self.bench.open(39, 600, retransmissions=1)
        self.assertIs(data.Verdict.FAILED_OVER, self.bench.verdicts()[-1])

    def test_an_upstream_that_goes_on_answering_keeps_the_flow(self) -> None:
        # Its answer, or the caller's next packet, was lost.
        bench = builders.SteeringBench(
            builders.upstream("i-1"), builders.upstream("i-2")
        )
        first = bench.open(1, 0)
        assert isinstance(first, data.Forward)
        packet = builders.packet(9, tag=first.tag)
        bench.steering.handle(packet, TIMEOUT_MS - 5)
        self.assertEqual([], bench.steering.tick(TIMEOUT_MS))
        self.assertIs(data.Verdict.SPARED, bench.verdicts()[-1])

    def test_a_second_answer_is_reported_once(self) -> None:
        first = self.bench.open(1, 0)
        second = self.steering.tick(TIMEOUT_MS)[0]
        for now_ms in (TIMEOUT_MS + 5, TIMEOUT_MS + 9, TIMEOUT_MS + 20):
            self.bench.answer(1, first, now_ms)
            self.bench.answer(1, second, now_ms + 1)
        self.assertEqual(
            1, self.bench.verdicts().count(data.Verdict.SECOND_ANSWER)
        )
