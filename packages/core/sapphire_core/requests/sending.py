"""Sends waiting requests to upstreams that have a free slot."""

from sapphire_core.requests import attempts
from sapphire_core.requests import data
from sapphire_core.requests import engine_state
from sapphire_core.requests import failures
from sapphire_core.requests import finishing
from sapphire_core.requests import life_cycle
from sapphire_core.requests import service_pool
from sapphire_core.requests import upstream_limiter

# The time that an answer needs from this host to the caller.
RETURN_MARGIN_MS = 5
NO_UPSTREAM_RETRY_AFTER_MS = 2_000


def dispatch(
    state: engine_state.EngineState, pool: service_pool.ServicePool, now_ms: int
) -> None:
    """Sends the requests of a service for which there is a slot."""
    if not pool.limiters_by_name:
        _refuse_waiting(state, pool)
        return
    while True:
        serial = pool.queue.peek()
        if serial is None:
            return
        progress = state.progress_by_serial[serial]
        selected = pool.select_upstream(
            progress.failed_upstreams, now_ms, state.rng
        )
        if selected is None:
            return
        limiter, is_opportunistic = selected
        pool.queue.pop()
        _send(
            state,
            pool,
            progress,
            limiter,
            now_ms,
            is_opportunistic=is_opportunistic,
        )


def _refuse_waiting(
    state: engine_state.EngineState, pool: service_pool.ServicePool
) -> None:
    while (popped := pool.queue.pop()) is not None:
        progress = state.progress_by_serial[popped[1]]
        finishing.finish(
            state, progress, failures.NoUpstream(), NO_UPSTREAM_RETRY_AFTER_MS
        )


def _send(
    state: engine_state.EngineState,
    pool: service_pool.ServicePool,
    progress: life_cycle.Progress,
    limiter: upstream_limiter.UpstreamLimiter,
    now_ms: int,
    *,
    is_opportunistic: bool,
) -> None:
    request = progress.request
    life_cycle.advance(progress, life_cycle.Trigger.SEND)
    state.attempt_count += 1
    state.counters["attempts"] += 1
    attempt_id = f"{state.host_id}-{state.attempt_count}"
    progress.attempt_id = attempt_id
    if progress.attempt_count == 0:
        pool.budget.record_first_attempt()
    progress.attempt_count += 1
    limiter.in_flight += 1
    attempt = attempts.Attempt(
        attempt_id,
        request.serial,
        request.service,
        limiter.upstream.name,
        is_opportunistic,
        now_ms,
    )
    state.attempt_table.add(attempt)
    state.add_timer(request.deadline_ms, request.serial)
    remaining_ms = request.deadline_ms - now_ms - RETURN_MARGIN_MS
    retries_left = request.retries_left - progress.attempt_count + 1
    state.actions.append(
        data.SendAttempt(
            request.serial,
            attempt_id,
            limiter.upstream.name,
            max(1, remaining_ms),
            max(0, retries_left),
        )
    )
