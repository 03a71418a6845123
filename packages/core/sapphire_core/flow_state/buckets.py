"""Flow state in bucket tables and the flow records of replica hosts.

It works on any fabric, since packets need no field for it.
"""

import struct

import xxhash

from sapphire_core.flow_state import data
from sapphire_core.flows import data as bucket_data
from sapphire_core.flows import router as router_lib

# Address and port of the service, as `service_versions.service_key` packs them.
_ENDPOINT = struct.Struct(">IH")
_FLOW = struct.Struct(">IIHH")


class BucketFlowState:
    """Decides by the bucket to which a flow hashes.

    Args:
        router: The router of this host.
    """

    def __init__(self, router: router_lib.Router) -> None:
        self._router = router

    def decide(self, packet: data.FlowPacket, now_ms: int) -> data.Decision:
        """See `interface.FlowState`."""
        key, flow_hash = _key_and_hash(packet)
        return _to_decision(
            self._router.route(
                key, flow_hash, packet.is_opening, packet.is_closing, now_ms
            )
        )

    def decide_relayed(
        self,
        packet: data.FlowPacket,
        header: bucket_data.RelayHeader,
        now_ms: int,
    ) -> data.Decision:
        """See `interface.FlowState`."""
        key, flow_hash = _key_and_hash(packet)
        return _to_decision(
            self._router.route_relayed(
                header,
                key,
                flow_hash,
                packet.is_opening,
                packet.is_closing,
                now_ms,
            )
        )


def _key_and_hash(packet: data.FlowPacket) -> tuple[bytes, int]:
    """Returns the service key and the flow hash that an IPv4 packet has."""
    flow_id = packet.flow_id
    flow = _FLOW.pack(
        flow_id.caller_address,
        flow_id.service_address,
        flow_id.caller_port,
        flow_id.service_port,
    )
    key = _ENDPOINT.pack(flow_id.service_address, flow_id.service_port)
    return key, xxhash.xxh64_intdigest(flow)


def _to_decision(router_decision: bucket_data.Decision) -> data.Decision:
    """Converts a decision of the router to the common form."""
    if isinstance(router_decision, bucket_data.Forward):
        return data.Forward(router_decision.upstream.name, 0)
    if isinstance(router_decision, bucket_data.Relay):
        header = bucket_data.RelayHeader(
            router_decision.visited,
            router_decision.upstream,
            router_decision.revision,
        )
        return data.Relay(router_decision.host_id, header)
    if isinstance(router_decision, bucket_data.Reset):
        return data.Reset(repr(router_decision.reason))
    return data.Drop(repr(router_decision.reason))
