import random

import testtools

from sapphire_core.peers import data
from sapphire_core.peers import outcome_reports
from sapphire_core.peers import peer_table
from sapphire_core.peers import upstream_reports
from sapphire_lab.tagged_flows import builders
from sapphire_lab.tagged_flows import outcome_builders

TAG = 5
SOUND = outcome_builders.counts(4, 0)
FAILING = outcome_builders.counts(1, 2)
SLOW = outcome_builders.counts(2, 0, time_ratio=4.0)


def received(
    host: str, *reports: data.OutcomeReport, age_ms: int = 0, near: bool = True
) -> upstream_reports.ReceivedHeartbeat:
    """Returns a heartbeat with some reports."""
    heartbeat = builders.heartbeat(host, outcomes=reports)
    return upstream_reports.ReceivedHeartbeat(heartbeat, age_ms, near)


class OutcomeReportsTest(testtools.TestCase):
    def test_nothing_is_reported_while_all_do_well(self) -> None:
        self.assertEqual((), outcome_reports.own_reports({TAG: SOUND}, ()))

    def test_failing_and_slow_upstreams_are_reported(self) -> None:
        reports = outcome_reports.own_reports(
            {TAG: SOUND, TAG + 1: FAILING, TAG + 2: SLOW}, ()
        )
        self.assertEqual([TAG + 1, TAG + 2], [each.tag for each in reports])

    def test_sound_requests_are_reported_where_a_peer_has_bad_signs(
        self,
    ) -> None:
        reports = outcome_reports.own_reports({TAG: SOUND}, (TAG,))
        self.assertEqual((outcome_builders.report(TAG, 4, 0),), reports)

    def test_reports_are_bounded_and_the_worst_come_first(self) -> None:
        own = {
            tag: outcome_builders.counts(0, 1 + tag % 3) for tag in range(60)
        }
        reports = outcome_reports.own_reports(own, range(60))
        self.assertEqual(outcome_reports.MAX_REPORTS, len(reports))
        self.assertEqual({3}, {each.badly for each in reports})

    def test_the_counts_of_one_host_are_bounded(self) -> None:
        evidence = outcome_reports.evidence_of_peers(
            [received("h", outcome_builders.report(TAG, 10**6, 3 * 10**6))]
        )
        self.assertEqual(
            (outcome_builders.counts(2, 6),),
            tuple(
                outcome_builders.counts(each.well, each.badly)
                for each in evidence[TAG].of_peers
            ),
        )

    def test_late_and_remote_reports_do_not_count(self) -> None:
        report = outcome_builders.report(TAG, 0, 3)
        late_ms = outcome_reports.MAX_REPORT_AGE_MS + 1
        self.assertEqual(
            {},
            outcome_reports.evidence_of_peers(
                [
                    received("late", report, age_ms=late_ms),
                    received("remote", report, near=False),
                ]
            ),
        )

    def test_doubled_and_overtaken_reports_change_nothing(self) -> None:
        table = peer_table.PeerTable(
            builders.heartbeat("own").contact, random.Random(1), 4_000
        )
        for sequence, badly in ((2, 3), (2, 3), (1, 8), (2, 8)):
            heartbeat = builders.heartbeat(
                "edge-2",
                sequence=sequence,
                outcomes=(outcome_builders.report(TAG, 0, badly),),
            )
            table.record_heartbeat(heartbeat, 100)
        evidence = outcome_reports.evidence_of_peers(table.live_heartbeats(100))
        self.assertEqual(
            [3], [counts.badly for counts in evidence[TAG].of_peers]
        )

    def test_more_reports_than_a_heartbeat_has_are_ignored(self) -> None:
        reports = [outcome_builders.report(tag, 0, 3) for tag in range(90)]
        self.assertEqual(
            outcome_reports.MAX_REPORTS,
            len(outcome_reports.evidence_of_peers([received("h", *reports)])),
        )
