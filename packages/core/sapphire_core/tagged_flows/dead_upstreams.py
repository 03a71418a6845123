"""Detects that the upstream of an open flow has crashed or is cut off.

A caller whose upstream has crashed retransmits its data until its deadline and
then gives up; a reset lets it open another flow at once. A reset while the
upstream is alive would break the flow, so a single sign is not enough. An
upstream counts as dead for a flow when the caller has retransmitted the same
data, nothing shows that the upstream has sent a packet since that data was
first seen, and either

- the upstream leaves opening packets unanswered, by this host or a peer, or
- its registry entry was removed, and not because the registry failed.

After a stall of this host, old packets are read all at once; therefore the time
between the first and the last copy of the data counts, by this host's clock.
Packet loss alone is not enough: the retransmissions would have to be lost as
well, and an opening packet. A slow upstream still answers opening packets. A
broken network path to the upstream looks the same as its crash; the caller
cannot continue there either.
"""

import enum

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import flow_table
from sapphire_core.tagged_flows import upstream_table

# Callers retransmit data after 200 ms and again 400 ms later (the protocol); a
# request whose response is merely slow may be retransmitted once.
UNRESPONSIVE_RETRANSMISSIONS = 2
UNRESPONSIVE_MS = 500
# An upstream ends its flows before it leaves the registry, so one
# retransmission is enough.
REMOVED_RETRANSMISSIONS = 1
REMOVED_MS = 500


class Evidence(enum.StrEnum):
    """Why an open flow is ended; the value is a field of logs.

    Attributes:
        REPLACED: Another upstream has the address.
        UNRESPONSIVE: The upstream left data and an opening packet unanswered.
        REMOVED: The upstream left data unanswered and has left the registry.
    """

    REPLACED = "replaced"
    UNRESPONSIVE = "unresponsive"
    REMOVED = "removed"


def evidence_against(
    record: flow_table.FlowRecord, now_ms: int, *, is_unresponsive: bool
) -> Evidence | None:
    """Returns why the upstream of a flow counts as dead.

    Args:
        record: The record of the flow.
        now_ms: The current time.
        is_unresponsive: Whether the upstream leaves opening packets unanswered.

    Returns:
        The evidence, None if the flow goes on.
    """
    entry = record.entry
    if entry.is_replaced:
        return Evidence.REPLACED
    if record.retransmissions == 0 or _has_shown_life(record):
        return None
    if is_unresponsive:
        if (
            record.retransmissions >= UNRESPONSIVE_RETRANSMISSIONS
            and now_ms - record.last_new_data_ms >= UNRESPONSIVE_MS
        ):
            return Evidence.UNRESPONSIVE
        return None
    if record.retransmissions >= REMOVED_RETRANSMISSIONS and _has_stopped(
        entry, now_ms
    ):
        return Evidence.REMOVED
    return None


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
