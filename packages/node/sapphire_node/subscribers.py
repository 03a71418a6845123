"""The streams by which the control plane talks to the other tasks."""

from collections.abc import Callable
import dataclasses

from anyio.streams import memory

from sapphire_data import records
from sapphire_node import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Subscribers:
    """The tasks that take messages of the control plane.

    Attributes:
        forwarder: The task that owns the router.
        configuration_fact: Takes a fact about a configuration.
        view: Take a new view of the membership, each in its own way.
    """

    forwarder: memory.MemoryObjectSendStream[messages.ToForwarder]
    configuration_fact: Callable[[messages.ConfigurationFact], None]
    views: tuple[Callable[[records.MemberView], None], ...]

    async def send_control(self, message: messages.ControlReceived) -> None:
        """Hands on a body that another host sent.

        Args:
            message: The body.
        """
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
