import testtools

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import tags
from sapphire_core.tagged_flows.health import dead_upstreams
from sapphire_lab.tagged_flows import builders

# When a caller sends its data and retransmits it (the protocol).
SEND_TIMES_MS = (0, 200, 600, 1_400)


class DeadUpstreamsTest(testtools.TestCase):
    """A caller retransmits its data on an open flow."""

    def setUp(self) -> None:
        super().setUp()
        self.bench = builders.SteeringBench(
            builders.upstream("i-1"), builders.upstream("i-2")
        )
        self.steering = self.bench.steering
        self.tag = tags.tag_of("i-1")

    def send(
        self,
        now_ms: int,
        number: int = 1,
        *,
        sequence: int = 2,
        acknowledged: int = 100,
        payload_bytes: int = 300,
    ) -> data.Action:
        packet = builders.packet(
            number,
            tag=self.tag,
            sequence=sequence,
            acknowledged=acknowledged,
            payload_bytes=payload_bytes,
        )
        return self.steering.handle(packet, now_ms)

    def report_unanswered_opening(self, now_ms: int) -> None:
        """A peer reports that the upstream left an opening unanswered."""
        self.steering.apply_peer_reports({}, {self.tag: 600}, 9, now_ms)

    def remove_upstream(self, now_ms: int) -> None:
        """The upstream's entry is removed while the registry responds."""
        self.steering.upstream_table.remove(
            "i-1", now_ms, data.RemovalCause.UPSTREAM_STOPPED
        )

    def replace_upstream(self, now_ms: int, service: str = "board") -> None:
        """Another upstream registers at the address of the flow's."""
        address = builders.upstream("i-1").address
        other = builders.upstream("i-9", service, address=address, started_ms=2)
        self.steering.upstream_table.put(other, 9, now_ms)

    # Guards against resets of open flows of live upstreams on silence alone:
    # the link of a host or a caller loses data and opening packets alike.
    def test_silence_alone_never_ends_a_flow(self) -> None:
        for now_ms in (*SEND_TIMES_MS, 3_000, 4_600, 6_200):
            self.report_unanswered_opening(now_ms)
            self.assertIsInstance(self.send(now_ms), data.Forward)

    def test_the_second_retransmission_to_a_removed_upstream_is_reset(
        self,
    ) -> None:
        self.assertIsInstance(self.send(0), data.Forward)
        self.remove_upstream(50)
        self.assertIsInstance(self.send(200), data.Forward)
        self.assertIsInstance(self.send(600), data.Reset)

    def test_a_flow_of_a_removed_upstream_goes_on_while_data_is_answered(
        self,
    ) -> None:
        self.remove_upstream(0)
        acknowledged = 100
        for number in range(10):
            now_ms = 1_000 * number
            acknowledged += 900
            sequence = 2 + 300 * number
            for delay_ms in (0, 200):
                action = self.send(
                    now_ms + delay_ms,
                    sequence=sequence,
                    acknowledged=acknowledged,
                )
                self.assertIsInstance(action, data.Forward)

    def test_packets_repeated_together_count_as_one_retransmission(
        self,
    ) -> None:
        self.remove_upstream(0)
        for number in range(4):
            self.send(1_000 + number, sequence=2 + 300 * number)
        for number in range(4):
            action = self.send(1_200 + number, sequence=2 + 300 * number)
            self.assertIsInstance(action, data.Forward)

    # Guards against resets by a host whose own path is at fault, of flows of
    # upstreams whose entries lapsed though they are alive.
    def test_stalled_flows_of_other_upstreams_cast_doubt_on_silence(
        self,
    ) -> None:
        self.remove_upstream(0)
        tag = tags.tag_of("i-2")
        for now_ms in SEND_TIMES_MS:
            self.steering.handle(builders.packet(5, tag=tag), 990 + now_ms)
            self.assertIsInstance(self.send(1_000 + now_ms), data.Forward)

    # As before, by a host whose path loses packets: no other flow is stalled at
    # that moment, but callers have had to repeat their data.
    def test_repeated_data_of_many_flows_casts_doubt_on_silence(self) -> None:
        self.repeat_data_elsewhere(flows=8, repeated=1)
        self.remove_upstream(0)
        for now_ms in SEND_TIMES_MS:
            self.assertIsInstance(self.send(1_300 + now_ms), data.Forward)

    def test_repeated_data_of_few_flows_casts_no_doubt_on_silence(self) -> None:
        self.repeat_data_elsewhere(flows=20, repeated=1)
        self.remove_upstream(0)
        for now_ms in (1_300, 1_500):
            self.assertIsInstance(self.send(now_ms), data.Forward)
        self.assertIsInstance(self.send(1_900), data.Reset)

    def repeat_data_elsewhere(self, flows: int, repeated: int) -> None:
        """Callers of another upstream send data, and some send it twice."""
        tag = tags.tag_of("i-2")
        for number in range(10, 10 + flows):
            packet = builders.packet(number, tag=tag)
            self.steering.handle(packet, 1_000)
            if number < 10 + repeated:
                self.steering.handle(packet, 1_200)

    # Guards against resets of open flows of live upstreams when an entry of
    # another writer, or a step of a clock, makes their address look reused.
    def test_an_address_that_looks_reused_does_not_end_a_flow(self) -> None:
        self.replace_upstream(0)
        for number in range(5):
            action = self.send(1_000 * number, sequence=2 + 300 * number)
            self.assertIsInstance(action, data.Forward)

    # Guards against the same while requests take longer than a caller waits
    # before it repeats its data, also if a configured service is named.
    def test_a_registered_upstream_keeps_flows_that_repeat_their_data(
        self,
    ) -> None:
        for service in ("board", "unknown"):
            self.replace_upstream(0, service)
            for number in range(3):
                for delay_ms in SEND_TIMES_MS:
                    action = self.send(
                        4_000 * number + delay_ms, sequence=2 + 300 * number
                    )
                    self.assertIsInstance(action, data.Forward)

    def test_the_second_retransmission_to_a_reused_address_is_reset(
        self,
    ) -> None:
        self.replace_upstream(0)
        self.assertIsInstance(self.send(1_000), data.Forward)
        self.assertIsInstance(self.send(1_200), data.Forward)
        # No wait after the removal, unlike where the address is free.
        self.remove_upstream(1_590)
        self.assertIsInstance(self.send(1_600), data.Reset)

    def test_an_entry_that_lapsed_is_awaited_although_its_address_is_named(
        self,
    ) -> None:
        self.replace_upstream(0)
        self.steering.upstream_table.remove(
            "i-1", 500, data.RemovalCause.REGISTRY_UNAVAILABLE
        )
        for delay_ms in SEND_TIMES_MS:
            action = self.send(1_000 + delay_ms)
            self.assertIsInstance(action, data.Forward)
        self.assertIsInstance(self.send(4_200), data.Reset)

    # Guards against resets while the caller acknowledges parts of a response
    # on packets that repeat its data.
    def test_acknowledgements_on_repeated_data_show_life(self) -> None:
        self.remove_upstream(0)
        for number, delay_ms in enumerate(SEND_TIMES_MS):
            action = self.send(
                1_000 + delay_ms, acknowledged=100 + 1_200 * number
            )
            self.assertIsInstance(action, data.Forward)

    # Guards against resets by a host that stalled and forgot what it had seen
    # of the upstream.
    def test_a_stall_does_not_turn_an_active_upstream_into_a_dead_one(
        self,
    ) -> None:
        self.send(500, number=2)
        self.remove_upstream(0)
        self.steering.sweep(1_000)
        self.send(1_000)
        self.steering.sweep(1_100)
        self.send(
            1_150, number=2, sequence=302, acknowledged=700, payload_bytes=0
        )
        for now_ms in (1_200, 1_400, 1_600):
            self.steering.sweep(now_ms)
            self.assertIsInstance(self.send(now_ms), data.Forward)
        self.assertIsInstance(self.send(2_500), data.Forward)

    # Guards against a host that forgets stalled flows between two late
    # retransmissions.
    def test_stalled_flows_of_other_upstreams_count_between_retransmissions(
        self,
    ) -> None:
        self.remove_upstream(0)
        other = tags.tag_of("i-2")
        sent = [(10_000 + delay_ms, 5) for delay_ms in (*SEND_TIMES_MS, 3_000)]
        sent += [(11_850, 1), (12_050, 1), (12_450, 1)]
        for now_ms, number in sorted(sent):
            self.steering.sweep(now_ms)
            if number == 1:
                self.assertIsInstance(self.send(now_ms), data.Forward)
                continue
            self.steering.handle(builders.packet(5, tag=other), now_ms)

    def test_retransmissions_alone_do_not_mean_a_dead_upstream(self) -> None:
        # The request takes longer than the caller's first retransmissions.
        for now_ms in SEND_TIMES_MS:
            self.assertIsInstance(self.send(now_ms), data.Forward)

    def test_new_data_does_not_mean_a_dead_upstream(
        self,
    ) -> None:
        self.remove_upstream(0)
        self.send(0)
        self.report_unanswered_opening(300)
        self.assertIsInstance(
            self.send(600, sequence=302, acknowledged=900), data.Forward
        )

    def test_progress_of_another_flow_shows_that_the_upstream_is_alive(
        self,
    ) -> None:
        self.send(0)
        self.send(100, number=2)
        self.send(200)
        self.send(250, number=2, acknowledged=1_300, payload_bytes=0)
        self.remove_upstream(50)
        self.assertIsInstance(self.send(600), data.Forward)

    def test_retransmissions_read_together_after_a_stall_do_not_count(
        self,
    ) -> None:
        self.remove_upstream(0)
        for _ in SEND_TIMES_MS:
            self.assertIsInstance(self.send(2_001), data.Forward)

    def test_copies_read_after_a_stall_do_not_count(self) -> None:
        """The host stops just after it has read data and openings."""
        self.remove_upstream(0)
        for now_ms in (0, 100):
            self.steering.sweep(now_ms)
        for number in range(7, 11):
            self.steering.handle(builders.opening(number), 140)
        self.send(150)
        # All callers have sent copies meanwhile.
        for number in range(7, 11):
            copy = builders.opening(number, retransmissions=1)
            self.steering.handle(copy, 760)
        for _ in range(2):
            self.assertIsInstance(self.send(761), data.Forward)
        self.steering.sweep(762)
        self.assertIsInstance(self.send(763), data.Forward)

    def test_progress_of_the_flow_resets_its_retransmissions(self) -> None:
        self.remove_upstream(0)
        self.send(0)
        self.send(200)
        action = self.send(600, acknowledged=1_300, payload_bytes=0)
        self.assertIsInstance(action, data.Forward)
        action = self.send(610, sequence=302, acknowledged=1_300)
        self.assertIsInstance(action, data.Forward)

    def test_a_lapsed_entry_does_not_mean_a_dead_upstream(
        self,
    ) -> None:
        self.steering.upstream_table.remove(
            "i-1", 0, data.RemovalCause.REGISTRY_UNAVAILABLE
        )
        for now_ms in SEND_TIMES_MS:
            action = self.send(1_000 + now_ms)
            self.assertIsInstance(action, data.Forward)

    def test_a_former_upstream_does_not_count_as_dead(
        self,
    ) -> None:
        former = builders.upstream("i-9")
        entry = self.steering.upstream_table.put_former(former, 1, 0)
        assert entry is not None
        for now_ms in SEND_TIMES_MS:
            packet = builders.packet(9, tag=entry.tag)
            action = self.steering.handle(packet, 1_000 + now_ms)
            self.assertIsInstance(action, data.Forward)

    def test_a_draining_upstream_keeps_its_flows(self) -> None:
        draining = builders.upstream("i-1", state=data.UpstreamState.DRAINING)
        self.steering.upstream_table.put(draining, 9, 0)
        for now_ms in SEND_TIMES_MS:
            self.assertIsInstance(self.send(now_ms), data.Forward)


