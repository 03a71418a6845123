import hypothesis
from hypothesis import strategies
import testtools

from sapphire_core.flows import data
from sapphire_wire import slow_start_messages


class SlowStartMessagesTest(testtools.TestCase):
    def test_newest_slow_starts_survive_the_round_trip(self) -> None:
        slow_starts = tuple(
            data.SlowStart(f"u{age}", age) for age in range(60, 0, -1)
        )
        decoded = slow_start_messages.decode_answer(
            slow_start_messages.encode_answer(slow_starts)
        ).ok
        self.assertEqual(slow_start_messages.MAX_SLOW_STARTS, len(decoded))
        self.assertEqual(data.SlowStart("u1", 1), decoded[0])

    def test_age_out_of_range_is_rejected(self) -> None:
        for age_ms in (-1, slow_start_messages.MAX_AGE_MS + 1):
            body = slow_start_messages.encode_answer(
                (data.SlowStart("u", age_ms),)
            )
            self.assertTrue(slow_start_messages.decode_answer(body).is_error())

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.binary(max_size=120))
    def test_arbitrary_bytes_never_raise(self, body: bytes) -> None:
        slow_start_messages.decode_answer(body)
