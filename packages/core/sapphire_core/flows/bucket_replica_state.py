"""The state that a replica host stores for the flows of one service."""

from typing import NamedTuple

from sapphire_core.flows import flow_table


class Packet(NamedTuple):
    """The fields of a packet that a decision depends on.

    It is a tuple because one is created for each packet of an ambiguous bucket.

    Attributes:
        flow_hash: The hash of the flow; it determines the bucket.
        is_opening: Whether it opens the flow.
        is_closing: Whether it ends the flow.
        visited: The hosts that handled the packet before this one, in order.
        revision: The newest revision that any of them has prepared.
    """

    flow_hash: int
    is_opening: bool
    is_closing: bool
    visited: tuple[str, ...]
    revision: int


class BucketReplicaState:
    """The flow records of one service on this host.

    Attributes:
        flows: The recorded flows.
        complete_buckets: The buckets for which this host has a record of every
            flow whose upstream is not the default owner.
        kept_since_ms_by_bucket: The time from which on this host is a replica
            host, for the ambiguous buckets of which it is one.
    """

    __slots__ = ("complete_buckets", "flows", "kept_since_ms_by_bucket")

    def __init__(self, now_ms: int) -> None:
        self.flows = flow_table.FlowTable(now_ms)
        self.complete_buckets: set[int] = set()
        self.kept_since_ms_by_bucket: dict[int, int] = {}
