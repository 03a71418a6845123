import testtools

from sapphire_core.tagged_flows import passive_health


class PassiveHealthTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.passive_health = passive_health.PassiveHealth()

    def test_an_unanswered_opening_keeps_flows_away_for_a_while(self) -> None:
        self.passive_health.record_unanswered("i-1", 0, 40)
        self.assertTrue(self.passive_health.is_avoided("i-1", 41))
        self.assertFalse(
            self.passive_health.is_avoided(
                "i-1", 40 + passive_health.INITIAL_AVOID_MS
            )
        )

    def test_each_further_one_keeps_them_away_longer_up_to_a_bound(
        self,
    ) -> None:
        for _ in range(20):
            self.passive_health.record_unanswered("i-1", 0, 40)
        last_ms = 40 + passive_health.MAX_AVOID_MS
        self.assertTrue(self.passive_health.is_avoided("i-1", last_ms - 1))
        self.assertFalse(self.passive_health.is_avoided("i-1", last_ms))

    def test_an_answer_clears_it(self) -> None:
        self.passive_health.record_unanswered("i-1", 0, 40)
        self.passive_health.record_answered("i-1", 50)
        self.assertFalse(self.passive_health.is_avoided("i-1", 51))

    def test_a_lost_packet_to_an_upstream_that_answers_others(self) -> None:
        self.passive_health.record_answered("i-1", 20)
        self.passive_health.record_unanswered("i-1", 10, 50)
        self.assertFalse(self.passive_health.is_avoided("i-1", 51))

    def test_a_peer_is_believed_unless_this_host_knows_better(self) -> None:
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

    def test_only_own_silence_is_told_on(self) -> None:
        # Else peers would keep each other's word alive for ever.
        self.passive_health.record_peer_report("i-1", 2_000, 0)
        self.assertEqual(0, self.passive_health.own_avoid_ms("i-1", 1))
