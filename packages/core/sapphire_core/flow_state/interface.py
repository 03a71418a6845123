"""What every way to hold the state of flows offers."""

from typing import Protocol

from sapphire_core.flow_state import data
from sapphire_core.flows import data as bucket_data


class FlowState(Protocol):
    """One host's part of the state of all flows.

    What every implementation keeps, whichever host a packet reaches: a flow
    stays at the upstream that opened it until the flow ends or the upstream
    does, also while hosts come and go and pools change; a new flow goes to an
    upstream that takes new flows, of the service that its endpoint has.
    `flow_state_test` holds all implementations to this.
    """

    def decide(self, packet: data.FlowPacket, now_ms: int) -> data.Outcome:
        """Decides about a packet that the fabric handed to this host.

        Args:
            packet: The packet.
            now_ms: The current time.
        """

    def decide_relayed(
        self,
        packet: data.FlowPacket,
        header: bucket_data.RelayHeader,
        now_ms: int,
    ) -> data.Outcome:
        """Decides about a packet that another host handed on.

        Args:
            packet: The packet.
            header: What the other host sent beside it.
            now_ms: The current time.
        """
