import testtools

from sapphire_core.peers import data
from sapphire_core.peers import host_counts

TTL_MS = host_counts.REMOTE_COUNT_TTL_MS


class HostCountsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.counts = host_counts.HostCounts("here")
        self.counts.set_own(4, 0)

    def merge(self, data_centre: str, hosts: int, age_ms: int) -> None:
        """Merges the count of a data centre at time 1,000."""
        self.counts.merge({data_centre: data.LiveCount(hosts, age_ms)}, 1_000)

    def test_the_newest_count_of_each_data_centre_holds(self) -> None:
        self.merge("salem", 7, 200)
        self.merge("salem", 9, 500)
        self.merge("spokane", 5, 0)
        self.assertEqual(4 + 7 + 5, self.counts.total({}, 1_000))
        self.merge("salem", 2, 0)
        self.assertEqual(4 + 2 + 5, self.counts.total({}, 1_000))

    def test_a_peer_does_not_count_this_data_centre(self) -> None:
        self.merge("here", 90, 0)
        self.assertEqual(4, self.counts.total({}, 1_000))

    def test_listed_hosts_count_until_a_count_arrives(self) -> None:
        self.assertEqual(4 + 40, self.counts.total({"salem": 40}, 1_000))
        self.merge("salem", 38, 0)
        self.assertEqual(4 + 38, self.counts.total({"salem": 40}, 1_000))

    def test_a_data_centre_without_any_sign_stops_counting(self) -> None:
        self.assertEqual(44, self.counts.total({"salem": 40}, 0))
        self.counts.set_own(4, TTL_MS)
        self.assertEqual(44, self.counts.total({"salem": 40}, TTL_MS))
        self.counts.set_own(4, TTL_MS + 1)
        self.assertEqual(4, self.counts.total({"salem": 40}, TTL_MS + 1))

    def test_a_data_centre_that_fell_silent_counts_for_a_time(self) -> None:
        self.merge("salem", 38, 0)
        for now_ms, expected in (
            (1_000 + TTL_MS, 4 + 38),
            (1_001 + TTL_MS, 4),
        ):
            self.counts.set_own(4, now_ms)
            self.assertEqual(expected, self.counts.total({"salem": 40}, now_ms))

    def test_counts_are_passed_on_with_their_age(self) -> None:
        self.merge("salem", 7, 200)
        self.counts.set_own(5, 1_500)
        self.assertEqual(
            {"here": data.LiveCount(5, 0), "salem": data.LiveCount(7, 700)},
            self.counts.reported(1_500),
        )
