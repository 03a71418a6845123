"""Final outcomes of requests: answers, refusals and cancellations."""

from sapphire_core.requests import data
from sapphire_core.requests import engine_state
from sapphire_core.requests import failures
from sapphire_core.requests import life_cycle
from sapphire_core.requests import service_pool

DUPLICATE_RETRY_AFTER_MS = 1_000


def refuse(
    state: engine_state.EngineState,
    pool: service_pool.ServicePool,
    progress: life_cycle.Progress,
    refusal: failures.RequestFailure,
) -> None:
    """Ends a request without an answer, with a time for the caller to retry."""
    caller = progress.request.caller
    retry_after_ms = pool.retry_after_ms(caller, state.rng)
    finish(state, progress, refusal, retry_after_ms)


def finish(
    state: engine_state.EngineState,
    progress: life_cycle.Progress,
    failure: failures.RequestFailure,
    retry_after_ms: int | None,
) -> None:
    """Ends a request without an answer.

    Args:
        state: The state of the engine.
        progress: The request; its outcome is UNKNOWN if it may have run.
        failure: Why there is no answer.
        retry_after_ms: After which time its caller may retry, or None.
    """
    trigger = life_cycle.Trigger.REFUSE
    if progress.may_have_run:
        trigger = life_cycle.Trigger.GIVE_UP
    _end(
        state,
        progress,
        trigger,
        failure=failure,
        retry_after_ms=retry_after_ms,
    )


def finish_duplicate(
    state: engine_state.EngineState, progress: life_cycle.Progress
) -> None:
    """Ends a request whose id is claimed by another arrival."""
    state.counters["duplicate_requests"] += 1
    detach_claim(state, progress)
    finish(
        state, progress, failures.DuplicateRequest(), DUPLICATE_RETRY_AFTER_MS
    )


def answer(
    state: engine_state.EngineState,
    progress: life_cycle.Progress,
    upstream_answer: object,
) -> None:
    """Ends a request with the complete answer of its upstream."""
    _end(
        state,
        progress,
        life_cycle.Trigger.ANSWER,
        upstream_answer=upstream_answer,
    )


def cancel(
    state: engine_state.EngineState, progress: life_cycle.Progress
) -> None:
    """Ends a request whose caller has disconnected."""
    _end(state, progress, life_cycle.Trigger.CANCEL)


def detach_claim(
    state: engine_state.EngineState, progress: life_cycle.Progress
) -> None:
    """Detaches a request from its claim, without releasing it in the store."""
    if progress.claim is None:
        return
    key = progress.claim.key
    if state.serials_by_claim_key.get(key) == progress.request.serial:
        del state.serials_by_claim_key[key]
    progress.claim = None


def _end(
    state: engine_state.EngineState,
    progress: life_cycle.Progress,
    trigger: life_cycle.Trigger,
    *,
    failure: failures.RequestFailure | None = None,
    upstream_answer: object | None = None,
    retry_after_ms: int | None = None,
) -> None:
    request = progress.request
    life_cycle.advance(progress, trigger)
    outcome = life_cycle.OUTCOMES_BY_STATE[progress.state]
    pool = state.pools_by_service.get(request.service)
    if pool is not None:
        pool.queue.remove(request.caller, request.serial)
        pool.awaiting_claim.discard(request.serial)
    claim = progress.claim
    may_have_run_here = progress.is_claim_held and progress.may_have_run
    is_answered = outcome is data.Outcome.ANSWERED
    detach_claim(state, progress)
    if claim is not None and not may_have_run_here and not is_answered:
        state.claim_batcher.withdraw(claim)
    state.progress_by_serial.pop(request.serial, None)
    state.counters[f"outcome_{outcome.value}"] += 1
    if failure is not None:
        state.counters[f"failure_{failure.code}"] += 1
    state.actions.append(
        data.Finish(
            request.serial, outcome, failure, upstream_answer, retry_after_ms
        )
    )
