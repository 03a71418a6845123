"""Flow state that travels in the packets, for fabrics that return a tag."""

from sapphire_core.flow_state import data
from sapphire_core.flows import data as bucket_data
from sapphire_core.tagged_flows import data as tagged_data
from sapphire_core.tagged_flows import steering as steering_lib


class TaggedFlowState:
    """Decides by the tag that a packet carries.

    Args:
        steering: The decisions of this host.
    """

    def __init__(self, steering: steering_lib.Steering) -> None:
        self._steering = steering

    def decide(self, packet: data.FlowPacket, now_ms: int) -> data.Outcome:
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
            return data.ToUpstream(action.upstream.upstream_id, action.tag)
        if isinstance(action, tagged_data.Reset):
            return data.Refused(action.verdict.value)
        if isinstance(action, tagged_data.Drop):
            return data.Unsent(action.verdict.value)
        return data.Unsent(tagged_data.Verdict.DEFERRED.value)

    def decide_relayed(
        self,
        packet: data.FlowPacket,
        header: bucket_data.RelayHeader,
        now_ms: int,
    ) -> data.Outcome:
        """See `interface.FlowState`; hosts relay nothing: the tag decides."""
        del header
        return self.decide(packet, now_ms)
