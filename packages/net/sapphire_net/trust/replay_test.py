import hypothesis
from hypothesis import strategies
import testtools

from sapphire_net.trust import replay

_SEQUENCES = strategies.lists(
    strategies.integers(min_value=0, max_value=3 * replay.WINDOW_BITS),
    max_size=80,
)


class ReplayWindowTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(_SEQUENCES)
    def test_window_agrees_with_a_set_of_all_sequences_seen(
        self, sequences: list[int]
    ) -> None:
        window = replay.ReplayWindow()
        seen: set[int] = set()
        for sequence in sequences:
            is_in_window = not seen or (
                sequence > max(seen) - replay.WINDOW_BITS
            )
            expected = is_in_window and sequence not in seen
            status = window.check("h1", sequence, 1_000, 0)
            self.assertEqual(expected, status is replay.ReplayStatus.FRESH)
            if expected:
                seen.add(sequence)

    def test_senders_have_separate_sequences(self) -> None:
        window = replay.ReplayWindow()
        for sender in ("h1", "h2"):
            self.assertIs(
                replay.ReplayStatus.FRESH, window.check(sender, 5, 1_000, 0)
            )

    def test_full_window_evicts_only_senders_outside_the_time_window(
        self,
    ) -> None:
        window = replay.ReplayWindow(max_senders=2)
        for sender, sent_ms in (("old", 10), ("new", 20)):
            window.check(sender, 1, sent_ms, 0)
        self.assertIs(replay.ReplayStatus.FULL, window.check("h3", 1, 30, 5))
        self.assertIs(replay.ReplayStatus.FRESH, window.check("h3", 1, 30, 15))
        self.assertEqual(2, len(window))
        self.assertIs(
            replay.ReplayStatus.REPLAYED, window.check("new", 1, 20, 15)
        )
