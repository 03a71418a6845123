"""The streams by which the control plane talks to the other tasks."""

from collections.abc import Callable
import dataclasses

from anyio.streams import memory

from sapphire_data import records
from sapphire_node import messages
from sapphire_wire import message_kind


@dataclasses.dataclass(frozen=True, slots=True)
class Subscribers:
    """The tasks that take messages of the control plane.

    Attributes:
        forwarder: The task that owns the router.
        configuration_notice: Takes the notice of a peer about the revision
            that it has.
        slot_message: Takes the message of a peer about idle slots.
        views: Take a new view of the membership, each in its own way.
    """

    forwarder: memory.MemoryObjectSendStream[messages.ToForwarder]
    configuration_notice: Callable[[messages.ControlReceived], None]
    slot_message: Callable[[messages.ControlReceived], None]
    views: tuple[Callable[[records.MemberView], None], ...]

    async def send_control(self, message: messages.ControlReceived) -> None:
        """Hands on a body that another host sent.

        Args:
            message: The body.
        """
        if message.kind is message_kind.MessageKind.CONFIGURATION_NOTICE:
            self.configuration_notice(message)
            return
        if message.kind is message_kind.MessageKind.SLOT_MESSAGE:
            self.slot_message(message)
            return
        await self.forwarder.send(message)

    async def send_overlay(self, message: messages.OverlayLearned) -> None:
        """Hands on the state of an upstream.

        Args:
            message: The state.
        """
        await self.forwarder.send(message)

    async def send_view(self, view: records.MemberView) -> None:
        """Hands on a view of the membership.

        Args:
            view: The view.
        """
        await self.forwarder.send(messages.ViewChanged(view))
        for take in self.views:
            take(view)
