"""Takes in how attempts end, and decides on retries."""

from sapphire_core.requests import admission
from sapphire_core.requests import attempts
from sapphire_core.requests import data
from sapphire_core.requests import failures
from sapphire_core.requests import finishing
from sapphire_core.requests import host_state
from sapphire_core.requests import life_cycle
from sapphire_core.requests import service_pool


def answered(
    state: host_state.HostState, event: data.AnswerArrived, now_ms: int
) -> None:
    """Takes in an answer; drops it if it belongs to no waiting attempt."""
    attempt = state.attempt_table.by_id.get(event.attempt_id)
    mismatch = _match(state, event.attempt_id, event.echoed_id)
    if attempt is None:
        return
    if mismatch is not None:
        fault = data.AttemptFault.MISMATCHED
        failed(state, data.AttemptFailed(event.attempt_id, fault), now_ms)
        return
    state.attempt_table.end(event.attempt_id, is_answered=True)
    pool = state.pools_by_service[attempt.service]
    pool.observed.add(now_ms - attempt.sent_ms)
    if attempt.is_borrowed:
        pool.end_borrow(None, now_ms, is_answered=True)
    gate = pool.gate(attempt.upstream)
    if gate is not None:
        gate.in_flight -= 1
        gate.has_echoed = event.echoed_id is not None
        gate.note_boot(event.boot_id, now_ms)
        gate.note_success()
    progress = state.progress_by_serial[attempt.serial]
    finishing.answer(state, progress, event.answer)


def failed(
    state: host_state.HostState, event: data.AttemptFailed, now_ms: int
) -> None:
    """Takes in an attempt that ended without an answer."""
    attempt = state.attempt_table.by_id.get(event.attempt_id)
    if attempt is None:
        return
    fault = event.fault
    if fault is data.AttemptFault.SHED:
        # A shed that belongs to another attempt proves nothing of this one.
        mismatch = _match(state, event.attempt_id, event.echoed_id)
        if mismatch is not None:
            fault = data.AttemptFault.MISMATCHED
    state.attempt_table.end(event.attempt_id, is_answered=False)
    state.counters[f"attempts_{fault.value}"] += 1
    pool = state.pools_by_service[attempt.service]
    gate = pool.gate(attempt.upstream)
    if gate is not None:
        gate.in_flight -= 1
        if fault is data.AttemptFault.SHED:
            gate.note_boot(event.boot_id, now_ms)
        gate.note_fault(fault, now_ms)
    progress = state.progress_by_serial[attempt.serial]
    progress.attempt_id = None
    progress.tried += (attempt.upstream,)
    if fault not in data.PROVES_NOT_RUN:
        progress.may_have_run = True
    cost = service_pool.OWN_RETRY_COST
    if attempt.is_borrowed:
        pool.end_borrow(fault, now_ms, is_answered=False)
    if attempt.is_borrowed and fault is data.AttemptFault.SHED:
        # The retry was paid for when the slot was borrowed.
        cost = 0.0
    _retry(state, pool, progress, fault, now_ms, cost=cost)


def caller_left(state: host_state.HostState, serial: int) -> None:
    """Cancels a request whose caller has gone away, also at its upstream."""
    progress = state.progress_by_serial.get(serial)
    if progress is None:
        return
    cancel_attempt(state, progress)
    finishing.cancel(state, progress)


def cancel_attempt(
    state: host_state.HostState, progress: life_cycle.Progress
) -> attempts.Attempt | None:
    """Cancels the attempt of a request; it may have run.

    Returns:
        The attempt, or None if there was none in flight.
    """
    if progress.attempt_id is None:
        return None
    attempt = state.attempt_table.end(progress.attempt_id, is_answered=False)
    progress.attempt_id = None
    progress.may_have_run = True
    if attempt is None:
        return None
    pool = state.pools_by_service[attempt.service]
    if attempt.is_borrowed:
        pool.end_borrow(None, 0, is_answered=False)
    gate = pool.gate(attempt.upstream)
    if gate is not None:
        gate.in_flight -= 1
    state.actions.append(data.CancelAttempt(attempt.attempt_id))
    return attempt


def _match(
    state: host_state.HostState, attempt_id: str, echoed_id: str | None
) -> attempts.Mismatch | None:
    attempt = state.attempt_table.by_id.get(attempt_id)
    must_echo = False
    if attempt is not None:
        gate = state.pools_by_service[attempt.service].gate(attempt.upstream)
        must_echo = gate is not None and gate.has_echoed
    mismatch = state.attempt_table.match(
        attempt_id, echoed_id, must_echo=must_echo
    )
    if mismatch is not None:
        state.counters[f"answers_{mismatch.value}"] += 1
    return mismatch


def _retry(
    state: host_state.HostState,
    pool: service_pool.ServicePool,
    progress: life_cycle.Progress,
    fault: data.AttemptFault,
    now_ms: int,
    *,
    cost: float,
) -> None:
    request = progress.request
    pool.budget.refill(now_ms)
    is_safe = request.is_idempotent or not progress.may_have_run
    retries = progress.attempt_count - 1
    is_allowed = (
        is_safe
        and retries < request.retries_left
        and request.deadline_ms - now_ms > pool.observed.mean_ms
        and bool(pool.gates_by_name)
        and pool.budget.spend(cost)
    )
    if is_allowed:
        life_cycle.advance(progress, life_cycle.Trigger.REQUEUE)
        admission.add_wait_timer(state, pool, progress, now_ms)
        pool.queue.push(request.caller, request.serial, is_first=True)
        return
    if progress.may_have_run:
        lost = failures.AnswerLost(fault.value)
        finishing.finish(state, progress, lost, None)
        return
    refusal = failures.RetriesExhausted(fault.value)
    finishing.refuse(state, pool, progress, refusal)
