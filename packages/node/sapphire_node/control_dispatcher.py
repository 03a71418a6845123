"""Hands what the control plane receives to the tasks that handle it."""

from collections.abc import Callable
import dataclasses

from anyio.streams import memory

from sapphire_data import records
from sapphire_node import messages
from sapphire_wire import message_kind


@dataclasses.dataclass(frozen=True, slots=True)
class ControlDispatcher:
    """Dispatches control messages, observations and views to the tasks.

    Attributes:
        to_forwarder: The inbox of the task that owns the router.
        handle_configuration_notice: Handles the notice of a peer about the
            revision that it has.
        handle_slot_message: Handles the message of a peer about idle slots.
        view_handlers: Called in order with each new view of the membership.
    """

    to_forwarder: memory.MemoryObjectSendStream[messages.ToForwarder]
    handle_configuration_notice: Callable[
        [messages.ControlMessageReceived], None
    ]
    handle_slot_message: Callable[[messages.ControlMessageReceived], None]
    view_handlers: tuple[Callable[[records.MemberView], None], ...]

    async def dispatch_message(
        self, message: messages.ControlMessageReceived
    ) -> None:
        """Dispatches a control message by its kind.

        Messages that are neither about configurations nor about slots go to
        the forwarder.

        Args:
            message: The control message.
        """
        if message.kind is message_kind.MessageKind.CONFIGURATION_NOTICE:
            self.handle_configuration_notice(message)
            return
        if message.kind is message_kind.MessageKind.SLOT_MESSAGE:
            self.handle_slot_message(message)
            return
        await self.to_forwarder.send(message)

    async def dispatch_observation(
        self, message: messages.UpstreamObservationReceived
    ) -> None:
        """Dispatches the observation of an upstream to the forwarder.

        Args:
            message: The observation.
        """
        await self.to_forwarder.send(message)

    async def dispatch_view(self, view: records.MemberView) -> None:
        """Dispatches a view of the membership to all tasks that use it.

        Args:
            view: The view.
        """
        await self.to_forwarder.send(messages.ViewChanged(view))
        for handle_view in self.view_handlers:
            handle_view(view)
