import anyio
import testtools

from sapphire_core.requests import data as request_data
from sapphire_data import records
from sapphire_lab.flows import builders
from sapphire_node import messages
from sapphire_node import slot_message_channel
from sapphire_wire import message_kind
from sapphire_wire import slot_messages


class SlotMessageChannelTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        send, self.sent = anyio.create_memory_object_stream[messages.ToControl](
            1
        )
        self.addCleanup(send.close)
        self.addCleanup(self.sent.close)
        self.channel = slot_message_channel.SlotMessageChannel(send)
        self.need = request_data.SlotNeed("h1", "rota", 80)
        members: list[records.Member] = [builders.member("h2", "salem")]
        self.channel.set_view(builders.view(members, 0))

    def test_a_sent_message_is_received_unchanged(self) -> None:
        self.channel.send("h2", self.need)
        sent = self.sent.receive_nowait()
        assert isinstance(sent, messages.SendControlMessage)
        handled: list[request_data.PeerMessage] = []
        received = messages.ControlMessageReceived("h1", sent.kind, sent.body)
        self.channel.receive(received, handled.append)
        self.assertEqual([self.need], handled)

    def test_a_loan_that_arrives_late_is_shorter(self) -> None:
        loan = request_data.SlotLoan("h1", 1, "rota", "u1", 300)
        body = slot_messages.encode(loan)
        kind = message_kind.MessageKind.SLOT_MESSAGE
        handled: list[request_data.PeerMessage] = []
        for age_ms in (0, 40, 299, 5_000):
            received = messages.ControlMessageReceived("h1", kind, body, age_ms)
            self.channel.receive(received, handled.append)
        self.assertEqual(
            [300, 260, 1, 0],
            [
                message.duration_ms
                for message in handled
                if isinstance(message, request_data.SlotLoan)
            ],
        )

    def test_dropped_messages_are_counted(self) -> None:
        self.channel.send("h9", self.need)
        self.channel.send("h2", self.need)
        self.channel.send("h2", self.need)
        undecodable = messages.ControlMessageReceived(
            "h2", message_kind.MessageKind.SLOT_MESSAGE, b"\xff"
        )
        handled: list[request_data.PeerMessage] = []
        self.channel.receive(undecodable, handled.append)
        self.assertEqual([], handled)
        self.assertEqual(
            {"UnknownHost": 1, "OutgoingFull": 1, "UnreadableInput": 1},
            self.channel.drops.dropped_by_type,
        )
