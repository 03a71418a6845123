"""Fake callers: they send orders, come back, and judge each outcome."""

from collections.abc import Sequence
import dataclasses
import functools
import random

from sapphire_core.requests import data
from sapphire_lab.requests import builders
from sapphire_lab.requests import simulated_host
from sapphire_lab.requests import simulation
from sapphire_lab.requests import upstream_fake

CALLERS = 200
RESEND_AFTER_UNKNOWN_MS = 300
RESEND_AFTER_CRASH_MS = 100


@dataclasses.dataclass(slots=True)
class Order:
    """What a caller wants done once.

    Attributes:
        order_id: Its id.
        service: The service.
        caller: The caller.
        is_idempotent: Whether it may run twice.
        first_sent_ms: When it was first sent.
        answered_ms: When its whole answer came, or None.
        arrivals: How often it reached a host.
    """

    order_id: str
    service: str
    caller: str
    is_idempotent: bool
    first_sent_ms: int
    answered_ms: int | None = None
    arrivals: int = 0


@dataclasses.dataclass(slots=True)
class Tally:
    """What callers saw.

    Attributes:
        arrivals: The requests that reached a host.
        outcomes: Outcomes by name.
        false_not_run: Refusals as not run of requests that had run.
        wrong_answers: Answers that belong to another request.
        answer_times_ms: For each service, when orders were answered.
    """

    arrivals: int = 0
    outcomes: dict[data.Outcome, int] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(data.Outcome, 0)
    )
    false_not_run: int = 0
    wrong_answers: int = 0
    answer_times_ms: dict[str, list[int]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class FakeCallers:
    """All callers of a scenario.

    Attributes:
        sim: The queue of timed calls.
        rng: The source of choices.
        hosts: The hosts; the fabric hands each request to any that lives.
        log: The runs at upstreams.
        deadline_ms: How long a caller waits.
        idempotent_share: The share of idempotent orders.
        duplicate_share: The share of orders sent to two hosts at a time.
        refused_resend_share: The share of refused callers that come back once,
            at the time they were told.
        unknown_resend_share: The share that repeats an order of unknown
            outcome.
        tally: What they saw.
        orders: All orders.
        rates_by_service: Orders a second for each service.
        orders_by_arrival: The order of each arrival.
        outcomes_by_arrival: How each arrival ended.
        refused_arrivals: The request id and arrival of refusals as not run.
    """

    sim: simulation.Simulation
    rng: random.Random
    hosts: Sequence[simulated_host.SimulatedHost]
    log: upstream_fake.RunLog
    deadline_ms: int = 1_000
    idempotent_share: float = 0.6
    duplicate_share: float = 0.0
    refused_resend_share: float = 0.5
    unknown_resend_share: float = 0.5
    tally: Tally = dataclasses.field(default_factory=Tally)
    orders: list[Order] = dataclasses.field(default_factory=list)
    rates_by_service: dict[str, float] = dataclasses.field(default_factory=dict)
    orders_by_arrival: dict[str, Order] = dataclasses.field(
        default_factory=dict
    )
    outcomes_by_arrival: dict[str, data.Outcome] = dataclasses.field(
        default_factory=dict
    )
    refused_arrivals: list[tuple[str, str]] = dataclasses.field(
        default_factory=list
    )
    _remainder_ms: dict[str, float] = dataclasses.field(default_factory=dict)

    def start(self, service: str, per_second: float) -> None:
        """Sends orders to a service at a rate until `stop`."""
        is_started = service in self.rates_by_service
        self.rates_by_service[service] = per_second
        if not is_started:
            self._schedule(service)

    def stop(self) -> None:
        """Sends no more new orders."""
        for service in self.rates_by_service:
            self.rates_by_service[service] = 0.0

    def resend_after_crash(
        self, exchanges: Sequence[simulated_host.Exchange]
    ) -> None:
        """Tells callers that their host has died; they repeat their order."""
        for exchange in exchanges:
            order = self.orders_by_arrival[exchange.arrival]
            repeat = functools.partial(self._send, order)
            self.sim.call_after(RESEND_AFTER_CRASH_MS, repeat)

    def _schedule(self, service: str) -> None:
        rate = self.rates_by_service[service]
        if rate <= 0.0:
            del self.rates_by_service[service]
            return
        gap_ms = self.rng.expovariate(rate) * 1_000
        carry_ms = self._remainder_ms.get(service, 0.0) + gap_ms
        whole_ms = int(carry_ms)
        self._remainder_ms[service] = carry_ms - whole_ms
        self.sim.call_after(whole_ms, lambda: self._arrive(service))

    def _arrive(self, service: str) -> None:
        order = Order(
            f"o{len(self.orders)}",
            service,
            f"c{self.rng.randrange(CALLERS)}",
            self.rng.random() < self.idempotent_share,
            self.sim.now_ms,
        )
        self.orders.append(order)
        self._send(order)
        if self.rng.random() < self.duplicate_share:
            self._send(order)
        self._schedule(service)

    def _send(self, order: Order) -> None:
        living = [host for host in self.hosts if host.is_running]
        host = self.rng.choice(living)
        order.arrivals += 1
        self.tally.arrivals += 1
        arrival = f"{order.order_id}/{order.arrivals}"
        self.orders_by_arrival[arrival] = order
        # Upstreams count the runs of an idempotent order by arrival.
        run_id = arrival if order.is_idempotent else order.order_id
        request = builders.request(
            service_name=order.service,
            caller=order.caller,
            is_idempotent=order.is_idempotent,
            key=None if order.is_idempotent else order.order_id,
            deadline_ms=self.sim.now_ms + self.deadline_ms,
        )
        exchange = simulated_host.Exchange(
            run_id,
            arrival,
            lambda finish: self._done(order, run_id, arrival, finish),
        )
        host.submit(request, exchange)

    def _done(
        self, order: Order, run_id: str, arrival: str, finish: data.Finish
    ) -> None:
        self.tally.outcomes[finish.outcome] += 1
        self.outcomes_by_arrival[arrival] = finish.outcome
        match finish.outcome:
            case data.Outcome.ANSWERED:
                self._answered(order, run_id, finish)
            case data.Outcome.NOT_RUN:
                self._check_not_run(run_id, arrival)
                if self.rng.random() < self.refused_resend_share:
                    self._schedule_resend(order, finish.retry_after_ms or 1_000)
            case data.Outcome.UNKNOWN:
                if self.rng.random() < self.unknown_resend_share:
                    delay_ms = finish.retry_after_ms or RESEND_AFTER_UNKNOWN_MS
                    self._schedule_resend(order, delay_ms)
            case data.Outcome.CANCELLED:
                return

    def _answered(self, order: Order, run_id: str, finish: data.Finish) -> None:
        if finish.answer != run_id:
            self.tally.wrong_answers += 1
            return
        if order.answered_ms is not None:
            return
        order.answered_ms = self.sim.now_ms
        times_ms = self.tally.answer_times_ms.setdefault(order.service, [])
        times_ms.append(self.sim.now_ms)

    def _check_not_run(self, run_id: str, arrival: str) -> None:
        starts = self.log.starts_by_id.get(run_id, [])
        if starts:
            self.tally.false_not_run += 1
            return
        # An attempt of this arrival that is still on its way counts, too.
        self.refused_arrivals.append((run_id, arrival))

    def _schedule_resend(self, order: Order, delay_ms: int) -> None:
        if order.arrivals > 2:
            return
        self.sim.call_after(delay_ms, lambda: self._send(order))

    def count_late_runs(self) -> int:
        """Returns refusals as not run whose own attempt ran afterwards."""
        count = 0
        for run_id, arrival in self.refused_arrivals:
            starts = self.log.starts_by_id.get(run_id, [])
            if any(cause == arrival for _, cause in starts):
                count += 1
        return count
