import testtools

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows.openings import half_open_flows
from sapphire_core.tagged_flows.openings import openings
from sapphire_lab.tagged_flows import builders

PAUSE_MS = 5_000


class PausedHostTest(testtools.TestCase):
    """A host that stood still sends nothing for callers that have gone."""

    def setUp(self) -> None:
        super().setUp()
        self.bench = builders.SteeringBench(
            builders.upstream("i-1", slots=1), builders.upstream("i-2", slots=1)
        )
        self.steering = self.bench.steering

    def test_half_open_flows_are_not_failed_over(self) -> None:
        self.bench.open(1, 0)
        self.steering.tick(10)
        self.assertEqual([], self.steering.tick(PAUSE_MS))
        self.assertEqual([], self.steering.tick(PAUSE_MS + 100))
        self.assertFalse(self.steering.has_pending)

    def test_deferred_flows_are_not_released(self) -> None:
        self.steering.apply_peer_reports({}, {}, 1, 0)
        for number in range(2):
            self.bench.answer(number, self.bench.open(number, 0), 1)
        late = self.bench.open(9, 2, retransmissions=2)
        self.assertIsInstance(late, data.Defer)
        self.steering.tick(10)
        self.assertEqual([], self.steering.tick(PAUSE_MS))
        self.assertEqual(0, self.steering.deferred_count)
        self.assertIs(data.Verdict.GIVEN_UP, self.bench.verdicts()[-1])

    def test_nothing_is_sent_before_the_news_of_the_pause_are_read(
        self,
    ) -> None:
        self.bench.open(1, 0)
        pause_ms = openings.PAUSE_THRESHOLD_MS + 50
        self.steering.tick(10)
        self.assertLess(pause_ms, half_open_flows.OPENING_TIMEOUT_MS)
        self.assertEqual([], self.steering.tick(10 + pause_ms))
