"""Short loans of idle slots between hosts.

The slots of a service seldom divide evenly among hosts. A host with queued
requests sends a `SlotNeed` to a few peers. A peer that has an idle slot now, or
before the need expires, lends it: its own next request is only likely, while
the borrower's is already queued. A loan expires at its lender, so a lost
message wastes a slot for the duration of the loan at most, and a duplicated
one changes nothing.
"""

from sapphire_core.requests import data
from sapphire_core.requests import engine_state
from sapphire_core.requests import service_pool
from sapphire_core.requests import slot_need_schedule
from sapphire_core.requests import upstream_limiter

LOAN_MS = 300
# A need expires when its sender would send the next one at the latest.
MAX_NEED_MS = slot_need_schedule.MAX_INTERVAL_MS
MIN_NEED_MS = 50
MAX_ASKED_HOSTS = 4


def update(
    state: engine_state.EngineState, pool: service_pool.ServicePool, now_ms: int
) -> None:
    """Returns and lends idle slots, and asks for a slot if one is needed."""
    for limiter in pool.limiters_by_name.values():
        if limiter.borrowed_slots_by_loan:
            _return_loans(state, pool, limiter, now_ms)
    if pool.need_ends_ms_by_host:
        _lend_idle(state, pool, now_ms)
    if _is_short_of_slots(pool) and now_ms >= pool.need_schedule.next_ms:
        _send_need(state, pool, now_ms)


def apply_peer_message(
    state: engine_state.EngineState, message: data.PeerMessage, now_ms: int
) -> None:
    """Applies a need, a loan or a return that a peer has sent."""
    match message:
        case data.SlotNeed(host_id, service):
            pool = state.pools_by_service.get(service)
            if pool is not None and host_id in state.peer_ids:
                lasts_ms = min(MAX_NEED_MS, message.lasts_ms)
                pool.need_ends_ms_by_host[host_id] = now_ms + lasts_ms
        case data.SlotLoan():
            _accept_loan(state, message, now_ms)
        case data.SlotReturn(_, loan):
            pool = state.pools_by_service.get(loan.service)
            if pool is None or loan.lender != state.host_id:
                return
            if message.is_unneeded:
                pool.need_ends_ms_by_host.pop(message.host_id, None)
            limiter = pool.limiter(loan.upstream)
            if limiter is not None:
                limiter.lent_until_ms_by_loan.pop(loan.loan_id, None)


def _is_short_of_slots(pool: service_pool.ServicePool) -> bool:
    """Whether at least one request is queued for each slot of this host.

    The slots need one mean latency or longer for that many requests.
    """
    queued = pool.queue.length
    return queued > 0 and queued >= pool.slot_count()


def _send_need(
    state: engine_state.EngineState, pool: service_pool.ServicePool, now_ms: int
) -> None:
    pool.need_schedule.record_sent(now_ms)
    lasts_ms = (
        pool.queue.length * pool.attempt_latency.mean_ms / pool.concurrency()
    )
    need = data.SlotNeed(
        state.host_id, pool.service.name, max(MIN_NEED_MS, round(lasts_ms))
    )
    count = min(MAX_ASKED_HOSTS, len(state.peer_ids))
    for peer_id in state.rng.sample(state.peer_ids, count):
        state.actions.append(data.SendPeerMessage(peer_id, need))


def _lend_idle(
    state: engine_state.EngineState, pool: service_pool.ServicePool, now_ms: int
) -> None:
    for host_id, end_ms in list(pool.need_ends_ms_by_host.items()):
        if now_ms >= end_ms or host_id not in state.peer_ids:
            del pool.need_ends_ms_by_host[host_id]
    if pool.queue.length:
        return
    for limiter in pool.limiters_by_name.values():
        if not pool.need_ends_ms_by_host:
            return
        if limiter.borrowed_slots_by_loan or limiter.is_cold(now_ms):
            continue
        if limiter.has_free_slot(now_ms):
            _lend(state, pool, limiter, now_ms)


def _lend(
    state: engine_state.EngineState,
    pool: service_pool.ServicePool,
    limiter: upstream_limiter.UpstreamLimiter,
    now_ms: int,
) -> None:
    host_id = state.rng.choice(list(pool.need_ends_ms_by_host))
    state.loan_count += 1
    state.counters["slots_lent"] += 1
    limiter.lent_until_ms_by_loan[state.loan_count] = now_ms + LOAN_MS
    loan = data.SlotLoan(
        state.host_id,
        state.loan_count,
        pool.service.name,
        limiter.upstream.name,
        LOAN_MS,
    )
    state.actions.append(data.SendPeerMessage(host_id, loan))


def _accept_loan(
    state: engine_state.EngineState, loan: data.SlotLoan, now_ms: int
) -> None:
    pool = state.pools_by_service.get(loan.service)
    if pool is None:
        return
    limiter = pool.limiters_by_name.get(loan.upstream)
    if limiter is None:
        return
    pool.need_schedule.record_loan()
    # An attempt that starts later would probably outlast the loan.
    usable_ms = max(
        0, loan.duration_ms - pool.attempt_latency.upper_estimate_ms
    )
    borrowed = upstream_limiter.BorrowedSlot(loan, now_ms + usable_ms)
    limiter.borrowed_slots_by_loan[(loan.lender, loan.loan_id)] = borrowed


def _return_loans(
    state: engine_state.EngineState,
    pool: service_pool.ServicePool,
    limiter: upstream_limiter.UpstreamLimiter,
    now_ms: int,
) -> None:
    for key, borrowed in list(limiter.borrowed_slots_by_loan.items()):
        is_expired = now_ms >= borrowed.usable_until_ms
        if pool.queue.length and not is_expired:
            continue
        # `usable_slots` counts this slot only until it expires.
        counted = 0 if is_expired else 1
        if limiter.in_flight > limiter.usable_slots(now_ms) - counted:
            continue
        del limiter.borrowed_slots_by_loan[key]
        is_unneeded = pool.queue.length == 0
        returned = data.SlotReturn(state.host_id, borrowed.loan, is_unneeded)
        state.actions.append(
            data.SendPeerMessage(borrowed.loan.lender, returned)
        )
