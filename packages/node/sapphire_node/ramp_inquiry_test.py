import testtools

from sapphire_node import ramp_inquiry


class RampInquiryTest(testtools.TestCase):
    def test_asks_until_two_have_answered(self) -> None:
        inquiry = ramp_inquiry.RampInquiry()
        self.assertEqual((), inquiry.hosts_to_ask(["a", "b"], 0))
        inquiry.start(0)
        self.assertEqual({"a", "b"}, set(inquiry.hosts_to_ask(["a", "b"], 0)))
        self.assertEqual((), inquiry.hosts_to_ask(["a", "b"], 100))
        inquiry.note_answer("a")
        self.assertEqual(("b",), inquiry.hosts_to_ask(["a", "b"], 600))
        inquiry.note_answer("b")
        self.assertEqual((), inquiry.hosts_to_ask(["a", "b", "c"], 1_200))

    def test_a_silent_host_does_not_keep_others_from_being_asked(self) -> None:
        inquiry = ramp_inquiry.RampInquiry()
        inquiry.start(0)
        asked: set[str] = set()
        for now_ms in range(0, 5_000, ramp_inquiry.REPEAT_MS):
            asked.update(inquiry.hosts_to_ask(["a", "b", "c", "d"], now_ms))
        self.assertEqual({"a", "b", "c", "d"}, asked)

    def test_a_host_that_is_alone_gives_up(self) -> None:
        inquiry = ramp_inquiry.RampInquiry()
        inquiry.start(0)
        late_ms = ramp_inquiry.GIVE_UP_MS + 1
        self.assertEqual((), inquiry.hosts_to_ask(["a"], late_ms))
