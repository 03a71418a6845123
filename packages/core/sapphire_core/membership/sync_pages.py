"""The exchange of the whole state in pages, for joins and repairs."""

import dataclasses

from sapphire_core.membership import data
from sapphire_core.membership import fact_scope
from sapphire_core.membership import member_table
from sapphire_core.membership import message_size
from sapphire_core.membership import state

END_OF_STATE = -1


@dataclasses.dataclass(slots=True)
class SyncSession:
    """A synchronisation that this host has asked for.

    Attributes:
        number: Its number, which the pages repeat.
        bucket_digests: The digests that were known when it began; empty asks
            for everything.
        cursor: The position of the next page.
        asked_ms: When the page was asked for last.
        peer_id: The peer whose state differs; empty where any peer will do.
        failures: The requests in a row that got no page.
    """

    number: int
    bucket_digests: tuple[int, ...]
    cursor: int
    asked_ms: int
    peer_id: str = ""
    failures: int = 0


def build_page(
    shared: state.State,
    request: data.GossipMessage,
    budget_bytes: int,
    now_ms: int,
) -> tuple[tuple[data.MemberEntry, ...], tuple[data.FactEntry, ...], int]:
    """Returns one page of the state that a request asks for.

    Positions count the facts first and then the hosts of the buckets whose
    digests differ.

    Args:
        shared: The state.
        request: The request with its cursor and digests.
        budget_bytes: The room in the message.
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
    shared: state.State, asker: data.MemberEntry, now_ms: int
) -> list[data.FactEntry]:
    """Returns the facts that the asking host may have."""
    scopes = [fact_scope.Scope.GLOBAL]
    if not shared.is_remote(asker):
        scopes.append(fact_scope.Scope.LOCAL)
    return [
        fact
        for fact in shared.facts.facts(now_ms)
        if fact_scope.scope_of(fact.key) in scopes
    ]


def _differing_ids(
    members: member_table.MemberTable, bucket_digests: tuple[int, ...]
) -> list[str]:
    """Returns the hosts of the buckets that the asking host must see."""
    own_digests = members.bucket_digests()
    host_ids: list[str] = []
    is_comparable = len(bucket_digests) == len(own_digests)
    for bucket, own_digest in enumerate(own_digests):
        if is_comparable and bucket_digests[bucket] == own_digest:
            continue
        host_ids.extend(members.bucket_ids(bucket))
    return host_ids
