"""The streams by which the control plane talks to the other tasks."""

from collections.abc import Callable
import dataclasses

from anyio.streams import memory

from sapphire_data import records
from sapphire_node import messages
from sapphire_wire import message_kind


@dataclasses.dataclass(frozen=True, slots=True)
class ControlDispatcher:
    """The tasks that take messages of the control plane.

    Attributes:
        forwarder: The task that owns the router.
        handle_configuration_notice: Handles the notice of a peer about the
            revision that it has.
        handle_slot_message: Handles the message of a peer about idle slots.
        view_handlers: Take a new view of the membership, each in its own way.
    """

    forwarder: memory.MemoryObjectSendStream[messages.ToForwarder]
    handle_configuration_notice: Callable[
        [messages.ControlMessageReceived], None
    ]
    handle_slot_message: Callable[[messages.ControlMessageReceived], None]
    view_handlers: tuple[Callable[[records.MemberView], None], ...]

    async def dispatch_message(
        self, message: messages.ControlMessageReceived
    ) -> None:
        """Hands on a body that another host sent.

        Args:
            message: The body.
        """
        if message.kind is message_kind.MessageKind.CONFIGURATION_NOTICE:
            self.handle_configuration_notice(message)
            return
        if message.kind is message_kind.MessageKind.SLOT_MESSAGE:
            self.handle_slot_message(message)
            return
        await self.forwarder.send(message)

    async def dispatch_observation(
        self, message: messages.UpstreamObservationReceived
    ) -> None:
        """Hands on the state of an upstream.

        Args:
            message: The state.
        """
        await self.forwarder.send(message)

    async def dispatch_view(self, view: records.MemberView) -> None:
        """Hands on a view of the membership.

        Args:
            view: The view.
        """
        await self.forwarder.send(messages.ViewChanged(view))
        for take in self.view_handlers:
            take(view)
