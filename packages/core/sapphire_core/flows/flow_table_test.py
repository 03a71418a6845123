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

    def test_closing_flows_expire_soon(self) -> None:
        table = flow_table.FlowTable(0)
        table.record(1, "a")
        table.close(1)
        self.assertTrue(table.is_closing(1))
        self.assertEqual("a", table.get(1))
        table.evict_expired(2 * flow_table.CLOSING_PERIOD_MS)
        self.assertIsNone(table.get(1))
        self.assertEqual(0, len(table))
