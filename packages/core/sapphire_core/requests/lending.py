"""Hosts lend each other idle slots for a short time.

The slots of a service seldom divide evenly among hosts. A host whose requests
wait asks a few others; one that has an idle slot now or soon lends it, since
its own next request is only likely, while the other's already waits. A loan
ends by itself at its lender, so a lost message wastes a slot for the loan time
at most, and a doubled one changes nothing.
"""

from sapphire_core.requests import data
from sapphire_core.requests import host_state
from sapphire_core.requests import need_pace
from sapphire_core.requests import service_pool
from sapphire_core.requests import upstream_gate

LOAN_MS = 300
# A need is remembered at most for the longest time between two askings.
MAX_NEED_MS = need_pace.MAX_INTERVAL_MS
MIN_NEED_MS = 50
MAX_ASKED = 4


def settle(
    state: host_state.HostState, pool: service_pool.ServicePool, now_ms: int
) -> None:
    """Gives back what is not needed and asks for what is."""
    for gate in pool.gates_by_name.values():
        if gate.loans_by_id:
            _give_back(state, pool, gate, now_ms)
    if pool.need_ends_ms:
        _lend_idle(state, pool, now_ms)
    if _is_short(pool) and now_ms >= pool.asking.next_ms:
        _ask(state, pool, now_ms)


def told(
    state: host_state.HostState, message: data.PeerMessage, now_ms: int
) -> None:
    """Takes in a message of another host."""
    match message:
        case data.SlotNeed(host_id, service):
            pool = state.pools_by_service.get(service)
            if pool is not None and host_id in state.peer_ids:
                lasts_ms = min(MAX_NEED_MS, message.lasts_ms)
                pool.need_ends_ms[host_id] = now_ms + lasts_ms
        case data.SlotLoan():
            _take_loan(state, message, now_ms)
        case data.SlotReturn(_, loan):
            pool = state.pools_by_service.get(loan.service)
            if pool is None or loan.lender != state.host_id:
                return
            if message.is_unneeded:
                pool.need_ends_ms.pop(message.host_id, None)
            gate = pool.gate(loan.upstream)
            if gate is not None:
                gate.lent_until_ms.pop(loan.loan_id, None)


def _is_short(pool: service_pool.ServicePool) -> bool:
    """Whether more requests wait than will be sent in one mean run."""
    waiting = pool.queue.length
    return waiting > 0 and waiting >= pool.own_slots()


def _ask(
    state: host_state.HostState, pool: service_pool.ServicePool, now_ms: int
) -> None:
    pool.asking.note_asked(now_ms)
    lasts_ms = pool.queue.length * pool.observed.mean_ms / pool.concurrency()
    need = data.SlotNeed(
        state.host_id, pool.service.name, max(MIN_NEED_MS, round(lasts_ms))
    )
    count = min(MAX_ASKED, len(state.peer_ids))
    for peer_id in state.rng.sample(state.peer_ids, count):
        state.actions.append(data.TellPeer(peer_id, need))


def _lend_idle(
    state: host_state.HostState, pool: service_pool.ServicePool, now_ms: int
) -> None:
    for host_id, end_ms in list(pool.need_ends_ms.items()):
        if now_ms >= end_ms or host_id not in state.peer_ids:
            del pool.need_ends_ms[host_id]
    if pool.queue.length:
        return
    for gate in pool.gates_by_name.values():
        if not pool.need_ends_ms:
            return
        if gate.loans_by_id or gate.is_cold(now_ms):
            continue
        if gate.has_own_slot(now_ms):
            _lend(state, pool, gate, now_ms)


def _lend(
    state: host_state.HostState,
    pool: service_pool.ServicePool,
    gate: upstream_gate.UpstreamGate,
    now_ms: int,
) -> None:
    host_id = state.rng.choice(list(pool.need_ends_ms))
    state.loan_count += 1
    state.counters["slots_lent"] += 1
    gate.lent_until_ms[state.loan_count] = now_ms + LOAN_MS
    loan = data.SlotLoan(
        state.host_id,
        state.loan_count,
        pool.service.name,
        gate.upstream.name,
        LOAN_MS,
    )
    state.actions.append(data.TellPeer(host_id, loan))


def _take_loan(
    state: host_state.HostState, loan: data.SlotLoan, now_ms: int
) -> None:
    pool = state.pools_by_service.get(loan.service)
    if pool is None:
        return
    gate = pool.gates_by_name.get(loan.upstream)
    if gate is None:
        return
    pool.asking.note_loan()
    start_ms = max(0, loan.duration_ms - pool.observed.likely_ms)
    held = upstream_gate.HeldLoan(loan, now_ms + start_ms)
    gate.loans_by_id[(loan.lender, loan.loan_id)] = held


def _give_back(
    state: host_state.HostState,
    pool: service_pool.ServicePool,
    gate: upstream_gate.UpstreamGate,
    now_ms: int,
) -> None:
    for key, held in list(gate.loans_by_id.items()):
        is_ended = now_ms >= held.start_until_ms
        if pool.queue.length and not is_ended:
            continue
        spare = 0 if is_ended else 1
        if gate.in_flight > gate.usable_slots(now_ms) - spare:
            continue
        del gate.loans_by_id[key]
        is_unneeded = pool.queue.length == 0
        back = data.SlotReturn(state.host_id, held.loan, is_unneeded)
        state.actions.append(data.TellPeer(held.loan.lender, back))
