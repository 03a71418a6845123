import testtools

from sapphire_core.tagged_flows.health import passive_health


class PassiveHealthTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.passive_health = passive_health.PassiveHealth()

    def test_an_upstream_is_avoided_for_a_time_after_an_unanswered_opening(
        self,
    ) -> None:
        self.passive_health.record_unanswered("i-1", 0, 40)
        self.assertTrue(self.passive_health.is_avoided("i-1", 41))
        self.assertFalse(
            self.passive_health.is_avoided(
                "i-1", 40 + passive_health.INITIAL_AVOID_MS
            )
        )

    def test_the_time_grows_with_each_unanswered_opening_up_to_a_maximum(
        self,
    ) -> None:
        for _ in range(20):
            self.passive_health.record_unanswered("i-1", 0, 40)
        last_ms = 40 + passive_health.MAX_AVOID_MS
        self.assertTrue(self.passive_health.is_avoided("i-1", last_ms - 1))
        self.assertFalse(self.passive_health.is_avoided("i-1", last_ms))

    def test_an_answer_ends_the_avoidance(self) -> None:
        self.passive_health.record_unanswered("i-1", 0, 40)
        self.passive_health.record_answered("i-1", 50)
        self.assertFalse(self.passive_health.is_avoided("i-1", 51))

    def test_an_upstream_that_answers_other_flows_is_not_avoided(self) -> None:
        self.passive_health.record_answered("i-1", 20)
        self.passive_health.record_unanswered("i-1", 10, 50)
        self.assertFalse(self.passive_health.is_avoided("i-1", 51))

    def test_a_peer_report_counts_unless_the_upstream_answered_this_host(
        self,
    ) -> None:
        self.passive_health.record_peer_report("i-1", 2_000, 0)
        self.assertTrue(self.passive_health.is_avoided("i-1", 1))
        self.assertFalse(
            self.passive_health.is_avoided(
                "i-1", passive_health.MAX_PEER_AVOID_MS
            )
        )
        self.passive_health.record_answered("i-2", 0)
        self.passive_health.record_peer_report("i-2", 2_000, 100)
        self.assertFalse(self.passive_health.is_avoided("i-2", 101))

    def test_peer_reports_are_not_passed_on(self) -> None:
        # Otherwise peers would renew each other's reports for ever.
        self.passive_health.record_peer_report("i-1", 2_000, 0)
        self.assertEqual(0, self.passive_health.own_avoid_ms("i-1", 1))
