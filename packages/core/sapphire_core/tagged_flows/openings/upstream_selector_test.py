import testtools

from sapphire_core.tagged_flows import data
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


class LargeServiceTest(testtools.TestCase):
    """A service of hundreds of upstreams, of which a host considers a part."""

    def bench(self, near: int, remote: int) -> builders.SteeringBench:
        return builders.SteeringBench(
            *(builders.upstream(f"near-{n}") for n in range(near)),
            *(
                builders.upstream(f"far-{n}", data_centre="salem")
                for n in range(remote)
            ),
        )

    def loads(self, bench: builders.SteeringBench, flows: int) -> list[int]:
        """Opens flows and returns the requests in flight at each upstream."""
        for number in range(flows):
            bench.answer(number, bench.open(number, 10), 10)
        return sorted(
            bench.steering.flow_table.in_flight(name)
            for name in bench.steering.upstream_table.by_id
        )

    def test_the_load_spreads_as_if_all_were_considered(self) -> None:
        for near, remote in ((1_000, 0), (300, 700), (20, 980)):
            loads = self.loads(self.bench(near, remote), 2_000)
            self.assertEqual(2_000, sum(loads))
            # Two each, and hardly more anywhere.
            self.assertLessEqual(loads[-1], 4)

    def test_few_flows_stay_in_the_data_centre(self) -> None:
        bench = self.bench(500, 500)
        self.loads(bench, 400)
        remote = sum(
            bench.steering.flow_table.in_flight(f"far-{n}") for n in range(500)
        )
        self.assertEqual(0, remote)

    def test_the_only_sound_one_is_found(self) -> None:
        bench = self.bench(1_000, 0)
        table = bench.steering.upstream_table
        for number in range(999):
            bench.steering.selector.record_unanswered(
                table.by_id[f"near-{number}"], 5, 10
            )
        action = bench.open(1, 11)
        assert isinstance(action, data.Forward)
        self.assertEqual("near-999", action.upstream.upstream_id)

    def test_a_small_service_is_considered_whole(self) -> None:
        """Its decisions are those of before, draw by draw."""
        size = upstream_selector.MAX_CONSIDERED
        loads = self.loads(self.bench(size, 0), 3 * size)
        self.assertEqual([3] * size, loads)
