import testtools

from sapphire_core.tagged_flows.openings import upstream_selector
from sapphire_lab.tagged_flows import builders
from sapphire_wire import peer_messages

UPSTREAMS = 600


class UpstreamReportsTest(testtools.TestCase):
    def test_reports_of_a_very_busy_host_fit_a_heartbeat(self) -> None:
        """Pattern: one host with requests at hundreds of upstreams."""
        bench = builders.SteeringBench(
            *(builders.upstream(f"i-{n}") for n in range(UPSTREAMS))
        )
        for number in range(3 * UPSTREAMS):
            bench.answer(number, bench.open(number, number), number)
        now_ms = 3 * UPSTREAMS
        selector = bench.steering.selector
        avoided = bench.steering.upstream_table.by_id["i-0"]
        selector.record_unanswered(avoided, now_ms - 50, now_ms)
        reports = selector.upstream_reports(now_ms)
        self.assertEqual(upstream_selector.MAX_REPORTS, len(reports))
        self.assertIn(avoided.tag, [each.tag for each in reports])
        heartbeat = builders.heartbeat("host", upstreams=reports)
        self.assertLess(
            len(peer_messages.encode_heartbeat(heartbeat)),
            peer_messages.MAX_HEARTBEAT_BYTES // 2,
        )

    def test_a_host_that_hears_no_load_takes_the_least_loaded(self) -> None:
        """The draws of other hosts' load change nothing without a report."""
        bench = builders.SteeringBench(
            *(builders.upstream(f"i-{n}") for n in range(4))
        )
        for number in range(12):
            bench.answer(number, bench.open(number, 10), 10)
        for name in bench.steering.upstream_table.by_id:
            self.assertEqual(3, bench.steering.flow_table.in_flight(name))

    def test_the_log_tells_what_peers_report_and_how_old_it_is(self) -> None:
        bench = builders.SteeringBench(builders.upstream("i-0"))
        bench.open(1, 10)
        tag = bench.steering.upstream_table.by_id["i-0"].tag
        bench.steering.apply_peer_reports({tag: 1.5}, {}, 9, 20)
        bench.open(2, 45)
        logged = [
            (each.detail["peers_busy"], each.detail["peers_ms"])
            for each in bench.decisions
        ]
        self.assertEqual([(0.0, -1), (1.5, 25)], logged)
