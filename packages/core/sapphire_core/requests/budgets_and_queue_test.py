import random

import testtools
from testtools import matchers

from sapphire_core.requests import fair_queue
from sapphire_core.requests import memory_budget
from sapphire_core.requests import retry_budget


class RetryBudgetTest(testtools.TestCase):
    def test_retries_stay_within_their_share(self) -> None:
        budget = retry_budget.RetryBudget(share=0.1)
        retries = 0
        for _ in range(1_000):
            budget.record_first_attempt()
            if budget.spend(1.0):
                retries += 1
        limit = 1_000 * 0.1 + retry_budget.REFILL_LIMIT
        self.assertThat(retries, matchers.LessThan(limit + 1))
        self.assertThat(retries, matchers.GreaterThan(90))

    def test_unused_share_does_not_pile_up(self) -> None:
        budget = retry_budget.RetryBudget(share=0.1)
        for _ in range(10_000):
            budget.record_first_attempt()
        self.assertFalse(budget.spend(retry_budget.MAX_TOKENS + 1))


class MemoryBudgetTest(testtools.TestCase):
    def test_one_service_leaves_half_to_the_others(self) -> None:
        budget = memory_budget.MemoryBudget(100)
        self.assertTrue(budget.reserve("a", 50))
        self.assertFalse(budget.reserve("a", 1))
        self.assertTrue(budget.reserve("b", 50))
        self.assertFalse(budget.reserve("c", 1))
        budget.release("a", 50)
        self.assertTrue(budget.reserve("c", 1))
        self.assertThat(budget.used_bytes, matchers.Equals(51))


class FairQueueTest(testtools.TestCase):
    def test_callers_take_turns(self) -> None:
        queue = fair_queue.FairQueue()
        for serial in range(4):
            queue.push("busy", serial)
        queue.push("quiet", 9)
        order = []
        while (popped := queue.pop()) is not None:
            order.append(popped[1])
        self.assertThat(order, matchers.Equals([0, 9, 1, 2, 3]))

    def test_length_follows_any_sequence(self) -> None:
        rng = random.Random(5)
        queue = fair_queue.FairQueue()
        waiting: set[int] = set()
        for serial in range(2_000):
            caller = f"c{serial % 7}"
            queue.push(caller, serial, is_first=rng.random() < 0.1)
            waiting.add(serial)
            if rng.random() < 0.5:
                popped = queue.pop()
                assert popped is not None
                waiting.remove(popped[1])
            gone = rng.randrange(serial + 1)
            was_waiting = queue.remove(f"c{gone % 7}", gone)
            self.assertEqual(gone in waiting, was_waiting)
            waiting.discard(gone)
            self.assertThat(queue.length, matchers.Equals(len(waiting)))
