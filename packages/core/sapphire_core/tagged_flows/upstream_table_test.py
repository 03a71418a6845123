from unittest import mock

import testtools

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import tags
from sapphire_core.tagged_flows import upstream_table
from sapphire_lab.tagged_flows import builders


class UpstreamTableTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = upstream_table.UpstreamTable()

    def eligible_upstreams(
        self, now_ms: int = 0, service: str = "board"
    ) -> list[str]:
        return [
            entry.upstream.upstream_id
            for entry in self.table.eligible_upstreams(service, now_ms)
        ]

    def test_only_ready_upstreams_of_the_service_are_eligible(self) -> None:
        draining = data.UpstreamState.DRAINING
        self.table.put(builders.upstream("i-1"), 1, 0)
        self.table.put(builders.upstream("i-2", state=draining), 2, 0)
        self.table.put(builders.upstream("i-3", "intake"), 3, 0)
        self.assertEqual(["i-1"], self.eligible_upstreams())

    def test_an_upstream_that_reports_another_service_moves_to_it(
        self,
    ) -> None:
        self.table.put(builders.upstream("i-1"), 1, 0)
        self.table.put(builders.upstream("i-1", "intake"), 2, 0)
        self.assertEqual([], self.eligible_upstreams())
        self.assertEqual(["i-1"], self.eligible_upstreams(service="intake"))

    def test_a_data_centre_out_of_rotation_gets_no_new_flows(self) -> None:
        self.table.put(builders.upstream("i-1", data_centre="salem"), 1, 0)
        self.table.set_out_of_rotation("salem", is_out=True)
        self.assertEqual([], self.eligible_upstreams())
        self.table.set_out_of_rotation("salem", is_out=False)
        self.assertEqual(["i-1"], self.eligible_upstreams())

    def test_a_removed_upstream_keeps_its_flows_and_gets_no_new_ones(
        self,
    ) -> None:
        self.table.put(builders.upstream("i-1"), 1, 0)
        self.table.remove("i-1", 1_000, data.RemovalCause.UPSTREAM_STOPPED)
        self.assertEqual([], self.eligible_upstreams(1_000))
        self.assertIsNotNone(self.table.by_tag(tags.tag_of("i-1")))

    def test_a_lapsed_entry_stays_eligible_for_a_grace_period(
        self,
    ) -> None:
        self.table.put(builders.upstream("i-1"), 1, 0)
        self.table.remove("i-1", 1_000, data.RemovalCause.REGISTRY_UNAVAILABLE)
        self.assertEqual(["i-1"], self.eligible_upstreams(3_000))
        self.assertEqual([], self.eligible_upstreams(3_400))
        self.table.put(builders.upstream("i-1"), 2, 3_500)
        self.assertEqual(["i-1"], self.eligible_upstreams(3_500))

    def test_a_lapsed_entry_is_not_eligible_once_its_address_is_reused(
        self,
    ) -> None:
        address = ("10.1.0.1", 6080)
        self.table.put(builders.upstream("i-1", address=address), 1, 0)
        self.table.remove("i-1", 1_000, data.RemovalCause.REGISTRY_UNAVAILABLE)
        other = builders.upstream("i-2", "intake", address=address)
        self.table.put(other, 2, 1_100)
        self.assertEqual([], self.eligible_upstreams(1_200))
        entry = self.table.by_tag(tags.tag_of("i-1"))
        assert entry is not None
        self.assertTrue(entry.is_replaced)

    def test_a_removed_upstream_is_kept_for_the_lifetime_of_its_flows(
        self,
    ) -> None:
        self.table.put(builders.upstream("i-1"), 1, 0)
        self.table.remove("i-1", 0, data.RemovalCause.UPSTREAM_STOPPED)
        self.table.evict_expired(upstream_table.MAX_FLOW_LIFETIME_MS - 1)
        self.assertIsNotNone(self.table.by_tag(tags.tag_of("i-1")))
        self.table.evict_expired(upstream_table.MAX_FLOW_LIFETIME_MS)
        self.assertIsNone(self.table.by_tag(tags.tag_of("i-1")))

    def test_the_first_registered_of_two_upstreams_keeps_their_common_tag(
        self,
    ) -> None:
        with mock.patch.object(tags, "tag_of", return_value=5):
            # Hosts may see the two registrations in either order.
            for order in (("i-1", "i-2"), ("i-2", "i-1")):
                table = upstream_table.UpstreamTable()
                revisions = {"i-1": 10, "i-2": 20}
                for name in order:
                    table.put(builders.upstream(name), revisions[name], 0)
                entry = table.by_tag(5)
                assert entry is not None
                self.assertEqual("i-1", entry.upstream.upstream_id)
                eligible = table.eligible_upstreams("board", 0)
                names = [each.upstream.upstream_id for each in eligible]
                self.assertEqual(["i-1"], names)

    def test_the_second_upstream_gets_the_tag_when_the_first_is_evicted(
        self,
    ) -> None:
        with mock.patch.object(tags, "tag_of", return_value=5):
            self.table.put(builders.upstream("i-1"), 1, 0)
            self.table.put(builders.upstream("i-2"), 2, 0)
            self.table.remove("i-1", 0, data.RemovalCause.UPSTREAM_STOPPED)
            self.assertEqual([], self.eligible_upstreams())
            self.table.evict_expired(upstream_table.MAX_FLOW_LIFETIME_MS)
        self.assertEqual(["i-2"], self.eligible_upstreams())

    def test_a_restart_under_the_same_identity_is_returned(self) -> None:
        first_start = builders.upstream("i-1", started_ms=5)
        self.assertIsNotNone(self.table.put(first_start, 1, 0))
        self.assertIsNone(self.table.put(first_start, 2, 0))
        restart = builders.upstream("i-1", started_ms=6, cold_ms=2_000)
        entry = self.table.put(restart, 3, 100)
        assert entry is not None
        self.assertTrue(entry.is_cold(2_099))
        self.assertFalse(entry.is_cold(2_100))


