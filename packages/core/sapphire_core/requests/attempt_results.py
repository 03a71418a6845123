"""Takes in how attempts end, and decides on retries."""

from sapphire_core.requests import admission
from sapphire_core.requests import attempts
from sapphire_core.requests import data
from sapphire_core.requests import engine_state
from sapphire_core.requests import failures
from sapphire_core.requests import finishing
from sapphire_core.requests import life_cycle
from sapphire_core.requests import service_pool


def handle_answer(
    state: engine_state.EngineState, event: data.AnswerArrived, now_ms: int
) -> None:
    """Takes in an answer; drops it if it belongs to no waiting attempt."""
    attempt = state.attempt_table.by_id.get(event.attempt_id)
    mismatch = _match(state, event.attempt_id, event.echoed_id)
    if attempt is None:
        return
    if mismatch is not None:
        fault = data.AttemptFault.MISMATCHED
        handle_failure(
            state, data.AttemptFailed(event.attempt_id, fault), now_ms
        )
        return
    state.attempt_table.end(event.attempt_id, is_answered=True)
    pool = state.pools_by_service[attempt.service]
    pool.attempt_latency.record(now_ms - attempt.sent_ms)
    if attempt.is_opportunistic:
        pool.record_opportunistic_end(None, now_ms, is_answered=True)
    limiter = pool.limiter(attempt.upstream)
    if limiter is not None:
        limiter.in_flight -= 1
        limiter.echoes_attempt_id = event.echoed_id is not None
        limiter.record_boot_id(event.boot_id, now_ms)
        limiter.record_answer()
    progress = state.progress_by_serial[attempt.serial]
    finishing.answer(state, progress, event.answer)


def handle_failure(
    state: engine_state.EngineState, event: data.AttemptFailed, now_ms: int
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
    limiter = pool.limiter(attempt.upstream)
    if limiter is not None:
        limiter.in_flight -= 1
        if fault is data.AttemptFault.SHED:
            limiter.record_boot_id(event.boot_id, now_ms)
        limiter.record_failure(fault, now_ms)
    progress = state.progress_by_serial[attempt.serial]
    progress.attempt_id = None
    progress.failed_upstreams += (attempt.upstream,)
    if fault not in data.PROVES_NOT_RUN:
        progress.may_have_run = True
    cost = service_pool.RETRY_COST
    if attempt.is_opportunistic:
        pool.record_opportunistic_end(fault, now_ms, is_answered=False)
    if attempt.is_opportunistic and fault is data.AttemptFault.SHED:
        # The retry was paid for when the slot was borrowed.
        cost = 0.0
    _retry(state, pool, progress, fault, now_ms, cost=cost)


def handle_caller_disconnected(
    state: engine_state.EngineState, serial: int
) -> None:
    """Cancels a request whose caller has gone away, also at its upstream."""
    progress = state.progress_by_serial.get(serial)
    if progress is None:
        return
    cancel_attempt(state, progress)
    finishing.cancel(state, progress)


def cancel_attempt(
    state: engine_state.EngineState, progress: life_cycle.Progress
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
    if attempt.is_opportunistic:
        pool.record_opportunistic_end(None, 0, is_answered=False)
    limiter = pool.limiter(attempt.upstream)
    if limiter is not None:
        limiter.in_flight -= 1
    state.actions.append(data.CancelAttempt(attempt.attempt_id))
    return attempt


def _match(
    state: engine_state.EngineState, attempt_id: str, echoed_id: str | None
) -> attempts.Mismatch | None:
    attempt = state.attempt_table.by_id.get(attempt_id)
    must_echo = False
    if attempt is not None:
        limiter = state.pools_by_service[attempt.service].limiter(
            attempt.upstream
        )
        must_echo = limiter is not None and limiter.echoes_attempt_id
    mismatch = state.attempt_table.match(
        attempt_id, echoed_id, must_echo=must_echo
    )
    if mismatch is not None:
        state.counters[f"answers_{mismatch.value}"] += 1
    return mismatch


def _retry(
    state: engine_state.EngineState,
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
        and request.deadline_ms - now_ms > pool.attempt_latency.mean_ms
        and bool(pool.limiters_by_name)
        and pool.budget.spend(cost)
    )
    if is_allowed:
        life_cycle.advance(progress, life_cycle.Trigger.REQUEUE)
        admission.set_wait_deadline(state, pool, progress, now_ms)
        pool.queue.push(request.caller, request.serial, is_first=True)
        return
    if progress.may_have_run:
        lost = failures.AnswerLost(fault.value)
        finishing.finish(state, progress, lost, None)
        return
    refusal = failures.RetriesExhausted(fault.value)
    finishing.refuse(state, pool, progress, refusal)
