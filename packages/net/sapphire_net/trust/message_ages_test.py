import testtools

from sapphire_net.trust import message_ages

EPOCH_MS = message_ages.EPOCH_MS
DELAY_MS = 2
SKEW_MS = -700


class MessageAgesTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.ages = message_ages.MessageAges()

    def _receive(self, sent_ms: int, late_ms: int = 0) -> int:
        wall_ms = sent_ms + SKEW_MS + DELAY_MS + late_ms
        return self.ages.age_ms("h2", sent_ms, wall_ms)

    def test_a_pause_of_the_receiver_is_the_age(self) -> None:
        self.assertEqual(0, self._receive(1_000_000))
        self.assertEqual(5_000, self._receive(1_001_000, 5_000))
        self.assertEqual(0, self._receive(1_007_000))

    def test_a_pause_of_many_epochs_is_the_age(self) -> None:
        self._receive(1_000_000)
        late_ms = 5 * EPOCH_MS
        self.assertEqual(late_ms, self._receive(1_001_000, late_ms))

    def test_a_clock_that_was_set_is_followed_after_two_epochs(self) -> None:
        ages = [
            self._receive(1_000_000 + number * EPOCH_MS, 400 * (number > 0))
            for number in range(4)
        ]
        self.assertEqual([0, 400, 0, 0], ages)

    def test_senders_that_have_left_are_forgotten(self) -> None:
        for number in range(100):
            self.ages.age_ms(f"h{number}", 0, number * EPOCH_MS)
        self.assertEqual(1, len(self.ages._offset_ms_by_sender))
        self.assertEqual(1, len(self.ages._last_offset_ms_by_sender))