class StalledFlowTest(testtools.TestCase):
    """What a host reports of open flows whose callers repeat their data."""

    def setUp(self) -> None:
        super().setUp()
        self.bench = builders.SteeringBench(
            builders.upstream("i-1"), builders.upstream("i-2")
        )

    def repeat_data(self, upstream_id: str, number: int) -> None:
        for now_ms in SEND_TIMES_MS:
            packet = builders.packet(number, tag=tags.tag_of(upstream_id))
            self.bench.steering.handle(packet, now_ms)

    def stalled(self) -> list[dict[str, str | int | float]]:
        return [
            decision.detail
            for decision in self.bench.decisions
            if decision.verdict is data.Verdict.STALLED
        ]

    def test_a_stalled_flow_is_reported_once(self) -> None:
        self.repeat_data("i-1", 1)
        self.assertEqual(
            [
                {
                    "repeats": 2,
                    "waited_ms": 600,
                    "removed_ms": -1,
                    "silent_openings": 0,
                    "observer": "none",
                    "stalled_elsewhere": False,
                    "repeated_elsewhere": 0.0,
                }
            ],
            self.stalled(),
        )

    def test_flows_stalled_at_two_upstreams_point_to_the_host(self) -> None:
        self.repeat_data("i-1", 1)
        self.repeat_data("i-2", 2)
        self.assertEqual(
            [False, True],
            [detail["stalled_elsewhere"] for detail in self.stalled()],
        )

    def test_another_flow_of_the_same_upstream_is_not_elsewhere(self) -> None:
        self.repeat_data("i-1", 1)
        self.repeat_data("i-1", 2)
        self.assertEqual(
            [False, False],
            [detail["stalled_elsewhere"] for detail in self.stalled()],
        )

    def test_new_data_may_stall_again(self) -> None:
        self.repeat_data("i-1", 1)
        for now_ms in (2_000, 2_200, 2_600):
            packet = builders.packet(1, tag=tags.tag_of("i-1"), sequence=302)
            self.bench.steering.handle(packet, now_ms)
        self.assertEqual(2, len(self.stalled()))


