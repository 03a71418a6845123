"""Immutable records of a packet of a flow and of the decision about it."""

import dataclasses

from sapphire_core.flows import data as bucket_data
from sapphire_core.tagged_flows import data as tagged_data


@dataclasses.dataclass(frozen=True, slots=True)
class FlowPacket:
    """The properties of a packet from a caller that a decision needs.

    Attributes:
        flow_id: The flow.
        is_opening: Whether it is an opening packet.
        is_closing: Whether the caller has finished sending.
        tag: The tag of the last packet that the caller received; 0 if it
            had none, and always 0 on fabrics whose packets have no tag.
    """

    flow_id: tagged_data.FlowId
    is_opening: bool
    is_closing: bool
    tag: int


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Send the packet to an upstream.

    Attributes:
        upstream_id: The upstream.
        tag: The tag to write into the packet; 0 for none.
    """

    upstream_id: str
    tag: int


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Send the packet to another host, which decides about it.

    Attributes:
        host_id: The other host.
        header: What the other host needs besides the packet.
    """

    host_id: str
    header: bucket_data.RelayHeader


@dataclasses.dataclass(frozen=True, slots=True)
class Reset:
    """Do not send the packet; close the flow with a reset to the caller.

    Attributes:
        reason: Why the flow is reset.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """Send nothing; the caller retransmits the packet.

    Attributes:
        reason: Why the packet is not sent.
    """

    reason: str


Decision = Forward | Relay | Reset | Drop
