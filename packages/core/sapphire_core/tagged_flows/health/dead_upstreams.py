"""Decides whether the upstream of an open flow has gone, so that it is reset.

A reset lets the caller open another flow at once, instead of repeating its data
until its deadline. It breaks the flow if the upstream is alive, and a host sees
no packet from an upstream. Two independent signs are needed:

- The registry: the entry was removed, and not because the registry failed; or
  it was removed and another upstream has the address. An address alone is no
  sign while the entry stands: whoever can write there can name any address, and
  an upstream that has died loses its entry soon.
- The flow: its caller has sent its data three times, and nothing shows that the
  upstream has sent a packet since that data was first seen.

Silence alone is no sign. Packets that wait or are lost on this host's own link,
on the caller's, or on the upstream's look like a dead upstream, and so do
unanswered opening packets, since they take the same way. Therefore flows that
are stalled at another, registered upstream also cast doubt on the second sign,
unless the address has another holder. So does data that callers have had to
repeat in many of the flows to other registered upstreams: a path that loses
packets seldom stalls another flow at the very moment, but shows over seconds. A
partition gives both signs; the caller cannot continue there either.

A caller whose data was acknowledged before its upstream died repeats nothing,
and would wait until its deadline. Its flow is reset unasked, once the registry
says that the upstream has stopped and the caller has waited for far longer than
the requests of its route take. See `waiting_in_vain`.
"""

from collections.abc import Callable
import enum

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import upstream_table
from sapphire_core.tagged_flows.flows import flow_table

# Callers repeat their data after 200 ms and 400 ms later (the protocol); a
# request may take longer than the first.
MIN_RETRANSMISSIONS = 2
MIN_SILENCE_MS = 500
# An upstream ends its flows before it leaves the registry.
REMOVED_MS = 500
# The share of flows with repeated data above which the path of this host is in
# doubt. A path that loses less loses the same data three times in fewer than
# one of a thousand requests.
MAX_REPEATED_SHARE = 0.1
# For how long a caller has to have waited until its flow is reset unasked. An
# entry lapses after about as long without a report, so that such a flow has
# been silent at least since the last one.
MIN_UNASKED_WAIT_MS = 3_000
# How many flows are reset unasked at a time.
MAX_UNASKED = 64

# Returns the time that few requests of a route exceed, None if not known.
LongestUsualMs = Callable[[data.Endpoint], float | None]


class Evidence(enum.StrEnum):
    """What the registry says of an upstream; the value is a field of logs.

    Attributes:
        REPLACED: The upstream has left the registry, and another one has its
            address.
        REMOVED: The upstream has left the registry.
    """

    REPLACED = "replaced"
    REMOVED = "removed"


def evidence_against(
    record: flow_table.FlowRecord,
    flows: flow_table.FlowTable,
    now_ms: int,
) -> Evidence | None:
    """Returns why the upstream of a flow counts as gone.

    Args:
        record: The record of the flow.
        flows: All records of this host.
        now_ms: The current time.

    Returns:
        The evidence, None if the flow goes on.
    """
    entry = record.entry
    if record.retransmissions < MIN_RETRANSMISSIONS or _has_shown_life(record):
        return None
    if now_ms - record.last_new_data_ms < MIN_SILENCE_MS:
        return None
    if entry.is_replaced and _has_left(entry, now_ms):
        return Evidence.REPLACED
    if not _has_stopped(entry, now_ms):
        return None
    if is_own_path_in_doubt(entry, flows, now_ms):
        return None
    return Evidence.REMOVED


def waiting_in_vain(
    upstreams: upstream_table.UpstreamTable,
    flows: flow_table.FlowTable,
    longest_usual_ms: LongestUsualMs,
    now_ms: int,
) -> list[tuple[data.FlowId, flow_table.FlowRecord]]:
    """Returns flows whose callers wait for a response of a dead upstream.

    That an upstream has the address of another one is no sign here: it is
    concluded from the clocks of the two.

    Args:
        upstreams: The upstreams known to this host.
        flows: All records of this host.
        longest_usual_ms: How long the requests of a route may take.
        now_ms: The current time.

    Returns:
        At most `MAX_UNASKED` flows.
    """
    stopped_ids = {
        entry.upstream.upstream_id
        for entry in upstreams.by_id.values()
        if _has_stopped(entry, now_ms)
    }
    if not stopped_ids:
        return []
    found: list[tuple[data.FlowId, flow_table.FlowRecord]] = []
    for flow_id, record in flows.waiting_at(
        stopped_ids, now_ms - MIN_UNASKED_WAIT_MS
    ):
        longest_ms = longest_usual_ms(flow_id.endpoint)
        waited_ms = now_ms - (record.waiting_since_ms or now_ms)
        if longest_ms is None or waited_ms < longest_ms:
            continue
        last_active_ms = record.entry.last_active_ms
        if last_active_ms is not None and (
            now_ms - last_active_ms < MIN_UNASKED_WAIT_MS
        ):
            continue
        if is_own_path_in_doubt(record.entry, flows, now_ms):
            continue
        found.append((flow_id, record))
        if len(found) == MAX_UNASKED:
            break
    return found


def is_own_path_in_doubt(
    entry: upstream_table.Entry, flows: flow_table.FlowTable, now_ms: int
) -> bool:
    """Whether other upstreams seem silent too, so that silence shows nothing.

    Args:
        entry: The upstream whose own flows do not count.
        flows: All records of this host.
        now_ms: The current time.
    """
    if flows.has_stalled_elsewhere(entry, now_ms):
        return True
    repeated_share = flows.repeated_share_elsewhere(entry, now_ms)
    return repeated_share > MAX_REPEATED_SHARE


def _has_shown_life(record: flow_table.FlowRecord) -> bool:
    """Whether an upstream has sent a packet since the flow's last new data."""
    last_active_ms = record.entry.last_active_ms
    return last_active_ms is not None and (
        last_active_ms > record.last_new_data_ms
    )


def _has_left(entry: upstream_table.Entry, now_ms: int) -> bool:
    """Whether an upstream has left the registry and is not expected back."""
    if entry.removed_ms is None:
        return False
    if entry.removal_cause is not data.RemovalCause.REGISTRY_UNAVAILABLE:
        return True
    return now_ms - entry.removed_ms >= upstream_table.LAPSE_GRACE_MS


def _has_stopped(entry: upstream_table.Entry, now_ms: int) -> bool:
    """Whether an upstream stopped and left the registry some time ago."""
    if entry.removed_ms is None:
        return False
    if entry.removal_cause is not data.RemovalCause.UPSTREAM_STOPPED:
        return False
    return now_ms - entry.removed_ms >= REMOVED_MS
