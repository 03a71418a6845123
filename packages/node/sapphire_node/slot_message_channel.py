"""Sends and receives messages about idle request slots between hosts."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

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
    """Converts messages about idle slots to control messages and back.

    Both hosts tolerate the loss of a message, so a message that cannot be
    queued at once is dropped.

    Attributes:
        drops: Counts the messages that were dropped.
    """

    def __init__(
        self, to_control: memory.MemoryObjectSendStream[messages.ToControl]
    ) -> None:
        """Creates the channel.

        Args:
            to_control: The inbox of the control task, which seals and sends.
        """
        self.drops = drop_counts.DropCounts()
        self._to_control = to_control
        self._members_by_id: Mapping[str, records.Member] = {}

    def set_view(self, view: records.MemberView) -> None:
        """Sets the view that gives the addresses of hosts.

        Args:
            view: The view of the membership.
        """
        self._members_by_id = view.members_by_id

    def send(self, host_id: str, message: request_data.PeerMessage) -> None:
        """Sends a message to a host, or drops it if it cannot be queued.

        Args:
            host_id: The identity of the host.
            message: The message.
        """
        member = self._members_by_id.get(host_id)
        if member is None:
            self.drops.count_drop(node_failures.UnknownHost(host_id))
            return
        outgoing = messages.SendControlMessage(
            member.host.address,
            member.host.control_port,
            message_kind.MessageKind.SLOT_MESSAGE,
            slot_messages.encode(message),
        )
        try:
            self._to_control.send_nowait(outgoing)
        except anyio.WouldBlock:
            self.drops.count_drop(node_failures.OutgoingFull())

    def receive(
        self,
        received: messages.ControlMessageReceived,
        handle: Callable[[request_data.PeerMessage], None],
    ) -> None:
        """Decodes the message of another host and has it handled.

        A loan counts from when it was sent: a host that was paused does not
        use a slot that its lender uses again.

        Args:
            received: A control message of kind `SLOT_MESSAGE`.
            handle: Called with the decoded message.
        """
        decoded = slot_messages.decode(received.sender, received.body)
        if decoded.is_error():
            self.drops.count_drop(decoded.error)
            return
        message = decoded.ok
        if isinstance(message, request_data.SlotLoan):
            left_ms = max(0, message.duration_ms - received.age_ms)
            message = dataclasses.replace(message, duration_ms=left_ms)
        handle(message)
