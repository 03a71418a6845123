"""Pages of state for synchronisation between hosts (anti-entropy).

A host that joins requests the whole state. Later on, a host whose digest
differs from that of a peer requests all facts and the buckets of members that
differ.
"""

import dataclasses

from sapphire_core.membership import data
from sapphire_core.membership import fact_scope
from sapphire_core.membership import member_table
from sapphire_core.membership import message_size
from sapphire_core.membership import state

END_OF_STATE = -1


@dataclasses.dataclass(slots=True)
class SyncSession:
    """A synchronisation that this host has requested.

    Attributes:
        number: The number of the session, which the pages repeat.
        bucket_digests: The digests of this host's buckets when the session
            started; empty requests the whole state.
        cursor: The position of the next page.
        requested_ms: When the next page was last requested, in milliseconds.
        peer_id: The peer whose state differs; empty if any peer may send the
            pages.
        timeouts: The number of consecutive requests without a page.
    """

    number: int
    bucket_digests: tuple[int, ...]
    cursor: int
    requested_ms: int
    peer_id: str = ""
    timeouts: int = 0


def build_page(
    shared: state.State,
    request: data.GossipMessage,
    budget_bytes: int,
    now_ms: int,
) -> tuple[tuple[data.MemberEntry, ...], tuple[data.FactEntry, ...], int]:
    """Returns one page of the state that is requested.

    The cursor counts the facts first and then the hosts of the buckets whose
    digests differ.

    Args:
        shared: The state of this host.
        request: The request with its cursor and bucket digests.
        budget_bytes: The free space in the message.
        now_ms: The time in milliseconds.

    Returns:
        The entries about hosts, the facts, and the cursor of the next page.
    """
    members = shared.members
    fact_list = _facts_for(shared, request.origin, now_ms)
    host_ids = _differing_ids(members, request.bucket_digests)
    end = len(fact_list) + len(host_ids)
    position = max(0, request.cursor)
    page_facts: list[data.FactEntry] = []
    page_members: list[data.MemberEntry] = []
    while position < end:
        if position < len(fact_list):
            fact = fact_list[position]
            size = message_size.fact_bytes(fact)
            if size > budget_bytes:
                break
            page_facts.append(fact)
        else:
            host_id = host_ids[position - len(fact_list)]
            entry = members.entries_by_id[host_id]
            size = message_size.member_bytes(entry)
            if size > budget_bytes:
                break
            page_members.append(entry)
        budget_bytes -= size
        position += 1
    cursor = position if position < end else END_OF_STATE
    return tuple(page_members), tuple(page_facts), cursor


def _facts_for(
    shared: state.State, requester: data.MemberEntry, now_ms: int
) -> list[data.FactEntry]:
    """Returns the facts whose scope includes the requesting host."""
    scopes = [fact_scope.Scope.GLOBAL]
    if not shared.is_remote(requester):
        scopes.append(fact_scope.Scope.LOCAL)
    return [
        fact
        for fact in shared.facts.facts(now_ms)
        if fact_scope.scope_of(fact.key) in scopes
    ]


def _differing_ids(
    members: member_table.MemberTable, bucket_digests: tuple[int, ...]
) -> list[str]:
    """Returns the hosts of the buckets that differ from the requester's.

    These are all hosts if the requester sent no digests or another number of
    them.
    """
    own_digests = members.bucket_digests()
    host_ids: list[str] = []
    is_comparable = len(bucket_digests) == len(own_digests)
    for bucket, own_digest in enumerate(own_digests):
        if is_comparable and bucket_digests[bucket] == own_digest:
            continue
        host_ids.extend(members.bucket_ids(bucket))
    return host_ids
