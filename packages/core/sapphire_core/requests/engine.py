"""The decisions of one host on requests: events in, actions out."""

import collections
import hashlib
import heapq
import random

from sapphire_core.requests import attempts
from sapphire_core.requests import claims
from sapphire_core.requests import data
from sapphire_core.requests import failures
from sapphire_core.requests import life_cycle
from sapphire_core.requests import retry_budget
from sapphire_core.requests import service_pool
from sapphire_core.requests import upstream_gate
from sapphire_data import records

STORE_CALLS_PER_SECOND = 200.0
POLL_MS = 20
DRAINING_RETRY_AFTER_MS = 1_000
DUPLICATE_RETRY_AFTER_MS = 1_000
OUT_RETRY_AFTER_MS = 2_000
# Requests at a data centre that was taken out may finish for so long.
OUT_GRACE_MS = 1_000
# The time that an answer needs from this host to the caller.
RETURN_MARGIN_MS = 5
LIVE_STATES = (records.MemberState.ALIVE, records.MemberState.SUSPECT)


def claim_key(service: str, idempotency_key: str) -> str:
    """Returns the digest that names a request id in the store."""
    text = f"{service}\0{idempotency_key}"
    return hashlib.sha256(text.encode()).hexdigest()[:32]


class Engine:
    """The request life cycle of one host, without input or output.

    Attributes:
        host_id: The identity of the host process, new at each start.
        claims: The batcher of claims.
        counters: Counts of events by name.
        is_draining: Whether new requests are refused.
    """

    def __init__(
        self,
        host_id: str,
        rng: random.Random,
        *,
        store_calls_per_second: float = STORE_CALLS_PER_SECOND,
    ) -> None:
        self.host_id = host_id
        self.claims = claims.ClaimBatcher(store_calls_per_second)
        self.counters: collections.Counter[str] = collections.Counter()
        self.is_draining = False
        self._rng = rng
        self._store_calls_per_second = store_calls_per_second
        self._host_ids: tuple[str, ...] = (host_id,)
        self._is_fresh = True
        self._pools: dict[str, service_pool.ServicePool] = {}
        self._is_configured = False
        self._progress: dict[int, life_cycle.Progress] = {}
        self._serials_by_claim_key: dict[str, int] = {}
        self._attempts = attempts.AttemptTable()
        self._attempt_number = 0
        self._timers: list[tuple[int, int]] = []
        self._cuts_ms: dict[tuple[str, str], int] = {}
        self._actions: list[data.Action] = []

    @property
    def is_idle(self) -> bool:
        """Whether no request is in flight and no claim call is awaited."""
        return not self._progress and self.claims.in_flight is None

    def set_configuration(
        self, configuration: records.Configuration, now_ms: int
    ) -> list[data.Action]:
        """Takes in a configuration.

        Args:
            configuration: The configuration in force.
            now_ms: The time in milliseconds.

        Returns:
            The actions that follow.
        """
        self._retire_services(configuration)
        for name, service in configuration.services_by_name.items():
            pool = self._pools.get(name)
            is_first = not self._is_configured
            if pool is None:
                budget = retry_budget.RetryBudget(
                    service.limits.retry_share, updated_ms=now_ms
                )
                pool = service_pool.ServicePool(service, budget)
                self._pools[name] = pool
            out = pool.set_service(
                service,
                configuration.data_centres_by_name,
                now_ms,
                is_first=is_first,
            )
            self._schedule_cuts(name, out, now_ms)
        self._is_configured = True
        self._share_slots()
        return self._settle(now_ms)

    def set_view(
        self, view: records.MemberView, now_ms: int
    ) -> list[data.Action]:
        """Takes in the membership.

        Args:
            view: The membership.
            now_ms: The time in milliseconds.

        Returns:
            The actions that follow.
        """
        live = {
            member.host.host_id
            for member in view.members_by_id.values()
            if member.state in LIVE_STATES
        }
        live.add(self.host_id)
        self._host_ids = tuple(sorted(live))
        self._is_fresh = view.is_fresh
        self.claims.calls_per_second = self._store_calls_per_second / len(live)
        self._share_slots()
        return self._settle(now_ms)

    def _share_slots(self) -> None:
        for pool in self._pools.values():
            pool.set_hosts(
                self._host_ids, self.host_id, is_fresh=self._is_fresh
            )

    def begin_drain(self) -> None:
        """Refuses new requests from now on; those in flight go on."""
        self.is_draining = True

    def handle(self, event: data.Event, now_ms: int) -> list[data.Action]:
        """Takes in an event.

        Args:
            event: The event.
            now_ms: The time in milliseconds.

        Returns:
            The actions that follow, in order.
        """
        match event:
            case data.RequestArrived(request):
                self._arrive(request, now_ms)
            case data.CallerLeft(serial):
                self._leave(serial, now_ms)
            case data.AnswerArrived():
                self._answer(event, now_ms)
            case data.AttemptFailed():
                self._fail(event, now_ms)
            case data.ClaimsApplied():
                self._claims_applied(event, now_ms)
            case data.ClaimsFailed():
                self._claims_failed(event, now_ms)
            case data.Tick():
                pass
        return self._settle(now_ms)

    def next_wakeup_ms(self, now_ms: int) -> int | None:
        """Returns when the next Tick is due, or None."""
        times = []
        if self._timers:
            times.append(self._timers[0][0])
        times.extend(self._cuts_ms.values())
        claims_ms = self.claims.next_wakeup_ms()
        if claims_ms is not None:
            times.append(claims_ms)
        if any(pool.queue.length for pool in self._pools.values()):
            times.append(now_ms + POLL_MS)
        return min(times, default=None)

    def _arrive(self, request: data.Request, now_ms: int) -> None:
        self.counters["arrived"] += 1
        progress = life_cycle.Progress(request)
        self._progress[request.serial] = progress
        if self.is_draining:
            refusal = failures.HostDraining()
            self._finish(progress, refusal, DRAINING_RETRY_AFTER_MS)
            return
        pool = self._pools.get(request.service)
        if pool is None:
            refusal_unknown = failures.UnknownService(request.service)
            self._finish(progress, refusal_unknown, None)
            return
        if not pool.gates_by_name:
            self._finish(progress, failures.NoUpstream(), OUT_RETRY_AFTER_MS)
            return
        if not self._admit(pool, progress, now_ms):
            return
        self._add_timer(pool, progress, now_ms)
        if request.is_idempotent or request.idempotency_key is None:
            pool.queue.push(request.caller, request.serial)
            return
        self._claim(pool, progress, now_ms)

    def _admit(
        self,
        pool: service_pool.ServicePool,
        progress: life_cycle.Progress,
        now_ms: int,
    ) -> bool:
        request = progress.request
        remaining_ms = request.deadline_ms - now_ms
        wait_ms = pool.expected_wait_ms(request.caller)
        expected_ms = wait_ms
        if pool.waiting:
            expected_ms += pool.observed.likely_ms
        if expected_ms >= remaining_ms:
            self._refuse(pool, progress, failures.DeadlineHopeless(expected_ms))
            return False
        limit = pool.service.limits.max_queue
        if pool.waiting < limit:
            return True
        longest = pool.queue.longest()
        if longest is not None:
            caller, serial = longest
            own_count = pool.queue.count_of(request.caller)
            if pool.queue.count_of(caller) > own_count + 1:
                evicted = self._progress[serial]
                self._refuse(pool, evicted, failures.QueueFull(limit))
                return True
        self._refuse(pool, progress, failures.QueueFull(limit))
        return False

    def _claim(
        self,
        pool: service_pool.ServicePool,
        progress: life_cycle.Progress,
        now_ms: int,
    ) -> None:
        request = progress.request
        if self.claims.is_down(now_ms):
            retry_after_ms = self.claims.retry_after_ms(now_ms)
            refusal = failures.ClaimsUnavailable()
            self._finish(progress, refusal, retry_after_ms)
            return
        key = claim_key(request.service, request.idempotency_key or "")
        if key in self._serials_by_claim_key:
            self._finish_duplicate(progress)
            return
        claim = data.Claim(key, f"{self.host_id}/{request.serial}")
        progress.claim = claim
        self._serials_by_claim_key[key] = request.serial
        self.claims.create(claim)
        pool.claiming.add(request.serial)

    def _claims_applied(self, event: data.ClaimsApplied, now_ms: int) -> None:
        held, lost = self.claims.applied(event)
        for claim in held:
            progress = self._claimant(claim)
            if progress is None:
                continue
            request = progress.request
            pool = self._pools[request.service]
            pool.claiming.discard(request.serial)
            pool.queue.push(request.caller, request.serial)
        for claim in lost:
            progress = self._claimant(claim)
            if progress is None:
                continue
            self._forget_claim(progress)
            self._finish_duplicate(progress)

    def _claims_failed(self, event: data.ClaimsFailed, now_ms: int) -> None:
        self.counters["claims_failed"] += 1
        for claim in self.claims.failed(event, now_ms):
            progress = self._claimant(claim)
            if progress is None:
                continue
            retry_after_ms = self.claims.retry_after_ms(now_ms)
            self._finish(progress, failures.ClaimsUnavailable(), retry_after_ms)

    def _claimant(self, claim: data.Claim) -> life_cycle.Progress | None:
        serial = self._serials_by_claim_key.get(claim.key)
        if serial is None:
            return None
        progress = self._progress.get(serial)
        if progress is None or progress.claim != claim:
            return None
        return progress

    def _forget_claim(self, progress: life_cycle.Progress) -> None:
        if progress.claim is None:
            return
        serial = self._serials_by_claim_key.get(progress.claim.key)
        if serial == progress.request.serial:
            del self._serials_by_claim_key[progress.claim.key]
        progress.claim = None

    def _finish_duplicate(self, progress: life_cycle.Progress) -> None:
        # The other arrival may have run it, so this one may not say not-run.
        self.counters["duplicate_requests"] += 1
        progress.may_have_run = True
        self._finish(
            progress, failures.DuplicateRequest(), DUPLICATE_RETRY_AFTER_MS
        )

    def _answer(self, event: data.AnswerArrived, now_ms: int) -> None:
        attempt = self._attempts.by_id.get(event.attempt_id)
        gate = None
        if attempt is not None:
            gate = self._pools[attempt.service].gate(attempt.upstream)
        mismatch = self._attempts.match(
            event.attempt_id,
            event.echoed_id,
            must_echo=gate is not None and gate.has_echoed,
        )
        if mismatch is not None:
            self.counters[f"answers_{mismatch.value}"] += 1
        if attempt is None:
            return
        if mismatch is not None:
            fault = data.AttemptFault.MISMATCHED
            failed = data.AttemptFailed(event.attempt_id, fault)
            self._fail(failed, now_ms)
            return
        self._attempts.end(event.attempt_id, is_answered=True)
        pool = self._pools[attempt.service]
        pool.observed.add(now_ms - attempt.sent_ms)
        if gate is not None:
            gate.in_flight -= 1
            gate.has_echoed = event.echoed_id is not None
            gate.note_boot(event.boot_id, now_ms)
            gate.note_success()
        progress = self._progress[attempt.serial]
        self._end(progress, life_cycle.Trigger.ANSWER, None, event.answer, None)

    def _fail(self, event: data.AttemptFailed, now_ms: int) -> None:
        attempt = self._attempts.by_id.get(event.attempt_id)
        if attempt is None:
            return
        fault = self._checked_fault(event, attempt)
        self._attempts.end(event.attempt_id, is_answered=False)
        self.counters[f"attempts_{fault.value}"] += 1
        pool = self._pools[attempt.service]
        gate = pool.gate(attempt.upstream)
        if gate is not None:
            gate.in_flight -= 1
            if fault is data.AttemptFault.SHED:
                gate.note_boot(event.boot_id, now_ms)
            gate.note_fault(fault, now_ms)
        progress = self._progress[attempt.serial]
        progress.attempt_id = None
        progress.tried += (attempt.upstream,)
        if fault not in data.PROVES_NOT_RUN:
            progress.may_have_run = True
        cost = service_pool.OWN_RETRY_COST
        if attempt.is_borrowed:
            cost = service_pool.BORROWED_RETRY_COST
        self._retry(pool, progress, fault, cost, now_ms)

    def _checked_fault(
        self, event: data.AttemptFailed, attempt: attempts.Attempt
    ) -> data.AttemptFault:
        # A shed that belongs to another attempt proves nothing of this one.
        if event.fault is not data.AttemptFault.SHED:
            return event.fault
        gate = self._pools[attempt.service].gate(attempt.upstream)
        mismatch = self._attempts.match(
            event.attempt_id,
            event.echoed_id,
            must_echo=gate is not None and gate.has_echoed,
        )
        if mismatch is None:
            return event.fault
        self.counters[f"answers_{mismatch.value}"] += 1
        return data.AttemptFault.MISMATCHED

    def _retry(
        self,
        pool: service_pool.ServicePool,
        progress: life_cycle.Progress,
        fault: data.AttemptFault,
        cost: float,
        now_ms: int,
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
            self._add_timer(pool, progress, now_ms)
            pool.queue.push(request.caller, request.serial, is_first=True)
            return
        if progress.may_have_run:
            self._finish(progress, failures.AnswerLost(fault.value), None)
            return
        refusal = failures.RetriesExhausted(fault.value)
        self._refuse(pool, progress, refusal)

    def _leave(self, serial: int, now_ms: int) -> None:
        progress = self._progress.get(serial)
        if progress is None:
            return
        self._cancel_attempt(progress)
        self._end(progress, life_cycle.Trigger.CANCEL, None, None, None)

    def _cancel_attempt(self, progress: life_cycle.Progress) -> None:
        if progress.attempt_id is None:
            return
        attempt = self._attempts.end(progress.attempt_id, is_answered=False)
        progress.attempt_id = None
        progress.may_have_run = True
        if attempt is None:
            return
        gate = self._pools[attempt.service].gate(attempt.upstream)
        if gate is not None:
            gate.in_flight -= 1
        self._actions.append(data.CancelAttempt(attempt.attempt_id))

    def _refuse(
        self,
        pool: service_pool.ServicePool,
        progress: life_cycle.Progress,
        refusal: failures.RequestFailure,
    ) -> None:
        caller = progress.request.caller
        retry_after_ms = pool.retry_after_ms(caller, self._rng)
        self._finish(progress, refusal, retry_after_ms)

    def _finish(
        self,
        progress: life_cycle.Progress,
        failure: failures.RequestFailure,
        retry_after_ms: int | None,
    ) -> None:
        trigger = life_cycle.Trigger.REFUSE
        if progress.may_have_run:
            trigger = life_cycle.Trigger.GIVE_UP
        self._end(progress, trigger, failure, None, retry_after_ms)

    def _end(
        self,
        progress: life_cycle.Progress,
        trigger: life_cycle.Trigger,
        failure: failures.RequestFailure | None,
        answer: object | None,
        retry_after_ms: int | None,
    ) -> None:
        request = progress.request
        life_cycle.advance(progress, trigger)
        outcome = life_cycle.OUTCOMES_BY_STATE[progress.state]
        pool = self._pools.get(request.service)
        if pool is not None:
            pool.queue.remove(request.caller, request.serial)
            pool.claiming.discard(request.serial)
        claim = progress.claim
        self._forget_claim(progress)
        if claim is not None and not progress.may_have_run and answer is None:
            self.claims.withdraw(claim)
        self._progress.pop(request.serial, None)
        self.counters[f"outcome_{outcome.value}"] += 1
        if failure is not None:
            self.counters[f"failure_{failure.code}"] += 1
        self._actions.append(
            data.Finish(
                request.serial, outcome, failure, answer, retry_after_ms
            )
        )

    def _add_timer(
        self,
        pool: service_pool.ServicePool,
        progress: life_cycle.Progress,
        now_ms: int,
    ) -> None:
        # A request whose deadline is closer than the likely latency still
        # waits for half of its time, since the estimate may be too high.
        request = progress.request
        remaining_ms = request.deadline_ms - now_ms
        progress.wait_until_ms = max(
            now_ms + remaining_ms // 2,
            request.deadline_ms - pool.observed.likely_ms,
        )
        entry = (progress.wait_until_ms, request.serial)
        heapq.heappush(self._timers, entry)

    def _expire(self, now_ms: int) -> None:
        while self._timers and self._timers[0][0] <= now_ms:
            _, serial = heapq.heappop(self._timers)
            progress = self._progress.get(serial)
            if progress is None:
                continue
            pool = self._pools[progress.request.service]
            if progress.state is life_cycle.State.QUEUED:
                if now_ms < progress.wait_until_ms:
                    continue
                likely_ms = pool.observed.likely_ms
                refusal = failures.DeadlineHopeless(likely_ms)
                self._refuse(pool, progress, refusal)
                continue
            if now_ms < progress.request.deadline_ms:
                continue
            self._go_silent(pool, progress, now_ms)

    def _go_silent(
        self,
        pool: service_pool.ServicePool,
        progress: life_cycle.Progress,
        now_ms: int,
    ) -> None:
        attempt = self._attempts.by_id.get(progress.attempt_id or "")
        self._cancel_attempt(progress)
        if attempt is not None:
            pool.observed.add(now_ms - attempt.sent_ms)
            gate = pool.gate(attempt.upstream)
            if gate is not None:
                gate.note_fault(None, now_ms)
        self._finish(progress, failures.DeadlineExceeded(), None)

    def _settle(self, now_ms: int) -> list[data.Action]:
        self._expire(now_ms)
        self._cut_due(now_ms)
        for pool in self._pools.values():
            self._dispatch(pool, now_ms)
        call = self.claims.poll(now_ms)
        if call is not None:
            self._actions.append(call)
        actions = self._actions
        self._actions = []
        return actions

    def _dispatch(self, pool: service_pool.ServicePool, now_ms: int) -> None:
        if not pool.gates_by_name:
            self._refuse_waiting(pool)
            return
        while True:
            serial = pool.queue.peek()
            if serial is None:
                return
            progress = self._progress[serial]
            picked = pool.pick(progress.tried, now_ms, self._rng)
            if picked is None:
                return
            gate, is_borrowed = picked
            pool.queue.pop()
            self._send(pool, progress, gate, now_ms, is_borrowed=is_borrowed)

    def _refuse_waiting(self, pool: service_pool.ServicePool) -> None:
        serials = list(pool.claiming)
        while (popped := pool.queue.pop()) is not None:
            serials.append(popped[1])
        for serial in serials:
            progress = self._progress[serial]
            self._finish(progress, failures.NoUpstream(), OUT_RETRY_AFTER_MS)

    def _send(
        self,
        pool: service_pool.ServicePool,
        progress: life_cycle.Progress,
        gate: upstream_gate.UpstreamGate,
        now_ms: int,
        *,
        is_borrowed: bool,
    ) -> None:
        request = progress.request
        life_cycle.advance(progress, life_cycle.Trigger.SEND)
        self._attempt_number += 1
        attempt_id = f"{self.host_id}-{self._attempt_number}"
        progress.attempt_id = attempt_id
        if progress.attempt_count == 0:
            pool.budget.earn()
        progress.attempt_count += 1
        gate.in_flight += 1
        attempt = attempts.Attempt(
            attempt_id,
            request.serial,
            request.service,
            gate.upstream.name,
            is_borrowed,
            now_ms,
        )
        self._attempts.add(attempt)
        heapq.heappush(self._timers, (request.deadline_ms, request.serial))
        self.counters["attempts"] += 1
        remaining_ms = request.deadline_ms - now_ms - RETURN_MARGIN_MS
        retries_left = request.retries_left - progress.attempt_count + 1
        self._actions.append(
            data.Send(
                request.serial,
                attempt_id,
                gate.upstream.name,
                max(1, remaining_ms),
                max(0, retries_left),
            )
        )

    def _schedule_cuts(self, service: str, out: list[str], now_ms: int) -> None:
        for key in list(self._cuts_ms):
            if key[0] == service and key[1] not in out:
                del self._cuts_ms[key]
        pool = self._pools[service]
        for name in out:
            gate = pool.gate(name)
            if gate is not None and gate.in_flight > 0:
                self._cuts_ms.setdefault((service, name), now_ms + OUT_GRACE_MS)

    def _cut_due(self, now_ms: int) -> None:
        for key, at_ms in list(self._cuts_ms.items()):
            if now_ms < at_ms:
                continue
            del self._cuts_ms[key]
            self._cut(*key, now_ms)

    def _cut(self, service: str, upstream: str, now_ms: int) -> None:
        for attempt in list(self._attempts.by_id.values()):
            if (attempt.service, attempt.upstream) != (service, upstream):
                continue
            self._actions.append(data.CancelAttempt(attempt.attempt_id))
            lost = data.AttemptFault.CONNECTION_LOST
            self._fail(data.AttemptFailed(attempt.attempt_id, lost), now_ms)

    def _retire_services(self, configuration: records.Configuration) -> None:
        busy = {p.request.service for p in self._progress.values()}
        for name in list(self._pools):
            if name in configuration.services_by_name:
                continue
            if name in busy:
                self._pools[name].retire()
                continue
            del self._pools[name]
