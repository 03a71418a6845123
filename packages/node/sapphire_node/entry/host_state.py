"""What the tasks of one process share: its life, and its counts."""

import collections
import dataclasses

from sapphire_core.replication import data as replication_data
from sapphire_node.entry import ports


@dataclasses.dataclass(slots=True)
class HostState:
    """The life of the process.

    Attributes:
        settings: The settings in force.
        is_ready: Whether the host can place new flows.
        is_stopping: Whether it was told to stop.
        last_packet_ms: When the last packet came.
        last_store_failure_ms: When a call to the store last failed; None if
            none has.
        told_ms_by_scope: When a source last told of a scope, or confirmed
            that nothing changed.
        counts: Counters by name, for metrics.
    """

    settings: ports.HostSettings
    is_ready: bool = False
    is_stopping: bool = False
    last_packet_ms: int = 0
    last_store_failure_ms: int | None = None
    told_ms_by_scope: dict[replication_data.Scope, int] = dataclasses.field(
        default_factory=dict
    )
    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
