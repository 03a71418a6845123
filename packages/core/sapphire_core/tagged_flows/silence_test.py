import testtools

from sapphire_core.tagged_flows import silence


class SilenceTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.silence = silence.Silence()

    def test_an_unanswered_opening_keeps_flows_away_for_a_while(self) -> None:
        self.silence.note_unanswered("i-1", 0, 40)
        self.assertTrue(self.silence.is_avoided("i-1", 41))
        self.assertFalse(
            self.silence.is_avoided("i-1", 40 + silence.FIRST_AVOID_MS)
        )

    def test_each_further_one_keeps_them_away_longer_up_to_a_bound(
        self,
    ) -> None:
        for _ in range(20):
            self.silence.note_unanswered("i-1", 0, 40)
        last_ms = 40 + silence.MAX_AVOID_MS
        self.assertTrue(self.silence.is_avoided("i-1", last_ms - 1))
        self.assertFalse(self.silence.is_avoided("i-1", last_ms))

    def test_an_answer_clears_it(self) -> None:
        self.silence.note_unanswered("i-1", 0, 40)
        self.silence.note_answered("i-1", 50)
        self.assertFalse(self.silence.is_avoided("i-1", 51))

    def test_a_lost_packet_to_an_upstream_that_answers_others(self) -> None:
        self.silence.note_answered("i-1", 20)
        self.silence.note_unanswered("i-1", 10, 50)
        self.assertFalse(self.silence.is_avoided("i-1", 51))

    def test_a_peer_is_believed_unless_this_host_knows_better(self) -> None:
        self.silence.note_peer("i-1", 2_000, 0)
        self.assertTrue(self.silence.is_avoided("i-1", 1))
        self.assertFalse(self.silence.is_avoided("i-1", silence.PEER_AVOID_MS))
        self.silence.note_answered("i-2", 0)
        self.silence.note_peer("i-2", 2_000, 100)
        self.assertFalse(self.silence.is_avoided("i-2", 101))

    def test_only_own_silence_is_told_on(self) -> None:
        # Else peers would keep each other's word alive for ever.
        self.silence.note_peer("i-1", 2_000, 0)
        self.assertEqual(0, self.silence.own_silent_ms("i-1", 1))
