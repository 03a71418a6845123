import testtools

from sapphire_core.peers import outcome_reports
from sapphire_core.tagged_flows.health import request_outcomes
from sapphire_lab.tagged_flows import outcome_builders

Way = outcome_builders.Way
UPSTREAM = outcome_builders.entry(1)
# The least patience, and a sweep.
PATIENCE_MS = request_outcomes.MIN_PATIENCE_MS + 100


class RequestOutcomesTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.host = outcome_builders.ObservedHost()
        self.host.learn_usual()

    def counts(self, tag: int = 1) -> outcome_reports.HostCounts:
        """Returns the counts of an upstream."""
        return self.host.outcomes.by_tag()[tag]

    def badly(self) -> int:
        """Returns how many requests ended badly, at all upstreams."""
        return sum(c.badly for c in self.host.outcomes.by_tag().values())

    def test_each_way_to_fail_shows_within_the_patience(self) -> None:
        for number, way in enumerate(Way):
            upstream = outcome_builders.entry(number)
            # Most upstreams of this host are sound.
            for sound in range(100, 100 + 2 * len(Way)):
                self.host.request(
                    Way.WELL, outcome_builders.entry(sound), sound
                )
            for caller in range(3):
                self.host.request(way, upstream, 10 * number + caller)
            self.host.run(PATIENCE_MS)
            is_sound = way in (Way.WELL, Way.SLOW)
            counts = self.counts(number)
            self.assertEqual(
                (3, 0) if is_sound else (0, 3),
                (counts.well, counts.badly),
                way,
            )
            self.host.run(request_outcomes.WINDOW_MS)

    def test_a_slow_upstream_shows_by_its_time(self) -> None:
        self.host.request(Way.SLOW, UPSTREAM)
        self.host.run(200)
        self.assertAlmostEqual(8.0, self.counts().time_ratio, delta=0.5)

    def test_a_request_that_hangs_counts_once(self) -> None:
        self.host.request(Way.HANG, UPSTREAM)
        self.host.run(outcome_builders.DEADLINE_MS + 100)
        self.assertEqual(1, self.counts().badly)

    def test_outcomes_are_forgotten_after_the_window(self) -> None:
        self.host.request(Way.ERRORS, UPSTREAM)
        self.host.run(100)
        self.assertEqual(1, self.badly())
        self.host.run(request_outcomes.WINDOW_MS + 100)
        self.assertEqual({}, self.host.outcomes.by_tag())

    def test_a_caller_counts_once_for_an_upstream(self) -> None:
        for _ in range(5):
            self.host.request(Way.ERRORS, UPSTREAM, caller=1)
        self.host.run(100)
        self.assertEqual(1, self.counts().badly)

    def test_the_path_of_one_caller_is_no_sign(self) -> None:
        for tag in range(20):
            self.host.request(Way.WELL, outcome_builders.entry(tag), tag)
        for tag in range(request_outcomes.CALLER_PATH_UPSTREAMS):
            self.host.request(Way.MUTE, outcome_builders.entry(tag), caller=90)
        self.host.run(PATIENCE_MS)
        self.assertEqual(0, self.badly())

    def test_the_path_of_this_host_is_no_sign(self) -> None:
        for tag in range(8):
            way = Way.MUTE if tag % 4 else Way.WELL
            self.host.request(way, outcome_builders.entry(tag), tag)
        self.host.run(PATIENCE_MS)
        self.assertEqual(0, self.badly())

    def test_requests_in_flight_are_forgotten_after_a_stall(self) -> None:
        self.host.request(Way.HANG, UPSTREAM)
        self.host.run(100)
        self.host.outcomes.forget_requests()
        self.host.run(PATIENCE_MS)
        self.assertEqual({}, self.host.outcomes.by_tag())

    def test_memory_is_bounded(self) -> None:
        for number in range(request_outcomes.MAX_REQUESTS + 50):
            self.host.request(Way.RESET, UPSTREAM, number)
        self.host.run(2)
        self.assertEqual(request_outcomes.MAX_REQUESTS, len(self.host.outcomes))
