import testtools

from sapphire_core.tagged_flows.health import usual_responses

ENDPOINT = (1, 443)
# The least of the users' responses of 770 bytes, and their longest error.
LEAST_BYTES = 412
ERROR_BYTES = 153


class UsualResponsesTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.usual = usual_responses.UsualResponses()
        self.now_ms = 0

    def learn(
        self, size_bytes: int, count: int = 20, interval_ms: int = 50
    ) -> None:
        """Records responses of one size."""
        for _ in range(count):
            self.now_ms += interval_ms
            self.usual.record_size(ENDPOINT, size_bytes, self.now_ms)

    def test_nothing_is_short_before_the_usual_size_is_known(self) -> None:
        self.learn(770, usual_responses.MIN_RESPONSES - 1)
        self.assertFalse(self.usual.is_short(ENDPOINT, 1))

    def test_an_error_is_short_and_a_small_response_is_not(self) -> None:
        for usual_bytes in (770, 1_100, 12_000):
            self.learn(usual_bytes, 300)
            self.assertTrue(self.usual.is_short(ENDPOINT, ERROR_BYTES))
            self.assertFalse(self.usual.is_short(ENDPOINT, LEAST_BYTES + 200))
        self.assertFalse(self.usual.is_short(ENDPOINT, 4_500))

    def test_a_third_of_errors_does_not_change_what_is_usual(self) -> None:
        for _ in range(300):
            self.learn(770, 2)
            self.learn(ERROR_BYTES, 1)
        self.assertTrue(self.usual.is_short(ENDPOINT, ERROR_BYTES))
        self.assertFalse(self.usual.is_short(ENDPOINT, LEAST_BYTES))

    def test_a_wave_of_rejections_does_not_change_what_is_usual(self) -> None:
        """Pattern: full upstreams reject ten times what they process."""
        self.learn(770, 200)
        for _ in range(200):
            self.learn(770, 1, interval_ms=2)
            self.learn(ERROR_BYTES, 10, interval_ms=2)
        self.assertTrue(self.usual.is_short(ENDPOINT, ERROR_BYTES))

    def test_a_route_of_short_responses_tells_nothing_by_size(self) -> None:
        self.learn(211)
        self.assertFalse(self.usual.is_short(ENDPOINT, ERROR_BYTES))

    def test_a_changed_size_is_learned_again(self) -> None:
        self.learn(12_000, 1_000)
        self.learn(150, 600)
        self.assertFalse(self.usual.is_short(ENDPOINT, 150))

    def test_mean_time_follows_the_last_responses(self) -> None:
        self.assertIsNone(self.usual.mean_ms(ENDPOINT))
        for time_ms in [20] * 20 + [60] * 100:
            self.usual.record_time(ENDPOINT, time_ms)
        mean_ms = self.usual.mean_ms(ENDPOINT) or 0.0
        self.assertAlmostEqual(60.0, mean_ms, delta=1.0)

    def test_memory_is_bounded(self) -> None:
        for port in range(2 * usual_responses.MAX_ROUTES):
            self.usual.record_size((1, port), 770, self.now_ms)
        self.assertEqual(usual_responses.MAX_ROUTES, len(self.usual))
