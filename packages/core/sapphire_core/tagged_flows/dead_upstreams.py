"""Decides whether the upstream of an open flow has gone, so that it is reset.

A reset lets the caller open another flow at once, instead of repeating its data
until its deadline. It breaks the flow if the upstream is alive, and a host sees
no packet from an upstream. Two independent signs are needed:

- The registry: another upstream has the address, or the entry was removed, and
  not because the registry failed.
- The flow: its caller repeats its data, and nothing shows that the upstream has
  sent a packet since that data was first seen.

Silence alone is no sign. Packets that wait or are lost on this host's own link,
on the caller's, or on the upstream's look like a dead upstream, and so do
unanswered opening packets, since they take the same way. Therefore flows that
are stalled at another, registered upstream also cast doubt on the second sign.
"""

import enum

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import flow_table
from sapphire_core.tagged_flows import upstream_table

# A request may take longer than the caller's first retransmission (200 ms, the
# protocol), so that one alone does not mean silence unless the address has
# another holder, which rejects the packets.
REPLACED_RETRANSMISSIONS = 1
REMOVED_RETRANSMISSIONS = 2
# An upstream ends its flows before it leaves the registry.
REMOVED_MS = 500


class Evidence(enum.StrEnum):
    """What the registry says of an upstream; the value is a field of logs.

    Attributes:
        REPLACED: Another upstream has the address.
        REMOVED: The upstream has left the registry.
    """

    REPLACED = "replaced"
    REMOVED = "removed"


def evidence_against(
    record: flow_table.FlowRecord, now_ms: int, *, is_path_suspect: bool
) -> Evidence | None:
    """Returns why the upstream of a flow counts as gone.

    Args:
        record: The record of the flow.
        now_ms: The current time.
        is_path_suspect: Whether flows to other upstreams are stalled as well.

    Returns:
        The evidence, None if the flow goes on.
    """
    entry = record.entry
    if _has_shown_life(record):
        return None
    if entry.is_replaced:
        if record.retransmissions >= REPLACED_RETRANSMISSIONS:
            return Evidence.REPLACED
        return None
    if is_path_suspect or record.retransmissions < REMOVED_RETRANSMISSIONS:
        return None
    return Evidence.REMOVED if _has_stopped(entry, now_ms) else None


def _has_shown_life(record: flow_table.FlowRecord) -> bool:
    """Whether an upstream has sent a packet since the flow's last new data."""
    last_active_ms = record.entry.last_active_ms
    return last_active_ms is not None and (
        last_active_ms > record.last_new_data_ms
    )


def _has_stopped(entry: upstream_table.Entry, now_ms: int) -> bool:
    """Whether an upstream stopped and left the registry some time ago."""
    if entry.removed_ms is None:
        return False
    if entry.removal_cause is not data.RemovalCause.UPSTREAM_STOPPED:
        return False
    return now_ms - entry.removed_ms >= REMOVED_MS