class WaitingInVainTest(testtools.TestCase):
    """A caller repeats nothing: its data was acknowledged."""

    def setUp(self) -> None:
        super().setUp()
        self.bench = builders.SteeringBench(
            builders.upstream("i-1"), builders.upstream("i-2")
        )
        self.steering = self.bench.steering
        self.now_ms = 0
        # Requests of the route take 50 ms.
        for number in range(20, 30):
            self.serve(number, "i-2", 50)
        self.sent_ms = self.now_ms
        self.send(1, "i-1")

    def send(self, number: int, upstream_id: str, response: int = 0) -> None:
        """Sends a request, or acknowledges some bytes of its response."""
        packet = builders.packet(
            number,
            tag=tags.tag_of(upstream_id),
            sequence=302 if response else 2,
            acknowledged=100 + response,
            payload_bytes=0 if response else 300,
        )
        self.steering.handle(packet, self.now_ms)

    def serve(self, number: int, upstream_id: str, time_ms: int) -> None:
        """Sends a request that is answered."""
        self.send(number, upstream_id)
        self.resets_until(self.now_ms + time_ms)
        self.send(number, upstream_id, response=870)

    def remove_upstream(
        self,
        cause: data.RemovalCause = data.RemovalCause.UPSTREAM_STOPPED,
    ) -> None:
        self.steering.upstream_table.remove("i-1", self.now_ms, cause)

    def resets_until(self, until_ms: int) -> list[int]:
        """Returns the times of the resets that are sent unasked."""
        resets: list[int] = []
        while self.now_ms < until_ms:
            self.now_ms += 50
            for action in self.steering.sweep(self.now_ms):
                assert isinstance(action, data.Reset)
                resets.append(self.now_ms)
        return resets

    def test_it_is_reset_once_its_upstream_has_stopped(self) -> None:
        self.resets_until(self.sent_ms + 2_400)
        self.remove_upstream()
        resets = self.resets_until(self.sent_ms + 10_000)
        self.assertEqual([self.sent_ms + 3_000], resets)
        decision = self.bench.decisions[-1]
        self.assertEqual(data.Verdict.UPSTREAM_GONE, decision.verdict)

    def test_the_reset_has_what_the_caller_acknowledged(self) -> None:
        self.send(1, "i-1", response=1_200)
        self.remove_upstream()
        self.now_ms += 50
        for _ in range(100):
            self.now_ms += 50
            for action in self.steering.sweep(self.now_ms):
                self.assertEqual(builders.flow(1), action.packet.flow_id)
                self.assertEqual(1_300, action.packet.acknowledged)
                return
        self.fail("not reset")

    def test_a_caller_that_waits_for_nothing_keeps_its_flow(self) -> None:
        self.send(1, "i-1", response=870)
        self.remove_upstream()
        self.assertEqual([], self.resets_until(self.sent_ms + 10_000))

    def test_a_registered_upstream_may_take_long(self) -> None:
        self.assertEqual([], self.resets_until(self.sent_ms + 10_000))

    # An upstream that lives never loses a flow by it.
    def test_an_entry_that_lapsed_with_the_registry_says_nothing(self) -> None:
        for cause in (
            data.RemovalCause.REGISTRY_UNAVAILABLE,
            data.RemovalCause.UNKNOWN,
        ):
            self.remove_upstream(cause)
            self.assertEqual([], self.resets_until(self.now_ms + 8_000))

    def test_an_entry_that_came_back_says_nothing(self) -> None:
        self.remove_upstream()
        self.resets_until(self.sent_ms + 1_000)
        self.steering.upstream_table.put(builders.upstream("i-1"), 9, 0)
        self.assertEqual([], self.resets_until(self.sent_ms + 10_000))

    def test_an_address_used_again_is_no_sign_by_itself(self) -> None:
        """The clocks of the two upstreams may differ by seconds."""
        address = builders.upstream("i-1").address
        other = builders.upstream("i-9", address=address, started_ms=2)
        self.steering.upstream_table.put(other, 9, self.now_ms)
        self.assertEqual([], self.resets_until(self.sent_ms + 10_000))

    def test_an_upstream_that_answers_others_keeps_its_flows(self) -> None:
        self.remove_upstream()
        for number in range(50, 60):
            self.serve(number, "i-1", 900)
        self.assertNotIn(data.Verdict.UPSTREAM_GONE, self.bench.verdicts())

    def test_requests_of_a_slow_route_may_take_as_long_as_usual(self) -> None:
        for number in range(100, 140):
            self.serve(number, "i-2", 1_000)
        self.now_ms += 100
        self.sent_ms = self.now_ms
        self.send(1, "i-1")
        self.remove_upstream()
        self.assertEqual([], self.resets_until(self.sent_ms + 5_000))

    def test_a_stall_of_this_process_is_no_waiting(self) -> None:
        self.remove_upstream()
        self.resets_until(self.sent_ms + 600)
        self.now_ms += 5_000
        self.assertEqual([], self.resets_until(self.now_ms + 1_000))

    def test_a_bad_path_of_this_host_is_a_doubt(self) -> None:
        """Other flows are stalled, so that i-1 may only seem silent."""
        self.remove_upstream()
        start_ms = self.now_ms
        resets: list[int] = []
        for number in range(60, 66):
            for _ in range(3):
                self.send(number, "i-2")
                resets += self.resets_until(self.now_ms + 200)
        self.assertLess(start_ms + 3_000, self.now_ms)
        self.assertEqual([], resets)

    def test_many_flows_are_reset_in_batches(self) -> None:
        for number in range(200, 500):
            self.send(number, "i-1")
        self.remove_upstream()
        resets = self.resets_until(self.sent_ms + 10_000)
        self.assertEqual(301, len(resets))
        per_sweep = [resets.count(each) for each in set(resets)]
        self.assertLessEqual(max(per_sweep), dead_upstreams.MAX_UNASKED)
