import anyio
import testtools

from sapphire_core.requests import data as request_data
from sapphire_data import records
from sapphire_lab.flows import builders
from sapphire_node import messages
from sapphire_node import slot_message_channel
from sapphire_wire import message_kind


class SlotMessageChannelTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        send, self.sent = anyio.create_memory_object_stream[messages.ToControl](
            1
        )
        self.addCleanup(send.close)
        self.addCleanup(self.sent.close)
        self.carrier = slot_message_channel.SlotMessageChannel(send)
        self.need = request_data.SlotNeed("h1", "rota", 80)
        members: list[records.Member] = [builders.member("h2", "salem")]
        self.carrier.set_view(builders.view(members, 0))

    def test_message_comes_back_as_it_was_told(self) -> None:
        self.carrier.send("h2", self.need)
        sent = self.sent.receive_nowait()
        assert isinstance(sent, messages.SendControlMessage)
        taken: list[request_data.PeerMessage] = []
        received = messages.ControlMessageReceived("h1", sent.kind, sent.body)
        self.carrier.receive(received, taken.append)
        self.assertEqual([self.need], taken)

    def test_what_cannot_be_carried_is_counted(self) -> None:
        self.carrier.send("h9", self.need)
        self.carrier.send("h2", self.need)
        self.carrier.send("h2", self.need)
        broken = messages.ControlMessageReceived(
            "h2", message_kind.MessageKind.SLOT_MESSAGE, b"\xff"
        )
        taken: list[request_data.PeerMessage] = []
        self.carrier.receive(broken, taken.append)
        self.assertEqual([], taken)
        self.assertEqual(
            {"UnknownHost": 1, "OutgoingFull": 1, "UnreadableInput": 1},
            self.carrier.drops.dropped_by_type,
        )
