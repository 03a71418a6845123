import testtools

from sapphire_core.peers import notice_schedule

INTERVAL_MS = notice_schedule.NOTICE_INTERVAL_MS


class NoticeScheduleTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.schedule = notice_schedule.NoticeSchedule()

    def request(self, now_ms: int, *, is_for_remote: bool = False) -> bool:
        return self.schedule.request(now_ms, is_for_remote=is_for_remote)

    def test_a_single_change_is_told_at_once(self) -> None:
        for now_ms in (0, INTERVAL_MS, 10 * INTERVAL_MS):
            self.assertTrue(self.request(now_ms))
            self.schedule.record_sent(now_ms)

    # Pattern: a storm of changes, one each 10 ms.
    def test_a_burst_is_told_in_few_heartbeats_and_to_its_end(self) -> None:
        sent = 0
        for now_ms in range(0, 1_000, 10):
            if self.request(now_ms):
                self.schedule.record_sent(now_ms)
                sent += 1
        self.assertEqual(1_000 // INTERVAL_MS, sent)
        self.assertTrue(self.schedule.is_due)

    def test_other_data_centres_are_told_if_any_change_concerns_them(
        self,
    ) -> None:
        self.request(0)
        self.schedule.record_sent(0)
        self.request(10, is_for_remote=True)
        self.request(20)
        self.assertTrue(self.schedule.is_for_remote)
        self.schedule.record_sent(INTERVAL_MS)
        self.assertFalse(self.schedule.is_for_remote)
