"""What one host keeps for one service: upstreams, queue and budgets."""

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

# Trying a slot of another host may end in a shed and then cost a retry. The
# reserve is kept for retries of requests whose upstream has failed.
RETRY_RESERVE = 1.0
OPPORTUNISTIC_RETRY_COST = 2.0
RETRY_COST = 1.0
MIN_RETRY_AFTER_MS = 100


@dataclasses.dataclass(slots=True)
class ServicePool:
    """The state of one service at one host.

    Attributes:
        service: The service as configured.
        limiters_by_name: The upstreams that may take new work.
        retired_limiters_by_name: Upstreams that finish what they have.
        queue: The requests that may be sent.
        awaiting_claim: The requests that wait for their claim.
        budget: The retry budget.
        attempt_latency: The time that upstreams take.
        opportunistic: How often slots of other hosts are tried.
        need_schedule: How often other hosts are asked for a slot.
        need_ends_ms_by_host: Until when another host's need for a slot is
            remembered, by host.
        is_fresh: Whether peers confirmed this host recently; if not, cold
            upstreams get nothing from it.
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
        """Returns the gate of an upstream, whether retired or not."""
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
        """Takes in the configuration of the service.

        Args:
            service: The service.
            data_centres_by_name: The data centres.
            now_ms: The time in milliseconds.
            is_first: Whether this host knew no configuration before. An
                upstream that is new to a running host starts cold.

        Returns:
            The upstreams whose data centre is out; their attempts end.
        """
        self.service = service
        self.budget.share = service.limits.retry_share
        current = service.generations[-1].upstreams
        limiters_by_name = {}
        out = []
        for name, upstream in service.upstreams_by_name.items():
            limiter = self.limiter(name)
            centre = data_centres_by_name.get(upstream.data_centre)
            if centre is None or centre.state is records.DataCentreState.OUT:
                out.append(name)
                continue
            if upstream.intent is records.UpstreamIntent.DRAIN:
                continue
            if name not in current:
                continue
            if limiter is None:
                limiter = upstream_limiter.UpstreamLimiter(upstream)
            if not is_first and name not in self.limiters_by_name:
                limiter.begin_slow_start(now_ms)
            limiter.upstream = upstream
            limiters_by_name[name] = limiter
        known = self.limiters_by_name | self.retired_limiters_by_name
        self.retired_limiters_by_name = {
            name: limiter
            for name, limiter in known.items()
            if name not in limiters_by_name and limiter.in_flight > 0
        }
        self.limiters_by_name = limiters_by_name
        return out

    def retire(self) -> None:
        """Gives no upstream new work; those with attempts finish them."""
        self.retired_limiters_by_name |= self.limiters_by_name
        self.limiters_by_name = {}

    def assign_slots(
        self, host_ids: Iterable[str], own_id: str, *, is_fresh: bool
    ) -> None:
        """Takes in the live hosts and computes this host's slots."""
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
        """Chooses the upstream of the next attempt.

        Args:
            failed_upstreams: The upstreams that failed the request already.
            now_ms: The time in milliseconds.
            rng: The source of random choices.

        Returns:
            The gate and whether its slot is borrowed, or None.
        """
        own = [
            limiter
            for limiter in self.limiters_by_name.values()
            if limiter.has_free_slot(now_ms)
            and (self.is_fresh or not limiter.is_cold(now_ms))
        ]
        if own:
            return self._select_least_loaded(own, failed_upstreams, rng), False
        if self.need_schedule.has_borrowed and self.slot_count() > 0:
            return None
        if not self.opportunistic.allows_attempt(now_ms):
            return None
        self.budget.refill(now_ms)
        if self.budget.tokens < RETRY_RESERVE + OPPORTUNISTIC_RETRY_COST:
            return None
        borrowed = [
            limiter
            for limiter in self.limiters_by_name.values()
            if limiter.allows_opportunistic_attempt(now_ms)
        ]
        if not borrowed:
            return None
        self.budget.spend(OPPORTUNISTIC_RETRY_COST)
        self.opportunistic.record_sent()
        return self._select_least_loaded(borrowed, failed_upstreams, rng), True

    def record_opportunistic_end(
        self,
        fault: data.AttemptFault | None,
        now_ms: int,
        *,
        is_answered: bool,
    ) -> None:
        """Takes in how the use of a borrowed slot ended.

        The price of the retry is given back unless the upstream shed it.
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
            g for g in limiters if g.upstream.name not in failed_upstreams
        ]
        candidates = untried or limiters
        least = min(limiter.in_flight for limiter in candidates)
        return rng.choice([g for g in candidates if g.in_flight == least])

    def slot_count(self) -> int:
        """Returns the slots of this host."""
        return sum(len(g.slot_numbers) for g in self.limiters_by_name.values())

    def concurrency(self) -> int:
        """Returns the attempts that this host may keep in flight."""
        own = self.slot_count()
        in_flight = sum(g.in_flight for g in self.limiters_by_name.values())
        return max(1, own, in_flight)

    def expected_wait_ms(self, caller: str) -> int:
        """Returns how long a new request of a caller will wait."""
        rank = self.queue.count_of(caller)
        ahead = self.queue.count_ahead(caller, rank)
        return round(ahead * self.attempt_latency.mean_ms / self.concurrency())

    def retry_after_ms(self, caller: str, rng: random.Random) -> int:
        """Returns when a refused caller may come back, with jitter."""
        base_ms = max(MIN_RETRY_AFTER_MS, self.expected_wait_ms(caller))
        return base_ms + rng.randrange(base_ms)
