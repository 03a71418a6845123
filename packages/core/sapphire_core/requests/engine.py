"""The decisions of one host on requests: events in, actions out."""

import collections
import random

from sapphire_core.requests import admission
from sapphire_core.requests import attempt_results
from sapphire_core.requests import claims
from sapphire_core.requests import data
from sapphire_core.requests import engine_state
from sapphire_core.requests import expiry
from sapphire_core.requests import retry_budget
from sapphire_core.requests import sending
from sapphire_core.requests import service_pool
from sapphire_core.requests import slot_loans
from sapphire_data import records

STORE_CALLS_PER_SECOND = 200.0
POLL_MS = 20
LIVE_STATES = (records.MemberState.ALIVE, records.MemberState.SUSPECT)


class Engine:
    """The request life cycle of one host, without input or output."""

    def __init__(
        self,
        host_id: str,
        rng: random.Random,
        *,
        store_calls_per_second: float = STORE_CALLS_PER_SECOND,
    ) -> None:
        """Creates the engine.

        Args:
            host_id: The identity of the host process, new at each start.
            rng: The source of random choices.
            store_calls_per_second: The store calls for claims that all hosts
                together may make.
        """
        batcher = claims.ClaimBatcher(store_calls_per_second)
        self._state = engine_state.EngineState(host_id, rng, batcher)
        self._store_calls_per_second = store_calls_per_second
        self._host_ids: tuple[str, ...] = (host_id,)
        self._is_fresh = True
        self._is_configured = False

    @property
    def counters(self) -> collections.Counter[str]:
        """The counts of events by name."""
        return self._state.counters

    @property
    def store_calls(self) -> int:
        """The store calls made."""
        return self._state.claim_batcher.call_count

    @property
    def is_draining(self) -> bool:
        """Whether new requests are refused."""
        return self._state.is_draining

    @property
    def is_idle(self) -> bool:
        """Whether no request is in flight and no store call is awaited."""
        if self._state.progress_by_serial:
            return False
        return self._state.claim_batcher.is_idle

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
        for service in configuration.services_by_name.values():
            pool = self._pool(service, now_ms)
            out = pool.apply_configuration(
                service,
                configuration.data_centres_by_name,
                now_ms,
                is_first=not self._is_configured,
            )
            expiry.schedule_cancellations(
                self._state, service.name, out, now_ms
            )
        self._is_configured = True
        self._assign_slots()
        return self._process_due_work(now_ms)

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
        own_id = self._state.host_id
        live.add(own_id)
        self._host_ids = tuple(sorted(live))
        self._is_fresh = view.is_fresh
        peers = (host for host in self._host_ids if host != own_id)
        self._state.peer_ids = tuple(peers)
        rate = self._store_calls_per_second / len(live)
        self._state.claim_batcher.calls_per_second = rate
        self._assign_slots()
        return self._process_due_work(now_ms)

    def begin_drain(self) -> None:
        """Refuses new requests from now on; those in flight go on."""
        self._state.is_draining = True

    def handle(self, event: data.Event, now_ms: int) -> list[data.Action]:
        """Takes in an event.

        Args:
            event: The event.
            now_ms: The time in milliseconds.

        Returns:
            The actions that follow, in order.
        """
        state = self._state
        match event:
            case data.RequestArrived(request):
                admission.handle_arrival(state, request, now_ms)
            case data.CallerDisconnected(serial):
                attempt_results.handle_caller_disconnected(state, serial)
            case data.AnswerArrived():
                attempt_results.handle_answer(state, event, now_ms)
            case data.AttemptFailed():
                attempt_results.handle_failure(state, event, now_ms)
            case data.ClaimsApplied():
                admission.handle_claims_applied(state, event, now_ms)
            case data.ClaimsFailed():
                admission.handle_claims_failed(state, event, now_ms)
            case data.PeerMessageReceived(message):
                slot_loans.apply_peer_message(state, message, now_ms)
            case data.Tick():
                pass
        return self._process_due_work(now_ms)

    def next_wakeup_ms(self, now_ms: int) -> int | None:
        """Returns when the next Tick is due, or None."""
        state = self._state
        times = list(state.cancel_times_ms.values())
        if state.timers:
            times.append(state.timers[0][0])
        claims_ms = state.claim_batcher.next_wakeup_ms()
        if claims_ms is not None:
            times.append(claims_ms)
        pools = state.pools_by_service.values()
        if any(pool.queue.length for pool in pools):
            times.append(now_ms + POLL_MS)
        return min(times, default=None)

    def _process_due_work(self, now_ms: int) -> list[data.Action]:
        state = self._state
        expiry.expire_requests(state, now_ms)
        expiry.cancel_due_attempts(state, now_ms)
        for pool in state.pools_by_service.values():
            if pool.queue.length:
                sending.dispatch(state, pool, now_ms)
            slot_loans.update(state, pool, now_ms)
        call = state.claim_batcher.poll(now_ms)
        if call is not None:
            state.actions.append(call)
        return state.take_actions()

    def _pool(
        self, service: records.Service, now_ms: int
    ) -> service_pool.ServicePool:
        pool = self._state.pools_by_service.get(service.name)
        if pool is not None:
            return pool
        budget = retry_budget.RetryBudget(
            service.limits.retry_share, updated_ms=now_ms
        )
        pool = service_pool.ServicePool(service, budget)
        self._state.pools_by_service[service.name] = pool
        return pool

    def _assign_slots(self) -> None:
        for pool in self._state.pools_by_service.values():
            pool.assign_slots(
                self._host_ids, self._state.host_id, is_fresh=self._is_fresh
            )

    def _retire_services(self, configuration: records.Configuration) -> None:
        progress = self._state.progress_by_serial.values()
        busy = {each.request.service for each in progress}
        pools_by_service = self._state.pools_by_service
        for name in list(pools_by_service):
            if name in configuration.services_by_name:
                continue
            if name in busy:
                pools_by_service[name].retire()
                continue
            del pools_by_service[name]
