"""Ends what its time has run out for."""

import heapq

from sapphire_core.requests import attempt_results
from sapphire_core.requests import data
from sapphire_core.requests import engine_state
from sapphire_core.requests import failures
from sapphire_core.requests import finishing
from sapphire_core.requests import life_cycle

# Requests at a data centre that was taken out may finish for so long.
OUT_GRACE_PERIOD_MS = 1_000


def expire_requests(state: engine_state.EngineState, now_ms: int) -> None:
    """Refuses hopeless requests, and gives up those past their deadline."""
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
    state: engine_state.EngineState, service: str, out: list[str], now_ms: int
) -> None:
    """Sets when attempts at upstreams that are out end.

    Args:
        state: The state of the host.
        service: The name of the service.
        out: The upstreams whose data centre is out.
        now_ms: The time in milliseconds.
    """
    for key in list(state.cancel_times_ms):
        if key[0] == service and key[1] not in out:
            del state.cancel_times_ms[key]
    pool = state.pools_by_service[service]
    for name in out:
        limiter = pool.limiter(name)
        if limiter is not None and limiter.in_flight > 0:
            state.cancel_times_ms.setdefault(
                (service, name), now_ms + OUT_GRACE_PERIOD_MS
            )


def cancel_due_attempts(state: engine_state.EngineState, now_ms: int) -> None:
    """Ends the attempts at upstreams whose data centre is out."""
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
