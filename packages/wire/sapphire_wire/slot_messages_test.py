import testtools

from sapphire_core.requests import data
from sapphire_wire import slot_messages

LOAN = data.SlotLoan("h1", 7, "rota", "u1", 300)


class SlotMessagesTest(testtools.TestCase):
    def test_each_message_survives_the_round_trip(self) -> None:
        messages: tuple[tuple[str, data.PeerMessage], ...] = (
            ("h2", data.SlotNeed("h2", "rota", 80)),
            ("h1", LOAN),
            ("h2", data.SlotReturn("h2", LOAN, is_unneeded=True)),
        )
        for sender, message in messages:
            body = slot_messages.encode(message)
            self.assertEqual(message, slot_messages.decode(sender, body).ok)

    def test_loan_of_another_lender_is_rejected_as_are_malformed_bytes(
        self,
    ) -> None:
        forged = slot_messages.decode("h3", slot_messages.encode(LOAN))
        self.assertTrue(forged.is_error())
        for body in (b"", b"\x00", b"\xff" * 40):
            self.assertTrue(slot_messages.decode("h1", body).is_error())
