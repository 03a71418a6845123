"""Carries messages about idle slots between the requests of hosts."""

from collections.abc import Callable
from collections.abc import Mapping

import anyio
from anyio.streams import memory

from sapphire_core.requests import data as request_data
from sapphire_data import records
from sapphire_node import drop_counts
from sapphire_node import failures as node_failures
from sapphire_node import messages
from sapphire_wire import message_kind
from sapphire_wire import slot_messages


class SlotMessageChannel:
    """Turns messages about idle slots into control messages and back.

    Either side makes up for a lost message, so that one is dropped rather
    than waited for.

    Attributes:
        drops: The messages that were dropped.
    """

    def __init__(
        self, to_control: memory.MemoryObjectSendStream[messages.ToControl]
    ) -> None:
        """Creates the carrier.

        Args:
            to_control: Takes messages to be sealed and sent.
        """
        self.drops = drop_counts.DropCounts()
        self._to_control = to_control
        self._members_by_id: Mapping[str, records.Member] = {}

    def set_view(self, view: records.MemberView) -> None:
        """Takes the membership.

        Args:
            view: The view.
        """
        self._members_by_id = view.members_by_id

    def send(self, host_id: str, message: request_data.PeerMessage) -> None:
        """Sends a message to a host.

        Args:
            host_id: The host.
            message: The message.
        """
        member = self._members_by_id.get(host_id)
        if member is None:
            self.drops.count_drop(node_failures.UnknownHost(host_id))
            return
        sent = messages.SendControlMessage(
            member.host.address,
            member.host.control_port,
            message_kind.MessageKind.SLOT_MESSAGE,
            slot_messages.encode(message),
        )
        try:
            self._to_control.send_nowait(sent)
        except anyio.WouldBlock:
            self.drops.count_drop(node_failures.OutgoingFull())

    def receive(
        self,
        received: messages.ControlMessageReceived,
        take: Callable[[request_data.PeerMessage], None],
    ) -> None:
        """Takes the message of another host.

        Args:
            received: A body of kind `SLOT_MESSAGE`.
            take: Takes the decoded message.
        """
        decoded = slot_messages.decode(received.sender, received.body)
        if decoded.is_error():
            self.drops.count_drop(decoded.error)
            return
        take(decoded.ok)
