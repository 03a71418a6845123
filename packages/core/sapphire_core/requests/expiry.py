"""Ends requests whose deadlines have passed, and attempts that are due.

Attempts at an upstream of a data centre out of rotation are cancelled after a
grace period.
"""

import heapq

from sapphire_core.requests import attempt_results
from sapphire_core.requests import data
from sapphire_core.requests import engine_state
from sapphire_core.requests import failures
from sapphire_core.requests import finishing
from sapphire_core.requests import life_cycle

# How long attempts in flight may continue once their data centre is out of
# rotation.
OUT_GRACE_PERIOD_MS = 1_000


def expire_requests(state: engine_state.EngineState, now_ms: int) -> None:
    """Refuses hopeless queued requests, and ends those past their deadline."""
    while state.timers and state.timers[0][0] <= now_ms:
        _, serial = heapq.heappop(state.timers)
        progress = state.progress_by_serial.get(serial)
        if progress is None:
            continue
        if progress.state is life_cycle.State.QUEUED:
            _refuse_hopeless(state, progress, now_ms)
            continue
        if now_ms >= progress.request.deadline_ms:
            _finish_unanswered(state, progress, now_ms)


def schedule_cancellations(
    state: engine_state.EngineState,
    service: str,
    out_upstreams: list[str],
    now_ms: int,
) -> None:
    """Schedules the cancellation of attempts at upstreams out of rotation.

    Args:
        state: The state of the engine.
        service: The name of the service.
        out_upstreams: The upstreams whose data centre is out of rotation. A
            cancellation scheduled for any other upstream is dropped.
        now_ms: The time in milliseconds.
    """
    for key in list(state.cancel_times_ms):
        if key[0] == service and key[1] not in out_upstreams:
            del state.cancel_times_ms[key]
    pool = state.pools_by_service[service]
    for name in out_upstreams:
        limiter = pool.limiter(name)
        if limiter is not None and limiter.in_flight > 0:
            state.cancel_times_ms.setdefault(
                (service, name), now_ms + OUT_GRACE_PERIOD_MS
            )


def cancel_due_attempts(state: engine_state.EngineState, now_ms: int) -> None:
    """Cancels attempts whose grace period has ended."""
    for key, at_ms in list(state.cancel_times_ms.items()):
        if now_ms < at_ms:
            continue
        del state.cancel_times_ms[key]
        _cancel_attempts(state, *key, now_ms)


def _cancel_attempts(
    state: engine_state.EngineState, service: str, upstream: str, now_ms: int
) -> None:
    lost = data.AttemptFault.CONNECTION_LOST
    for attempt in list(state.attempt_table.by_id.values()):
        if (attempt.service, attempt.upstream) != (service, upstream):
            continue
        state.actions.append(data.CancelAttempt(attempt.attempt_id))
        failed = data.AttemptFailed(attempt.attempt_id, lost)
        attempt_results.handle_failure(state, failed, now_ms)


def _refuse_hopeless(
    state: engine_state.EngineState, progress: life_cycle.Progress, now_ms: int
) -> None:
    if now_ms < progress.wait_deadline_ms:
        return
    pool = state.pool_of(progress)
    hopeless = failures.DeadlineHopeless(pool.attempt_latency.upper_estimate_ms)
    finishing.refuse(state, pool, progress, hopeless)


def _finish_unanswered(
    state: engine_state.EngineState, progress: life_cycle.Progress, now_ms: int
) -> None:
    attempt = attempt_results.cancel_attempt(state, progress)
    if attempt is not None:
        pool = state.pool_of(progress)
        pool.attempt_latency.record(now_ms - attempt.sent_ms)
        limiter = pool.limiter(attempt.upstream)
        if limiter is not None:
            limiter.record_failure(None, now_ms)
    finishing.finish(state, progress, failures.DeadlineExceeded(), None)
