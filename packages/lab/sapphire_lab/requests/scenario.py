"""A few hosts, upstreams and callers round one store, for measurements."""

import dataclasses
import functools
import random

from sapphire_core.requests import data
from sapphire_core.requests import engine
from sapphire_data import records
from sapphire_lab.requests import builders
from sapphire_lab.requests import callers_fake
from sapphire_lab.requests import claim_store_fake
from sapphire_lab.requests import retry_always
from sapphire_lab.requests import simulated_host
from sapphire_lab.requests import simulation
from sapphire_lab.requests import upstream_fake

HOSTS = 9
MEAN_RUN_MS = 50.0
WARM_UP_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """The sizes of a user.

    Attributes:
        name: The user.
        data_centres: Its data centres.
        upstream_counts_by_service: The upstreams of each service.
        slots: The slots of each upstream.
        one_way_ms: The time from a host to an upstream.
    """

    name: str
    data_centres: tuple[str, ...]
    upstream_counts_by_service: dict[str, int]
    slots: int
    one_way_ms: int


CASCADIA = Site(
    "cascadia",
    ("tacoma", "salem", "spokane"),
    {"rota-board": 7, "plan-intake": 3},
    3,
    1,
)
KALNINS = Site(
    "kalnins",
    ("riga-1", "riga-2", "riga-3", "riga-4"),
    {"quoting": 7, "floor-plans": 4},
    2,
    2,
)
SITES = (CASCADIA, KALNINS)


@dataclasses.dataclass(slots=True)
class Scenario:
    """One run of a site.

    Attributes:
        site: The sizes.
        sim: The queue of timed calls.
        hosts: The hosts.
        upstreams_by_name: The upstreams.
        callers: The callers.
        store: The claim store.
        log: The runs at upstreams.
        configuration: The configuration in force.
        rng: The source of lost messages between hosts.
        peer_loss: The share of messages between hosts that is lost.
        peer_messages: The messages between hosts.
    """

    site: Site
    sim: simulation.Simulation
    hosts: list[simulated_host.SimulatedHost]
    upstreams_by_name: dict[str, upstream_fake.FakeUpstream]
    callers: callers_fake.FakeCallers
    store: claim_store_fake.FakeClaimStore
    log: upstream_fake.RunLog
    configuration: records.Configuration
    rng: random.Random
    peer_loss: float = 0.01
    peer_messages: int = 0

    def nominal_capacity_per_second(self, service: str) -> float:
        """Returns the requests a second that a service's upstreams bear."""
        targets = self.site.upstream_counts_by_service[service]
        return targets * self.site.slots * 1_000 / MEAN_RUN_MS

    def actual_capacity_per_second(self, service: str) -> float:
        """Returns what the upstreams of a service bore in this very run.

        It is their slots divided by the mean time of the runs drawn.
        """
        runs = 0
        run_time_ms = 0
        slots = 0
        for upstream in self.upstreams_by_name.values():
            if not upstream.record.name.startswith(f"{service}-"):
                continue
            runs += upstream.runs
            run_time_ms += upstream.run_time_ms
            slots += upstream.record.slots
        return slots * 1_000 * runs / max(1, run_time_ms)

    def set_load(self, load: float) -> None:
        """Offers a multiple of what the upstreams bear, to each service."""
        for service in self.site.upstream_counts_by_service:
            rate = load * self.nominal_capacity_per_second(service)
            self.callers.start(service, rate)

    def send_peer_message(
        self, host_id: str, event: data.PeerMessageReceived
    ) -> None:
        """Carries a message between two hosts, or loses it."""
        self.peer_messages += 1
        if self.rng.random() < self.peer_loss:
            return
        for host in self.hosts:
            if host.name != host_id:
                continue
            deliver = functools.partial(host.handle_event, event)
            self.sim.call_after(self.site.one_way_ms, deliver)

    def update_views(self) -> None:
        """Gives each living host the list of the living hosts."""
        living = [host for host in self.hosts if host.is_running]
        view = builders.view([host.name for host in living])
        for host in living:
            actions = host.request_engine.set_view(view, self.sim.now_ms)
            host.perform(actions)

    def double_runs(self) -> int:
        """Returns the non-idempotent orders that ran more than once."""
        count = 0
        for order in self.callers.orders:
            if order.is_idempotent:
                continue
            if len(self.log.starts_by_id.get(order.order_id, [])) > 1:
                count += 1
        return count

    def false_not_run(self) -> int:
        """Returns the refusals as not run that were not true."""
        late = self.callers.count_late_runs()
        return self.callers.tally.false_not_run + late

    def attempts(self) -> int:
        """Returns the attempts that hosts made."""
        return sum(up.attempts for up in self.upstreams_by_name.values())

    def sent_arrivals(self) -> int:
        """Returns the arrivals for which at least one attempt was made."""
        return sum(host.first_attempts for host in self.hosts)


def build(site: Site, seed: int, *, is_baseline: bool = False) -> Scenario:
    """Returns a scenario without load.

    Args:
        site: The sizes.
        seed: The seed of all random choices.
        is_baseline: Whether the hosts retry always instead.
    """
    # The library of back-off draws from the generator of the process.
    random.seed(f"{seed}/backoff")
    sim = simulation.Simulation()
    log = upstream_fake.RunLog()
    upstreams_by_name = {}
    services = []
    for service, targets in site.upstream_counts_by_service.items():
        upstreams = []
        for number in range(targets):
            name = f"{service}-{number}"
            record = builders.upstream(
                name,
                data_centre=site.data_centres[number % len(site.data_centres)],
                slots=site.slots,
                warm_up_ms=WARM_UP_MS,
            )
            upstreams.append(record)
            rng = random.Random(f"{seed}/{name}")
            upstreams_by_name[name] = upstream_fake.FakeUpstream(
                record, sim, rng, log, MEAN_RUN_MS
            )
        services.append(builders.service(upstreams, name=service))
    configuration = builders.configuration(services)
    store = claim_store_fake.FakeClaimStore()
    hosts = []
    for number in range(HOSTS):
        name = f"h{number}"
        rng = random.Random(f"{seed}/{name}")
        request_engine: simulated_host.RequestEngine = engine.Engine(name, rng)
        if is_baseline:
            request_engine = retry_always.RetryAlways(name, rng)
        hosts.append(
            simulated_host.SimulatedHost(
                name,
                sim,
                request_engine,
                upstreams_by_name,
                store,
                random.Random(f"{seed}/{name}/faults"),
                site.data_centres[number % len(site.data_centres)],
                one_way_ms=site.one_way_ms,
            )
        )
    callers = callers_fake.FakeCallers(
        sim, random.Random(f"{seed}/callers"), hosts, log
    )
    scenario = Scenario(
        site,
        sim,
        hosts,
        upstreams_by_name,
        callers,
        store,
        log,
        configuration,
        random.Random(f"{seed}/peers"),
    )
    for host in hosts:
        host.send_peer_message = scenario.send_peer_message
        host.perform(host.request_engine.set_configuration(configuration, 0))
    scenario.update_views()
    return scenario
