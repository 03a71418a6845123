import testtools

from sapphire_net import transfers


class TransferSlotsTest(testtools.TestCase):
    def test_a_large_body_above_the_limit_is_refused_at_once(self) -> None:
        slots = transfers.TransferSlots(1)
        large = transfers.MIN_LARGE_BODY_BYTES
        self.assertTrue(slots.try_acquire(large))
        self.assertFalse(slots.try_acquire(large))
        self.assertTrue(slots.try_acquire(large - 1))
        slots.release(large - 1)
        self.assertFalse(slots.try_acquire(large))
        slots.release(large)
        self.assertTrue(slots.try_acquire(large))
