import testtools
from testtools import matchers

from sapphire_core.flows import data
from sapphire_core.flows import flow_table
from sapphire_core.flows import handover_source
from sapphire_core.flows import router_fault_test

FLOWS = range(1_000, 21_000)


class RecentOpeningsTest(testtools.TestCase):
    def host_with_openings(
        self, flows: range
    ) -> tuple[router_fault_test.Cluster, str]:
        """Returns four hosts; one has opened flows and prepares a change."""
        cluster = router_fault_test.Cluster()
        cluster.activate(router_fault_test.FIRST)
        cluster.wait(3_000)
        host = router_fault_test.HOSTS[0]
        for flow in flows:
            cluster.send(flow, host, is_opening=True)
        return cluster, host

    def pages(
        self, cluster: router_fault_test.Cluster, host: str, duration_ms: int
    ) -> list[data.HandoverPage]:
        pages = []
        router = cluster.fabric.routers_by_id[host]
        for _ in range(duration_ms // 100):
            for action in router.tick(cluster.now_ms):
                if isinstance(action, data.SendHandoverPage):
                    pages.append(action.page)
            cluster.now_ms += 100
        return pages

    # Guards against a burst of new flows whose pages exceed the control budget.
    def test_pages_stay_within_the_byte_rate(self) -> None:
        cluster, host = self.host_with_openings(FLOWS)
        cluster.prepare(router_fault_test.SECOND, host)
        duration_ms = flow_table.OPENING_PERIOD_MS
        pages = self.pages(cluster, host, duration_ms)
        size = sum(handover_source.page_bytes(page) for page in pages)
        limit = handover_source.BURST_BYTES
        limit += handover_source.BYTES_PER_SECOND * duration_ms // 1_000
        self.assertThat(size, matchers.GreaterThan(limit // 2))
        self.assertThat(size, matchers.LessThan(limit + 1))
        # What was not sent by then is of no use any more.
        cluster.now_ms += 60_000
        self.assertEqual([], self.pages(cluster, host, 1_000))

    # Guards against pages of flows that no caller retransmits any more.
    def test_old_openings_are_forgotten(self) -> None:
        cluster, host = self.host_with_openings(FLOWS[:400])
        cluster.wait(flow_table.OPENING_PERIOD_MS + 100)
        cluster.prepare(router_fault_test.SECOND, host)
        self.assertEqual([], self.pages(cluster, host, 1_000))

    # Guards against openings that are told of at each further change.
    def test_an_opening_is_told_of_once(self) -> None:
        cluster, host = self.host_with_openings(FLOWS[:100])
        cluster.prepare(router_fault_test.SECOND, host)
        self.assertNotEqual([], self.pages(cluster, host, 100))
        cluster.prepared = 2
        cluster.push_views()
        self.assertEqual([], self.pages(cluster, host, 1_000))
