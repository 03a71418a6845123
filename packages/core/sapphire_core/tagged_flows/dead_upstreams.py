"""Whether the upstream of an open flow is dead.

A caller whose upstream died sends its data again until its deadline and then
gives up; a reset lets it open another flow at once. A reset while the
upstream lives would break the flow, so no single sign is believed. An
upstream counts as dead for a flow when its caller has repeated the same data,
nothing was seen to come from the upstream since that data was first sent,
and either

- an opening packet found no answer there meanwhile, here or at a peer, or
- its entry has left the registry for a reason that is not the registry's.

A pause of this host makes old packets arrive together, so the time between the
first and the last copy of the data counts, by this host's clock. A lost packet
alone does not do it: the copies would have to be lost too, and an opening
packet. A slow upstream answers opening packets. A cut of the way to the
upstream looks the same as its death; the caller cannot go on there either.
"""

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import flow_table
from sapphire_core.tagged_flows import upstream_table

# Callers repeat data after 200 ms and again after 400 ms more (the protocol);
# a request that is only slow to be answered may be repeated once.
SILENT_REPEATS = 2
SILENT_MS = 500
# An upstream that has left the registry has ended its flows before.
REMOVED_REPEATS = 1
REMOVED_MS = 500


def is_upstream_dead(
    record: flow_table.FlowRecord, now_ms: int, *, is_silent: bool
) -> bool:
    """Whether a flow's upstream is dead.

    Args:
        record: What this host has seen of the flow.
        now_ms: The current time.
        is_silent: Whether opening packets find no answer at the upstream.
    """
    entry = record.entry
    if entry.alive_ms is not None and entry.alive_ms > record.sent_ms:
        return False
    if is_silent:
        return (
            record.repeats >= SILENT_REPEATS
            and now_ms - record.sent_ms >= SILENT_MS
        )
    return record.repeats >= REMOVED_REPEATS and _has_left(entry, now_ms)


def _has_left(entry: upstream_table.Entry, now_ms: int) -> bool:
    """Whether an upstream has left the registry of itself."""
    if entry.removed_ms is None:
        return False
    if entry.removal_cause is not data.RemovalCause.UPSTREAM_STOPPED:
        return False
    return now_ms - entry.removed_ms >= REMOVED_MS
