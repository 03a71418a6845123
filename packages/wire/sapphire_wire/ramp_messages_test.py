import hypothesis
from hypothesis import strategies
import testtools

from sapphire_core.flows import data
from sapphire_wire import ramp_messages


class RampMessagesTest(testtools.TestCase):
    def test_the_newest_ramps_survive_the_round_trip(self) -> None:
        ramps = tuple(
            data.SlowStart(f"u{age}", age) for age in range(60, 0, -1)
        )
        decoded = ramp_messages.decode_answer(
            ramp_messages.encode_answer(ramps)
        ).ok
        self.assertEqual(ramp_messages.MAX_RAMPS, len(decoded))
        self.assertEqual(data.SlowStart("u1", 1), decoded[0])

    def test_an_impossible_age_is_refused(self) -> None:
        for age_ms in (-1, ramp_messages.MAX_AGE_MS + 1):
            body = ramp_messages.encode_answer((data.SlowStart("u", age_ms),))
            self.assertTrue(ramp_messages.decode_answer(body).is_error())

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.binary(max_size=120))
    def test_arbitrary_bytes_never_raise(self, body: bytes) -> None:
        ramp_messages.decode_answer(body)
