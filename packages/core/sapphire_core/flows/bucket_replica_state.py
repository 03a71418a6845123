"""What a host remembers of the flows of a service."""

from typing import NamedTuple

from sapphire_core.flows import flow_table


class Packet(NamedTuple):
    """What a decision depends on, beside the bucket.

    A tuple, because one is made for each packet of an ambiguous bucket.

    Attributes:
        flow_hash: The hash of the flow.
        is_opening: Whether it opens the flow.
        is_closing: Whether it ends the flow.
        visited: The hosts that saw it before this one.
        revision: The newest revision that any of them has prepared.
    """

    flow_hash: int
    is_opening: bool
    is_closing: bool
    visited: tuple[str, ...]
    revision: int


class BucketReplicaState:
    """What this host remembers of a service.

    Attributes:
        exceptions: The recorded flows.
        complete_buckets: The buckets all of whose exceptions are recorded.
        kept_since_ms_by_bucket: Since when this host is a keeper.
    """

    __slots__ = ("complete_buckets", "exceptions", "kept_since_ms_by_bucket")

    def __init__(self, now_ms: int) -> None:
        self.exceptions = flow_table.FlowTable(now_ms)
        self.complete_buckets: set[int] = set()
        self.kept_since_ms_by_bucket: dict[int, int] = {}
