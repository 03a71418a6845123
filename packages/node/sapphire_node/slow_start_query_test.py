import testtools

from sapphire_node import slow_start_query


class SlowStartQueryTest(testtools.TestCase):
    def test_queries_until_two_hosts_have_answered(self) -> None:
        query = slow_start_query.SlowStartQuery()
        self.assertEqual((), query.hosts_to_query(["a", "b"], 0))
        query.start(0)
        self.assertEqual({"a", "b"}, set(query.hosts_to_query(["a", "b"], 0)))
        self.assertEqual((), query.hosts_to_query(["a", "b"], 100))
        query.record_answer("a")
        self.assertEqual(("b",), query.hosts_to_query(["a", "b"], 600))
        query.record_answer("b")
        self.assertEqual((), query.hosts_to_query(["a", "b", "c"], 1_200))

    def test_unresponsive_hosts_do_not_keep_others_from_being_queried(
        self,
    ) -> None:
        query = slow_start_query.SlowStartQuery()
        query.start(0)
        queried: set[str] = set()
        for now_ms in range(0, 5_000, slow_start_query.QUERY_INTERVAL_MS):
            queried.update(query.hosts_to_query(["a", "b", "c", "d"], now_ms))
        self.assertEqual({"a", "b", "c", "d"}, queried)

    def test_queries_end_at_the_timeout(self) -> None:
        query = slow_start_query.SlowStartQuery()
        query.start(0)
        late_ms = slow_start_query.QUERY_TIMEOUT_MS + 1
        self.assertEqual((), query.hosts_to_query(["a"], late_ms))
