"""Takes requests in: claims their ids, then queues or refuses them.

A refusal may say that a request did not run only when its id is claimed here,
because another arrival of the same id may have run at another host. So the
claim goes before each other decision.
"""

import hashlib

from sapphire_core.requests import data
from sapphire_core.requests import engine_state
from sapphire_core.requests import failures
from sapphire_core.requests import finishing
from sapphire_core.requests import life_cycle
from sapphire_core.requests import service_pool

DRAINING_RETRY_AFTER_MS = 1_000
NO_UPSTREAM_RETRY_AFTER_MS = 2_000
MAX_AWAITING_CLAIM = 256
CLAIM_KEY_CHARACTERS = 32


def claim_key(service: str, idempotency_key: str) -> str:
    """Returns the digest that names a request id in the store."""
    text = f"{service}\0{idempotency_key}"
    return hashlib.sha256(text.encode()).hexdigest()[:CLAIM_KEY_CHARACTERS]


def handle_arrival(
    state: engine_state.EngineState, request: data.Request, now_ms: int
) -> None:
    """Takes in a request that has arrived whole."""
    state.counters["arrived"] += 1
    progress = life_cycle.start(request)
    progress.arrived_while_draining = state.is_draining
    state.progress_by_serial[request.serial] = progress
    pool = state.pools_by_service.get(request.service)
    if pool is None:
        unknown = failures.UnknownService(request.service)
        finishing.finish(state, progress, unknown, None)
        return
    if request.needs_claim:
        _claim(state, pool, progress, now_ms)
        return
    _admit(state, pool, progress, now_ms)


def handle_claims_applied(
    state: engine_state.EngineState, event: data.ClaimsApplied, now_ms: int
) -> None:
    """Takes in the store's answer to a batch of claims."""
    held, lost = state.claim_batcher.handle_applied(event)
    for claim in held:
        progress = _claimant(state, claim)
        if progress is None:
            continue
        progress.is_claim_held = True
        progress.may_have_run = False
        pool = state.pool_of(progress)
        pool.awaiting_claim.discard(progress.request.serial)
        _admit(state, pool, progress, now_ms)
    for claim in lost:
        progress = _claimant(state, claim)
        if progress is not None:
            finishing.finish_duplicate(state, progress)


def handle_claims_failed(
    state: engine_state.EngineState, event: data.ClaimsFailed, now_ms: int
) -> None:
    """Takes in a failed store call; refuses all that wait if it is down."""
    state.counters["claims_failed"] += 1
    for claim in state.claim_batcher.handle_failed(event, now_ms):
        progress = _claimant(state, claim)
        if progress is not None:
            _refuse_unclaimed(state, progress, now_ms)


def set_wait_deadline(
    state: engine_state.EngineState,
    pool: service_pool.ServicePool,
    progress: life_cycle.Progress,
    now_ms: int,
) -> None:
    """Sets how long a request may wait before it is hopeless.

    A request whose deadline is closer than the likely latency still waits for
    half of its time, since the estimate may be too high.
    """
    request = progress.request
    remaining_ms = request.deadline_ms - now_ms
    progress.wait_deadline_ms = max(
        now_ms + remaining_ms // 2,
        request.deadline_ms - pool.attempt_latency.upper_estimate_ms,
    )
    state.add_timer(progress.wait_deadline_ms, request.serial)


def _claim(
    state: engine_state.EngineState,
    pool: service_pool.ServicePool,
    progress: life_cycle.Progress,
    now_ms: int,
) -> None:
    request = progress.request
    if (
        state.claim_batcher.is_down(now_ms)
        or len(pool.awaiting_claim) >= MAX_AWAITING_CLAIM
    ):
        _refuse_unclaimed(state, progress, now_ms)
        return
    key = claim_key(request.service, request.idempotency_key or "")
    if key in state.serials_by_claim_key:
        finishing.finish_duplicate(state, progress)
        return
    claim = data.Claim(key, f"{state.host_id}/{request.serial}")
    progress.claim = claim
    state.serials_by_claim_key[key] = request.serial
    state.claim_batcher.create(claim)
    pool.awaiting_claim.add(request.serial)
    set_wait_deadline(state, pool, progress, now_ms)


def _refuse_unclaimed(
    state: engine_state.EngineState, progress: life_cycle.Progress, now_ms: int
) -> None:
    retry_after_ms = state.claim_batcher.retry_after_ms(now_ms)
    refusal = failures.ClaimsUnavailable()
    finishing.finish(state, progress, refusal, retry_after_ms)


def _claimant(
    state: engine_state.EngineState, claim: data.Claim
) -> life_cycle.Progress | None:
    serial = state.serials_by_claim_key.get(claim.key)
    if serial is None:
        return None
    progress = state.progress_by_serial[serial]
    return progress if progress.claim == claim else None


def _admit(
    state: engine_state.EngineState,
    pool: service_pool.ServicePool,
    progress: life_cycle.Progress,
    now_ms: int,
) -> None:
    request = progress.request
    if progress.arrived_while_draining:
        refusal = failures.HostDraining()
        finishing.finish(state, progress, refusal, DRAINING_RETRY_AFTER_MS)
        return
    if not pool.limiters_by_name:
        finishing.finish(
            state, progress, failures.NoUpstream(), NO_UPSTREAM_RETRY_AFTER_MS
        )
        return
    hopeless = _hopeless(pool, request, now_ms)
    if hopeless is not None:
        finishing.refuse(state, pool, progress, hopeless)
        return
    if not _make_room(state, pool, request):
        full = failures.QueueFull(pool.service.limits.max_queue)
        finishing.refuse(state, pool, progress, full)
        return
    set_wait_deadline(state, pool, progress, now_ms)
    pool.queue.push(request.caller, request.serial)


def _hopeless(
    pool: service_pool.ServicePool, request: data.Request, now_ms: int
) -> failures.DeadlineHopeless | None:
    remaining_ms = request.deadline_ms - now_ms
    expected_ms = pool.expected_wait_ms(request.caller)
    if pool.queue.length:
        expected_ms += pool.attempt_latency.upper_estimate_ms
    if expected_ms < remaining_ms:
        return None
    return failures.DeadlineHopeless(expected_ms)


def _make_room(
    state: engine_state.EngineState,
    pool: service_pool.ServicePool,
    request: data.Request,
) -> bool:
    """Makes room in a full queue at the cost of the busiest caller."""
    limit = pool.service.limits.max_queue
    if pool.queue.length < limit:
        return True
    longest = pool.queue.newest_of_busiest()
    if longest is None:
        return False
    caller, serial = longest
    own_count = pool.queue.count_of(request.caller)
    if pool.queue.count_of(caller) <= own_count + 1:
        return False
    evicted = state.progress_by_serial[serial]
    finishing.refuse(state, pool, evicted, failures.QueueFull(limit))
    return True
