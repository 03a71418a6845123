"""Hosts lend each other idle slots for a short time.

The slots of a service seldom divide evenly among hosts. A host whose requests
wait asks a few others; one with an idle slot may lend it. A loan ends by
itself at its lender, so a lost message wastes a slot for the loan time at
most, and a doubled one changes nothing.
"""

from sapphire_core.requests import data
from sapphire_core.requests import host_state
from sapphire_core.requests import service_pool
from sapphire_core.requests import upstream_gate

LOAN_MS = 500
MAX_ASKED = 8
MAX_WANTED = 4
# Loans offered for each slot wanted, over all hosts asked.
OFFERS_PER_WANTED = 3.0


def settle(
    state: host_state.HostState, pool: service_pool.ServicePool, now_ms: int
) -> None:
    """Gives back what is not needed and asks for what is."""
    for gate in pool.gates_by_name.values():
        if gate.loans_by_id:
            _give_back(state, pool, gate, now_ms)
    if pool.queue.length and now_ms >= pool.asking.next_ms:
        _ask(state, pool, now_ms)


def told(
    state: host_state.HostState, message: data.PeerMessage, now_ms: int
) -> None:
    """Takes in a message of another host."""
    match message:
        case data.SlotNeed(_, service):
            pool = state.pools_by_service.get(service)
            if pool is not None:
                _consider(state, pool, message, now_ms)
        case data.SlotLoan():
            _take_loan(state, message, now_ms)
        case data.SlotReturn(loan):
            pool = state.pools_by_service.get(loan.service)
            gate = pool.gate(loan.upstream) if pool is not None else None
            if gate is not None and loan.lender == state.host_id:
                gate.lent_until_ms.pop(loan.loan_id, None)


def _ask(
    state: host_state.HostState, pool: service_pool.ServicePool, now_ms: int
) -> None:
    pool.asking.note_asked(now_ms)
    wanted = min(MAX_WANTED, pool.queue.length)
    need = data.SlotNeed(state.host_id, pool.service.name, wanted)
    count = min(MAX_ASKED, len(state.peer_ids))
    for peer_id in state.rng.sample(state.peer_ids, count):
        state.actions.append(data.TellPeer(peer_id, need))


def _consider(
    state: host_state.HostState,
    pool: service_pool.ServicePool,
    need: data.SlotNeed,
    now_ms: int,
) -> None:
    if pool.queue.length or need.host_id not in state.peer_ids:
        return
    idle = [
        gate
        for gate in pool.gates_by_name.values()
        if gate.has_own_slot(now_ms)
        and not gate.loans_by_id
        and not gate.is_cold(now_ms)
    ]
    asked = min(MAX_ASKED, len(state.peer_ids))
    chance = need.wanted * OFFERS_PER_WANTED / asked
    if not idle or state.rng.random() >= chance:
        return
    gate = state.rng.choice(idle)
    state.loan_count += 1
    state.counters["slots_lent"] += 1
    # The last attempt of the borrower may still run when the loan ends.
    gate.lent_until_ms[state.loan_count] = now_ms + LOAN_MS
    loan = data.SlotLoan(
        state.host_id,
        state.loan_count,
        pool.service.name,
        gate.upstream.name,
        LOAN_MS,
    )
    state.actions.append(data.TellPeer(need.host_id, loan))


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
        back = data.SlotReturn(held.loan)
        state.actions.append(data.TellPeer(held.loan.lender, back))