class ReusedAddressTest(testtools.TestCase):
    """Upstreams take the address of one that has left; clocks differ."""

    def setUp(self) -> None:
        super().setUp()
        self.table = upstream_table.UpstreamTable()

    # Guards against a registered upstream that counts as replaced by one that
    # has left, since the clock of the latter was ahead.
    def test_an_upstream_that_left_does_not_replace_a_registered_one(
        self,
    ) -> None:
        address = ("10.1.9.9", 6080)
        left = builders.upstream("i-1", address=address, started_ms=9_000)
        self.table.put(left, 1, 0)
        self.table.remove("i-1", 1_000, data.RemovalCause.UPSTREAM_STOPPED)
        live = builders.upstream("i-2", address=address, started_ms=8_000)
        self.table.put(live, 5, 4_000)
        self.assertFalse(self.table.by_id["i-2"].is_replaced)
        self.assertTrue(self.table.by_id["i-1"].is_replaced)

    def test_of_two_former_upstreams_the_later_start_has_the_address(
        self,
    ) -> None:
        address = ("10.1.9.9", 6080)
        earlier = builders.upstream("i-1", address=address, started_ms=1)
        later = builders.upstream("i-2", address=address, started_ms=5_000)
        for order in ((earlier, later), (later, earlier)):
            table = upstream_table.UpstreamTable()
            for upstream in order:
                table.put_former(upstream, 1, 0)
            self.assertTrue(table.by_id["i-1"].is_replaced)
            self.assertFalse(table.by_id["i-2"].is_replaced)


class FormerUpstreamTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = upstream_table.UpstreamTable()
        self.former = builders.upstream("i-1", address=("10.1.0.1", 6080))

    def test_a_former_upstream_keeps_its_flows_and_gets_no_new_ones(
        self,
    ) -> None:
        entry = self.table.put_former(self.former, 3, 1_000)
        assert entry is not None
        self.assertIs(entry, self.table.by_tag(entry.tag))
        self.assertFalse(entry.is_replaced)
        self.assertEqual([], self.table.eligible_upstreams("board", 1_000))

    def test_a_former_upstream_that_registers_again_is_eligible(self) -> None:
        self.table.put_former(self.former, 3, 1_000)
        self.table.put(self.former, 9, 2_000)
        self.assertEqual(1, len(self.table.eligible_upstreams("board", 2_000)))

    def test_a_registered_upstream_keeps_the_address_of_a_former_one(
        self,
    ) -> None:
        # Even if, by its own clock, it started before the former one.
        registered = builders.upstream(
            "i-2", address=("10.1.0.1", 6080), started_ms=0
        )
        self.table.put(registered, 1, 0)
        entry = self.table.put_former(self.former, 3, 1_000)
        assert entry is not None
        self.assertTrue(entry.is_replaced)
        self.assertFalse(self.table.by_id["i-2"].is_replaced)

    def test_a_former_upstream_is_evicted(self) -> None:
        self.table.put_former(self.former, 3, 1_000)
        late_ms = 1_000 + upstream_table.MAX_FLOW_LIFETIME_MS
        self.assertEqual(["i-1"], self.table.evict_expired(late_ms))


class OlderCopyTest(testtools.TestCase):
    """Guards against FLOW: a tag passes to another upstream.

    The store was at revision 20 and comes back from a copy of revision 4.
    """

    def test_an_upstream_that_registers_again_first_keeps_its_tag(
        self,
    ) -> None:
        # A host that starts now sees the revisions 6 and 7 only.
        table = upstream_table.UpstreamTable()
        with mock.patch.object(tags, "tag_of", return_value=5):
            table.put(builders.upstream("i-1"), 10, 0)
            table.put(builders.upstream("i-1"), 6, 1_000)
            table.put(builders.upstream("i-2"), 7, 1_100)
        owner = table.by_tag(5)
        assert owner is not None
        self.assertEqual("i-1", owner.upstream.upstream_id)

    def test_an_upstream_that_is_not_back_yet_keeps_its_tag(self) -> None:
        table = upstream_table.UpstreamTable()
        with mock.patch.object(tags, "tag_of", return_value=5):
            table.put(builders.upstream("i-1"), 10, 0)
            table.remove("i-1", 500, data.RemovalCause.REGISTRY_UNAVAILABLE)
            table.put(builders.upstream("i-2"), 7, 1_000, builders.COPY_ERA)
            table.put(builders.upstream("i-1"), 8, 1_100, builders.COPY_ERA)
        owner = table.by_tag(5)
        assert owner is not None
        self.assertEqual("i-1", owner.upstream.upstream_id)

    # Guards against DRAIN: the copy has the report from before.
    def test_an_upstream_that_drains_is_not_ready_because_of_the_copy(
        self,
    ) -> None:
        table = upstream_table.UpstreamTable()
        draining = data.UpstreamState.DRAINING
        era = builders.COPY_ERA
        drains = builders.upstream("i-1", state=draining, report_number=9)
        table.put(drains, 18, 0)
        table.put(builders.upstream("i-1", report_number=5), 4, 100, era)
        self.assertEqual([], table.eligible_upstreams("board", 100))
        # A new process, which counts anew.
        started = builders.upstream("i-1", report_number=1, started_ms=2)
        table.put(started, 6, 2_000, era)
        self.assertEqual(1, len(table.eligible_upstreams("board", 2_000)))

    # Guards against DRAIN: the copy was read before the peer's word came.
    def test_a_report_that_the_copy_lacks_counts_by_its_number(self) -> None:
        table = upstream_table.UpstreamTable()
        era = builders.COPY_ERA
        drains = builders.upstream(
            "i-1", state=data.UpstreamState.DRAINING, report_number=9
        )
        table.put(builders.upstream("i-1", report_number=5), 4, 0, era)
        table.put(drains, 4, 100, era - 1)
        self.assertEqual([], table.eligible_upstreams("board", 100))
        # Written again, and then the peer's word arrives late.
        table.put(builders.upstream("i-1", report_number=12), 8, 200, era)
        table.put(drains, 4, 300, era - 1)
        self.assertEqual(1, len(table.eligible_upstreams("board", 300)))
        table.remove("i-1", 400, data.RemovalCause.UPSTREAM_STOPPED)
        table.put(drains, 4, 500, era - 1)
        entry = table.by_id["i-1"]
        self.assertEqual(400, entry.removed_ms)
