"""Two hosts, one store and one upstream against a model that counts runs."""

import collections
import dataclasses
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from sapphire_core.requests import data
from sapphire_core.requests import engine
from sapphire_lab.requests import builders
from sapphire_lab.requests import claim_store_fake

KEYS = strategies.sampled_from(["k1", "k2"])
PLACES = strategies.integers(0, 1)
PICKS = strategies.integers(0, 1_000)
StoreFault = claim_store_fake.StoreFault
# Most calls succeed, so that most requests get as far as an upstream.
STORE_FAULTS = strategies.sampled_from([StoreFault.NONE] * 5 + list(StoreFault))
WAITS_MS = strategies.sampled_from([30_000, 20_000, 200])


@dataclasses.dataclass
class Flight:
    host: engine.Engine
    attempt_id: str
    key: str
    has_run: bool = False


class AtMostOnceMachine(stateful.RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0
        self.started = 0
        self.all_hosts: list[engine.Engine] = []
        self.serial = 0
        self.store = claim_store_fake.FakeClaimStore()
        self.runs_by_key: collections.Counter[str] = collections.Counter()
        self.keys_by_arrival: dict[tuple[int, int], str] = {}
        self.finished: set[tuple[int, int]] = set()
        self.flights: list[Flight] = []
        self.batches: list[tuple[engine.Engine, data.ClaimBatch]] = []
        self.hosts = [self.start_host(), self.start_host()]

    def start_host(self) -> engine.Engine:
        self.started += 1
        host = engine.Engine(f"h{self.started}", random.Random(self.started))
        self.all_hosts.append(host)
        targets = [builders.upstream(name, slots=2) for name in ("u1", "u2")]
        one = builders.service(targets)
        host.set_configuration(builders.configuration([one]), self.now_ms)
        host.set_view(builders.view(["h1", "h2"]), self.now_ms)
        return host

    def feed(self, host: engine.Engine, event: data.Event) -> None:
        for action in host.handle(event, self.now_ms):
            match action:
                case data.SendAttempt(serial, attempt_id):
                    key = self.keys_by_arrival[(id(host), serial)]
                    self.flights.append(Flight(host, attempt_id, key))
                case data.ApplyClaims(batch):
                    self.batches.append((host, batch))
                case data.Finish(serial):
                    self.check_finish((id(host), serial), action)
                case _:
                    pass

    def check_finish(
        self, arrival: tuple[int, int], finish: data.Finish
    ) -> None:
        assert arrival not in self.finished
        self.finished.add(arrival)
        if finish.outcome is not data.Outcome.NOT_RUN:
            return
        key = self.keys_by_arrival[arrival]
        assert self.runs_by_key[key] == 0, "not-run said of a run"

    @stateful.rule(place=PLACES, key=KEYS, wait_ms=WAITS_MS, fault=STORE_FAULTS)
    def arrive_and_claim(
        self,
        place: int,
        key: str,
        wait_ms: int,
        fault: claim_store_fake.StoreFault,
    ) -> None:
        self.arrive(place, key, wait_ms)
        self.store_answers(fault)

    @stateful.rule(place=PLACES, key=KEYS, wait_ms=WAITS_MS)
    def arrive(self, place: int, key: str, wait_ms: int) -> None:
        host = self.hosts[place]
        self.serial += 1
        self.keys_by_arrival[(id(host), self.serial)] = key
        request = builders.request(
            self.serial, key=key, deadline_ms=self.now_ms + wait_ms
        )
        self.feed(host, data.RequestArrived(request))

    @stateful.rule(pick=PICKS)
    def upstream_runs(self, pick: int) -> None:
        # An attempt may reach its upstream long after it was sent, also when
        # its host has given it up, has been paused or is dead.
        waiting = [each for each in self.flights if not each.has_run]
        if not waiting:
            return
        flight = waiting[pick % len(waiting)]
        flight.has_run = True
        self.runs_by_key[flight.key] += 1

    @stateful.rule(pick=PICKS)
    def upstream_answers(self, pick: int) -> None:
        ran = [each for each in self.flights if each.has_run]
        if not ran:
            return
        flight = ran[pick % len(ran)]
        name = flight.attempt_id
        event = data.AnswerArrived(name, name, "b", flight.key)
        self.feed_if_alive(flight.host, event)

    @stateful.rule(pick=PICKS)
    def upstream_refuses(self, pick: int) -> None:
        waiting = [each for each in self.flights if not each.has_run]
        if not waiting:
            return
        flight = waiting[pick % len(waiting)]
        self.flights.remove(flight)
        fault = data.AttemptFault.SHED
        if pick % 2:
            fault = data.AttemptFault.UNREACHABLE
        event = data.AttemptFailed(flight.attempt_id, fault)
        self.feed_if_alive(flight.host, event)

    @stateful.rule(pick=PICKS)
    def connection_is_lost(self, pick: int) -> None:
        if not self.flights:
            return
        flight = self.flights[pick % len(self.flights)]
        lost = data.AttemptFault.CONNECTION_LOST
        event = data.AttemptFailed(flight.attempt_id, lost)
        self.feed_if_alive(flight.host, event)

    @stateful.rule(fault=STORE_FAULTS)
    def store_answers(self, fault: claim_store_fake.StoreFault) -> None:
        if not self.batches:
            return
        host, batch = self.batches.pop(0)
        self.store.faults.append(fault)
        self.feed_if_alive(host, self.store.call(batch))

    @stateful.rule()
    def store_calls_land_late(self) -> None:
        self.store.apply_delayed()

    @stateful.rule(place=PLACES, pick=strategies.integers(0, 3))
    def host_dies_and_another_starts(self, place: int, pick: int) -> None:
        if pick != 3:
            return
        self.hosts[place] = self.start_host()

    @stateful.rule(place=PLACES, pick=strategies.integers(0, 3))
    def host_drains(self, place: int, pick: int) -> None:
        if pick != 3:
            return
        self.hosts[place].begin_drain()

    @stateful.rule(step_ms=strategies.integers(1, 600))
    def time_passes(self, step_ms: int) -> None:
        self.now_ms += step_ms
        for host in self.hosts:
            self.feed(host, data.Tick())

    def feed_if_alive(self, host: engine.Engine, event: data.Event) -> None:
        if host in self.hosts:
            self.feed(host, event)

    @stateful.invariant()
    def runs_at_most_once(self) -> None:
        for key, runs in self.runs_by_key.items():
            assert runs <= 1, f"{key} ran {runs} times"


AtMostOnceTest = AtMostOnceMachine.TestCase
AtMostOnceTest.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=50
)
