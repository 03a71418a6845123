"""What one host keeps for one service: upstreams, queue and budgets."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import random

from sapphire_core.requests import borrowing
from sapphire_core.requests import data
from sapphire_core.requests import fair_queue
from sapphire_core.requests import latency
from sapphire_core.requests import need_pace
from sapphire_core.requests import retry_budget
from sapphire_core.requests import slots
from sapphire_core.requests import upstream_gate
from sapphire_data import records

# Trying a slot of another host may end in a shed and then cost a retry. The
# reserve is kept for retries of requests whose upstream has failed.
BORROW_RESERVE = 1.0
BORROWED_RETRY_COST = 2.0
OWN_RETRY_COST = 1.0
MIN_RETRY_AFTER_MS = 100


@dataclasses.dataclass(slots=True)
class ServicePool:
    """The state of one service at one host.

    Attributes:
        service: The service as configured.
        gates_by_name: The upstreams that may take new work.
        retired_by_name: Upstreams that finish what they have.
        queue: The requests that may be sent.
        claiming: The requests that wait for their claim.
        budget: The retry budget.
        observed: The time that upstreams take.
        borrow_pace: How often slots of other hosts are tried.
        asking: How often other hosts are asked for a slot.
        need_ends_ms: Until when another host's need for a slot is remembered,
            by host.
        is_fresh: Whether peers confirmed this host recently; if not, cold
            upstreams get nothing from it.
    """

    service: records.Service
    budget: retry_budget.RetryBudget
    gates_by_name: dict[str, upstream_gate.UpstreamGate] = dataclasses.field(
        default_factory=dict
    )
    retired_by_name: dict[str, upstream_gate.UpstreamGate] = dataclasses.field(
        default_factory=dict
    )
    queue: fair_queue.FairQueue = dataclasses.field(
        default_factory=fair_queue.FairQueue
    )
    claiming: set[int] = dataclasses.field(default_factory=set)
    observed: latency.Latency = dataclasses.field(
        default_factory=latency.Latency
    )
    borrow_pace: borrowing.BorrowPace = dataclasses.field(
        default_factory=borrowing.BorrowPace
    )
    asking: need_pace.NeedPace = dataclasses.field(
        default_factory=need_pace.NeedPace
    )
    need_ends_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    is_fresh: bool = True

    def gate(self, name: str) -> upstream_gate.UpstreamGate | None:
        """Returns the gate of an upstream, whether retired or not."""
        found = self.gates_by_name.get(name)
        if found is not None:
            return found
        return self.retired_by_name.get(name)

    def set_service(
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
        gates_by_name = {}
        out = []
        for name, upstream in service.upstreams_by_name.items():
            gate = self.gate(name)
            centre = data_centres_by_name.get(upstream.data_centre)
            if centre is None or centre.state is records.DataCentreState.OUT:
                out.append(name)
                continue
            if upstream.intent is records.UpstreamIntent.DRAIN:
                continue
            if name not in current:
                continue
            if gate is None:
                gate = upstream_gate.UpstreamGate(upstream)
            if not is_first and name not in self.gates_by_name:
                gate.set_cold(now_ms)
            gate.upstream = upstream
            gates_by_name[name] = gate
        known = self.gates_by_name | self.retired_by_name
        self.retired_by_name = {
            name: gate
            for name, gate in known.items()
            if name not in gates_by_name and gate.in_flight > 0
        }
        self.gates_by_name = gates_by_name
        return out

    def retire(self) -> None:
        """Gives no upstream new work; those with attempts finish them."""
        self.retired_by_name |= self.gates_by_name
        self.gates_by_name = {}

    def set_hosts(
        self, host_ids: Iterable[str], own_id: str, *, is_fresh: bool
    ) -> None:
        """Takes in the live hosts and computes this host's slots."""
        slots_by_upstream = {
            name: gate.upstream.slots
            for name, gate in self.gates_by_name.items()
        }
        owned = slots.owned_slots(
            self.service.name, slots_by_upstream, host_ids, own_id
        )
        for name, gate in self.gates_by_name.items():
            gate.slot_numbers = tuple(owned.get(name, ()))
        self.is_fresh = is_fresh

    def pick(
        self, tried: tuple[str, ...], now_ms: int, rng: random.Random
    ) -> tuple[upstream_gate.UpstreamGate, bool] | None:
        """Chooses the upstream of the next attempt.

        Args:
            tried: The upstreams that failed the request already.
            now_ms: The time in milliseconds.
            rng: The source of random choices.

        Returns:
            The gate and whether its slot is borrowed, or None.
        """
        own = [
            gate
            for gate in self.gates_by_name.values()
            if gate.has_own_slot(now_ms)
            and (self.is_fresh or not gate.is_cold(now_ms))
        ]
        if own:
            return self._choose(own, tried, rng), False
        if self.asking.has_answer and self.own_slots() > 0:
            return None
        if not self.borrow_pace.is_due(now_ms):
            return None
        self.budget.refill(now_ms)
        if self.budget.tokens < BORROW_RESERVE + BORROWED_RETRY_COST:
            return None
        borrowed = [
            gate
            for gate in self.gates_by_name.values()
            if gate.may_borrow(now_ms)
        ]
        if not borrowed:
            return None
        self.budget.spend(BORROWED_RETRY_COST)
        self.borrow_pace.note_trial()
        return self._choose(borrowed, tried, rng), True

    def end_borrow(
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
            self.borrow_pace.note_shed(now_ms)
            return
        self.borrow_pace.note_end(is_answered=is_answered)
        self.budget.refund(BORROWED_RETRY_COST)

    def _choose(
        self,
        gates: list[upstream_gate.UpstreamGate],
        tried: tuple[str, ...],
        rng: random.Random,
    ) -> upstream_gate.UpstreamGate:
        untried = [g for g in gates if g.upstream.name not in tried]
        candidates = untried or gates
        least = min(gate.in_flight for gate in candidates)
        return rng.choice([g for g in candidates if g.in_flight == least])

    def own_slots(self) -> int:
        """Returns the slots of this host."""
        return sum(len(g.slot_numbers) for g in self.gates_by_name.values())

    def concurrency(self) -> int:
        """Returns the attempts that this host may keep in flight."""
        own = self.own_slots()
        in_flight = sum(g.in_flight for g in self.gates_by_name.values())
        return max(1, own, in_flight)

    def expected_wait_ms(self, caller: str) -> int:
        """Returns how long a new request of a caller will wait."""
        rank = self.queue.count_of(caller)
        ahead = self.queue.ahead_of(caller, rank)
        return round(ahead * self.observed.mean_ms / self.concurrency())

    def retry_after_ms(self, caller: str, rng: random.Random) -> int:
        """Returns when a refused caller may come back, with jitter."""
        base_ms = max(MIN_RETRY_AFTER_MS, self.expected_wait_ms(caller))
        return base_ms + rng.randrange(base_ms)
