import testtools

from sapphire_core.peers import data
from sapphire_core.peers import upstream_reports
from sapphire_lab.tagged_flows import builders

TAG = 5


def received(
    host: str, report: data.UpstreamReport, *, age_ms: int = 0, near: bool
) -> upstream_reports.ReceivedHeartbeat:
    """Returns a heartbeat with one report."""
    heartbeat = builders.heartbeat(host, upstreams=(report,))
    return upstream_reports.ReceivedHeartbeat(heartbeat, age_ms, near)


class TotalInFlightTest(testtools.TestCase):
    def test_reports_are_scaled_up_to_near_peers_without_heartbeat(
        self,
    ) -> None:
        reports = [
            received(f"h{n}", data.UpstreamReport(TAG, 1.0, 0), near=True)
            for n in range(4)
        ]
        self.assertEqual(
            {TAG: 8.0}, upstream_reports.total_in_flight(reports, 8)
        )

    def test_remote_reports_are_added_as_they_are(self) -> None:
        reports = [
            received("near", data.UpstreamReport(TAG, 1.0, 0), near=True),
            received("far", data.UpstreamReport(TAG, 3.0, 0), near=False),
        ]
        self.assertEqual(
            {TAG: 5.0}, upstream_reports.total_in_flight(reports, 2)
        )

    def test_old_reports_count_less(self) -> None:
        report = data.UpstreamReport(TAG, 4.0, 0)
        for age_ms, expected in (
            (upstream_reports.FULL_WEIGHT_AGE_MS, {TAG: 4.0}),
            (1_750, {TAG: 2.0}),
            (upstream_reports.MAX_REPORT_AGE_MS, {}),
        ):
            reports = [received("a", report, age_ms=age_ms, near=True)]
            self.assertEqual(
                expected, upstream_reports.total_in_flight(reports, 1)
            )

    def test_endless_load_counts_as_that_of_a_few_peers(self) -> None:
        """A peer that reports load without limit, and one that claims none."""
        reports = [
            received(f"h{n}", data.UpstreamReport(TAG, 2.0, 0), near=True)
            for n in range(9)
        ]
        forged = [
            received("h9", data.UpstreamReport(8, 1e6, 0), near=True),
            received("h10", data.UpstreamReport(TAG, -1e6, 0), near=True),
        ]
        total = upstream_reports.total_in_flight([*reports, *forged], 11)
        self.assertEqual(
            {TAG: 18.0, 8: 2.0 * upstream_reports.MAX_TIMES_MEDIAN}, total
        )


class UnresponsiveReportsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.reports = upstream_reports.UnresponsiveReports()

    def record(self, silent_ms: int, now_ms: int, tag: int = TAG) -> bool:
        """Records a report that an upstream is avoided for some time."""
        return self.reports.record(
            [data.UpstreamReport(tag, 0.0, silent_ms)], now_ms
        )

    def test_a_report_ages_while_no_other_arrives(self) -> None:
        self.record(300, 0)
        remaining_ms = 300 - upstream_reports.HOP_MS
        for now_ms, expected in (
            (0, {TAG: remaining_ms}),
            (200, {TAG: remaining_ms - 200}),
            (remaining_ms, {}),
        ):
            self.assertEqual(expected, self.reports.avoid_ms_by_tag(now_ms))

    def test_only_the_first_report_of_an_upstream_is_new(self) -> None:
        self.assertTrue(self.record(300, 0))
        self.assertFalse(self.record(600, 100))
        self.assertTrue(self.record(300, 5_000))

    def test_a_responsive_upstream_is_no_report(self) -> None:
        self.assertFalse(self.record(0, 0))
        self.assertEqual({}, self.reports.avoid_ms_by_tag(0))

    def test_reports_of_two_hosts_to_each_other_end(self) -> None:
        peers = [self.reports, upstream_reports.UnresponsiveReports()]
        self.record(10_000, 0)
        now_ms = 0
        while self.reports.avoid_ms_by_tag(now_ms):
            for sender, receiver in (peers, peers[::-1]):
                receiver.record(sender.relayed((), now_ms), now_ms)
            now_ms += 10
            self.assertLess(now_ms, 2 * upstream_reports.MAX_AVOID_MS)

    def test_own_reports_are_not_passed_on_as_those_of_peers(self) -> None:
        self.record(300, 0)
        own = (data.UpstreamReport(TAG, 1.0, 200),)
        self.assertEqual((), self.reports.relayed(own, 0))

    def test_the_longest_reports_are_passed_on_first(self) -> None:
        for tag in range(upstream_reports.MAX_RELAYED_REPORTS + 10):
            self.record(200 + tag, 0, tag)
        relayed = self.reports.relayed((), 0)
        self.assertEqual(upstream_reports.MAX_RELAYED_REPORTS, len(relayed))
        self.assertEqual(33, relayed[0].tag)
