"""Flow state in the packets themselves, for fabrics that return tags.

Packets to a caller carry a tag that names the upstream of the flow, and the
fabric returns it in the caller's next packets.
"""

from sapphire_core.flow_state import data
from sapphire_core.flows import data as bucket_data
from sapphire_core.tagged_flows import data as tagged_data
from sapphire_core.tagged_flows import steering as steering_lib


class TaggedFlowState:
    """Decides by the tag that a packet carries.

    Args:
        steering: The steering of this host.
    """

    def __init__(self, steering: steering_lib.Steering) -> None:
        self._steering = steering

    def decide(self, packet: data.FlowPacket, now_ms: int) -> data.Decision:
        """See `interface.FlowState`."""
        action = self._steering.handle(
            tagged_data.Packet(
                flow_id=packet.flow_id,
                is_opening=packet.is_opening,
                is_closing=packet.is_closing,
                is_reset=False,
                tag=packet.tag,
                sequence=0,
                acknowledged=0,
                payload_bytes=0,
                raw=b"",
            ),
            now_ms,
        )
        if isinstance(action, tagged_data.Forward):
            return data.Forward(action.upstream.upstream_id, action.tag)
        if isinstance(action, tagged_data.Reset):
            return data.Reset(action.verdict.value)
        if isinstance(action, tagged_data.Drop):
            return data.Drop(action.verdict.value)
        # The steering has deferred the packet and may send it later.
        return data.Drop(tagged_data.Verdict.DEFERRED.value)

    def decide_relayed(
        self,
        packet: data.FlowPacket,
        header: bucket_data.RelayHeader,
        now_ms: int,
    ) -> data.Decision:
        """See `interface.FlowState`.

        Any host can decide by the tag, so hosts relay nothing and the header
        is not used.
        """
        del header
        return self.decide(packet, now_ms)
