"""The state that one host keeps for one service: upstreams, queue, budgets."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import random

from sapphire_core.requests import data
from sapphire_core.requests import fair_queue
from sapphire_core.requests import latency_estimate
from sapphire_core.requests import opportunistic_limiter
from sapphire_core.requests import retry_budget
from sapphire_core.requests import slot_assignment
from sapphire_core.requests import slot_need_schedule
from sapphire_core.requests import upstream_limiter
from sapphire_data import records

# An opportunistic attempt may be shed and then need a retry, so it is paid for
# in advance. It leaves this reserve for retries of requests whose upstream has
# failed.
RETRY_RESERVE = 1.0
OPPORTUNISTIC_RETRY_COST = 2.0
RETRY_COST = 1.0
MIN_RETRY_AFTER_MS = 100


@dataclasses.dataclass(slots=True)
class ServicePool:
    """The state of one service at one host.

    Attributes:
        service: The service as configured.
        limiters_by_name: The upstreams that get new requests.
        retired_limiters_by_name: The upstreams that get no new requests but
            still have attempts in flight.
        queue: The requests that wait for a slot.
        awaiting_claim: The requests that wait for their claim.
        budget: The retry budget.
        attempt_latency: The latency of attempts at all upstreams.
        opportunistic: The rate limit of opportunistic attempts.
        need_schedule: When other hosts are asked for a slot.
        need_ends_ms_by_host: When the need of another host for a slot
            expires, by host.
        is_fresh: Whether peers have confirmed this host recently. If not, it
            sends nothing to cold upstreams.
    """

    service: records.Service
    budget: retry_budget.RetryBudget
    limiters_by_name: dict[str, upstream_limiter.UpstreamLimiter] = (
        dataclasses.field(default_factory=dict)
    )
    retired_limiters_by_name: dict[str, upstream_limiter.UpstreamLimiter] = (
        dataclasses.field(default_factory=dict)
    )
    queue: fair_queue.FairQueue = dataclasses.field(
        default_factory=fair_queue.FairQueue
    )
    awaiting_claim: set[int] = dataclasses.field(default_factory=set)
    attempt_latency: latency_estimate.LatencyEstimate = dataclasses.field(
        default_factory=latency_estimate.LatencyEstimate
    )
    opportunistic: opportunistic_limiter.OpportunisticLimiter = (
        dataclasses.field(
            default_factory=opportunistic_limiter.OpportunisticLimiter
        )
    )
    need_schedule: slot_need_schedule.SlotNeedSchedule = dataclasses.field(
        default_factory=slot_need_schedule.SlotNeedSchedule
    )
    need_ends_ms_by_host: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    is_fresh: bool = True

    def limiter(self, name: str) -> upstream_limiter.UpstreamLimiter | None:
        """Returns the limiter of an upstream, whether retired or not."""
        found = self.limiters_by_name.get(name)
        if found is not None:
            return found
        return self.retired_limiters_by_name.get(name)

    def apply_configuration(
        self,
        service: records.Service,
        data_centres_by_name: Mapping[str, records.DataCentre],
        now_ms: int,
        *,
        is_first: bool,
    ) -> list[str]:
        """Applies the configuration of the service.

        Args:
            service: The service as configured.
            data_centres_by_name: The data centres.
            now_ms: The time in milliseconds.
            is_first: Whether this is the first configuration of this host.
                In a later one, an upstream that is new or used again begins
                with slow start.

        Returns:
            The upstreams whose data centre is out of rotation or unknown.
        """
        self.service = service
        self.budget.share = service.limits.retry_share
        current_upstreams = service.generations[-1].upstreams
        limiters_by_name = {}
        out_upstreams = []
        for name, upstream in service.upstreams_by_name.items():
            limiter = self.limiter(name)
            centre = data_centres_by_name.get(upstream.data_centre)
            if centre is None or centre.state is records.DataCentreState.OUT:
                out_upstreams.append(name)
                continue
            if upstream.intent is records.UpstreamIntent.DRAIN:
                continue
            if name not in current_upstreams:
                continue
            if limiter is None:
                limiter = upstream_limiter.UpstreamLimiter(upstream)
            if not is_first and name not in self.limiters_by_name:
                limiter.begin_slow_start(now_ms)
            limiter.upstream = upstream
            limiters_by_name[name] = limiter
        previous = self.limiters_by_name | self.retired_limiters_by_name
        self.retired_limiters_by_name = {
            name: limiter
            for name, limiter in previous.items()
            if name not in limiters_by_name and limiter.in_flight > 0
        }
        self.limiters_by_name = limiters_by_name
        return out_upstreams

    def retire(self) -> None:
        """Sends no new requests; attempts in flight are finished."""
        self.retired_limiters_by_name |= self.limiters_by_name
        self.limiters_by_name = {}

    def assign_slots(
        self, host_ids: Iterable[str], own_id: str, *, is_fresh: bool
    ) -> None:
        """Assigns the slots of the upstreams anew to the live hosts.

        Args:
            host_ids: The live hosts.
            own_id: This host.
            is_fresh: Whether peers have confirmed this host recently.
        """
        slots_by_upstream = {
            name: limiter.upstream.slots
            for name, limiter in self.limiters_by_name.items()
        }
        owned = slot_assignment.assigned_slots(
            self.service.name, slots_by_upstream, host_ids, own_id
        )
        for name, limiter in self.limiters_by_name.items():
            limiter.slot_numbers = tuple(owned.get(name, ()))
        self.is_fresh = is_fresh

    def select_upstream(
        self, failed_upstreams: tuple[str, ...], now_ms: int, rng: random.Random
    ) -> tuple[upstream_limiter.UpstreamLimiter, bool] | None:
        """Selects the upstream of the next attempt.

        An opportunistic attempt is made only if no own or borrowed slot is
        free, and no host has ever lent one to this host or it has no slots
        of its own.

        Args:
            failed_upstreams: The upstreams at which an attempt of the request
                failed; avoided if there are others.
            now_ms: The time in milliseconds.
            rng: The source of random choices.

        Returns:
            The limiter of the upstream, and whether the attempt is
            opportunistic; None if no attempt may be made now.
        """
        with_free_slot = [
            limiter
            for limiter in self.limiters_by_name.values()
            if limiter.has_free_slot(now_ms)
            and (self.is_fresh or not limiter.is_cold(now_ms))
        ]
        if with_free_slot:
            return self._select_least_loaded(
                with_free_slot, failed_upstreams, rng
            ), False
        if self.need_schedule.has_borrowed and self.slot_count() > 0:
            return None
        if not self.opportunistic.allows_attempt(now_ms):
            return None
        self.budget.refill(now_ms)
        if self.budget.tokens < RETRY_RESERVE + OPPORTUNISTIC_RETRY_COST:
            return None
        opportunistic = [
            limiter
            for limiter in self.limiters_by_name.values()
            if limiter.allows_opportunistic_attempt(now_ms)
        ]
        if not opportunistic:
            return None
        self.budget.spend(OPPORTUNISTIC_RETRY_COST)
        self.opportunistic.record_sent()
        return self._select_least_loaded(
            opportunistic, failed_upstreams, rng
        ), True

    def record_opportunistic_end(
        self,
        fault: data.AttemptFault | None,
        now_ms: int,
        *,
        is_answered: bool,
    ) -> None:
        """Records how an opportunistic attempt ended.

        The cost of its retry is refunded unless the upstream shed it.

        Args:
            fault: How it failed, or None if it was answered or cancelled.
            now_ms: The time in milliseconds.
            is_answered: Whether it was answered.
        """
        if fault is data.AttemptFault.SHED:
            self.opportunistic.record_shed(now_ms)
            return
        self.opportunistic.record_end(is_answered=is_answered)
        self.budget.refund(OPPORTUNISTIC_RETRY_COST)

    def _select_least_loaded(
        self,
        limiters: list[upstream_limiter.UpstreamLimiter],
        failed_upstreams: tuple[str, ...],
        rng: random.Random,
    ) -> upstream_limiter.UpstreamLimiter:
        untried = [
            each
            for each in limiters
            if each.upstream.name not in failed_upstreams
        ]
        candidates = untried or limiters
        least = min(limiter.in_flight for limiter in candidates)
        return rng.choice(
            [each for each in candidates if each.in_flight == least]
        )

    def slot_count(self) -> int:
        """Returns the number of slots assigned to this host."""
        return sum(
            len(limiter.slot_numbers)
            for limiter in self.limiters_by_name.values()
        )

    def concurrency(self) -> int:
        """Returns how many attempts are expected in flight under load."""
        own = self.slot_count()
        in_flight = sum(
            limiter.in_flight for limiter in self.limiters_by_name.values()
        )
        return max(1, own, in_flight)

    def expected_wait_ms(self, caller: str) -> int:
        """Returns the estimated time in the queue of a caller's new request."""
        rank = self.queue.count_of(caller)
        ahead = self.queue.count_ahead(caller, rank)
        return round(ahead * self.attempt_latency.mean_ms / self.concurrency())

    def retry_after_ms(self, caller: str, rng: random.Random) -> int:
        """Returns after which time a refused caller may retry, with jitter."""
        base_ms = max(MIN_RETRY_AFTER_MS, self.expected_wait_ms(caller))
        return base_ms + rng.randrange(base_ms)
