import testtools

from sapphire_core.flows import flow_table

IDLE_PERIOD_MS = flow_table.IDLE_PERIOD_MS


class FlowTableTest(testtools.TestCase):
    def test_refreshed_flows_stay_and_idle_flows_expire(self) -> None:
        table = flow_table.FlowTable(0)
        table.record(1, "a")
        table.record(2, "b")
        for period in range(1, 5):
            table.evict_expired(period * IDLE_PERIOD_MS)
            self.assertTrue(table.refresh(1))
            self.assertFalse(table.refresh(1))
        self.assertEqual("a", table.get(1))
        self.assertIsNone(table.get(2))

    # Guards against new flows that are taken for retransmissions.
    def test_opened_flows_are_forgotten_soon(self) -> None:
        period_ms = flow_table.OPENING_PERIOD_MS
        table = flow_table.FlowTable(0)
        table.record(2, "b")
        table.record(3, "b")
        table.record(4, "a")
        table.close(4)
        for flow, upstream in ((1, "a"), (2, "b"), (3, "a"), (4, "a")):
            table.note_opened(flow, upstream)
        table.evict_expired(period_ms)
        opened = [table.opened_upstream(flow) for flow in (1, 2, 3, 4)]
        self.assertEqual(["a", "b", None, None], opened)
        self.assertIsNone(table.get(1))
        table.forget_opened({"a"})
        self.assertIsNone(table.opened_upstream(1))
        table.evict_expired(2 * period_ms)
        self.assertIsNone(table.opened_upstream(2))
        self.assertEqual("b", table.get(2))

    def test_closing_flows_expire_soon(self) -> None:
        table = flow_table.FlowTable(0)
        table.record(1, "a")
        table.close(1)
        self.assertTrue(table.is_closing(1))
        self.assertEqual("a", table.get(1))
        table.evict_expired(2 * flow_table.CLOSING_PERIOD_MS)
        self.assertIsNone(table.get(1))
        self.assertEqual(0, len(table))
