"""Immutable records of a decision about a packet of a flow."""

import dataclasses

from sapphire_core.flows import data as bucket_data
from sapphire_core.tagged_flows import data as tagged_data


@dataclasses.dataclass(frozen=True, slots=True)
class FlowPacket:
    """What a decision needs to know of a packet.

    Attributes:
        flow_id: The flow.
        is_opening: Whether it asks to open the flow.
        is_closing: Whether its caller has finished sending.
        tag: What the last packet to the caller carried; 0 for nothing, and
            always 0 on fabrics whose packets have no such field.
    """

    flow_id: tagged_data.FlowId
    is_opening: bool
    is_closing: bool
    tag: int


@dataclasses.dataclass(frozen=True, slots=True)
class ToUpstream:
    """The packet goes to an upstream.

    Attributes:
        upstream_id: The upstream.
        tag: What to write into the packet; 0 for nothing.
    """

    upstream_id: str
    tag: int


@dataclasses.dataclass(frozen=True, slots=True)
class ToHost:
    """Another host decides.

    Attributes:
        host_id: The host.
        header: What it needs beside the packet.
    """

    host_id: str
    header: bucket_data.RelayHeader


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The caller is told that there is no such flow.

    Attributes:
        reason: Why.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unsent:
    """Nothing is sent; the caller sends again.

    Attributes:
        reason: Why.
    """

    reason: str


Outcome = ToUpstream | ToHost | Refused | Unsent
