import testtools

from sapphire_node import slow_start_query


class SlowStartQueryTest(testtools.TestCase):
    def test_asks_until_two_have_answered(self) -> None:
        inquiry = slow_start_query.SlowStartQuery()
        self.assertEqual((), inquiry.hosts_to_query(["a", "b"], 0))
        inquiry.start(0)
        self.assertEqual({"a", "b"}, set(inquiry.hosts_to_query(["a", "b"], 0)))
        self.assertEqual((), inquiry.hosts_to_query(["a", "b"], 100))
        inquiry.record_answer("a")
        self.assertEqual(("b",), inquiry.hosts_to_query(["a", "b"], 600))
        inquiry.record_answer("b")
        self.assertEqual((), inquiry.hosts_to_query(["a", "b", "c"], 1_200))

    def test_a_silent_host_does_not_keep_others_from_being_asked(self) -> None:
        inquiry = slow_start_query.SlowStartQuery()
        inquiry.start(0)
        asked: set[str] = set()
        for now_ms in range(0, 5_000, slow_start_query.QUERY_INTERVAL_MS):
            asked.update(inquiry.hosts_to_query(["a", "b", "c", "d"], now_ms))
        self.assertEqual({"a", "b", "c", "d"}, asked)

    def test_a_host_that_is_alone_gives_up(self) -> None:
        inquiry = slow_start_query.SlowStartQuery()
        inquiry.start(0)
        late_ms = slow_start_query.QUERY_TIMEOUT_MS + 1
        self.assertEqual((), inquiry.hosts_to_query(["a"], late_ms))
