import random

import testtools

from sapphire_core.tagged_flows.openings import answer_timeout

MIN_MS = answer_timeout.MIN_TIMEOUT_MS
MAX_MS = answer_timeout.MAX_TIMEOUT_MS


class AnswerTimeoutTest(testtools.TestCase):
    def timeout_after(self, round_trip_ms: float, jitter_ms: float) -> int:
        """Returns the timeout after many answers of a network."""
        rng = random.Random(1)
        timeout = answer_timeout.AnswerTimeout()
        for _ in range(200):
            timeout.record(round(round_trip_ms + rng.random() * jitter_ms))
        return timeout.timeout_ms

    def test_the_minimum_holds_before_the_first_answer(self) -> None:
        self.assertEqual(MIN_MS, answer_timeout.AnswerTimeout().timeout_ms)

    def test_the_timeout_exceeds_the_answers_of_each_deployment(self) -> None:
        # Delays one way in milliseconds: caller to host, between data centres.
        # The caller's next packet has passed each twice, with the host between.
        for name, caller_ms, between_ms, expected_ms in (
            ("crfo-balance, also grown and shifted", 1.0, 0.9, MIN_MS),
            ("kalnins-quotes, also grown", 3.0, 1.4, MIN_MS),
            ("magnolia-rind, also grown", 1.0, 0.9, MIN_MS),
            ("crfo-balance-large", 1.0, 1.4, MIN_MS),
            ("another region at 12 ms", 12.0, 12.0, 52),
            ("another continent at 40 ms", 30.0, 40.0, 144),
        ):
            round_trip_ms = 2 * caller_ms + 2 * between_ms
            timeout_ms = self.timeout_after(round_trip_ms, 4.0)
            self.assertGreaterEqual(timeout_ms, expected_ms, name)
            if expected_ms == MIN_MS:
                self.assertEqual(MIN_MS, timeout_ms, name)

    def test_the_timeout_ends_before_the_caller_retransmits(self) -> None:
        self.assertEqual(MAX_MS, self.timeout_after(5_000, 100))

    def test_the_timeout_returns_when_a_slow_time_is_over(self) -> None:
        timeout = answer_timeout.AnswerTimeout()
        for answer_ms, expected in ((120, MAX_MS), (6, MIN_MS)):
            for number in range(60):
                timeout.record(answer_ms + number % 3 * answer_ms // 4)
            self.assertEqual(expected, timeout.timeout_ms)
