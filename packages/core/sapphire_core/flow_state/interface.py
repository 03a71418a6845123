"""The interface of all implementations of flow state."""

from typing import Protocol

from sapphire_core.flow_state import data
from sapphire_core.flows import data as bucket_data


class FlowState(Protocol):
    """Decides which upstream gets each packet that reaches one host.

    The contract of all implementations, whichever host a packet reaches: a
    flow stays at the upstream where it was opened until the flow or the
    upstream ends, also while hosts and upstreams are added and removed. A new
    flow goes to an upstream that accepts new flows, of the service at its
    endpoint. `flow_state_test` checks all implementations against this
    contract.
    """

    def decide(self, packet: data.FlowPacket, now_ms: int) -> data.Decision:
        """Decides about a packet that the fabric sent to this host.

        Args:
            packet: The packet.
            now_ms: The current time.
        """

    def decide_relayed(
        self,
        packet: data.FlowPacket,
        header: bucket_data.RelayHeader,
        now_ms: int,
    ) -> data.Decision:
        """Decides about a packet that another host relayed.

        Args:
            packet: The packet.
            header: What the other host sent with it.
            now_ms: The current time.
        """
