"""The changes that a deployment goes through while its callers go on."""

from collections.abc import Callable
import dataclasses

import anyio
from anyio import abc

from sapphire_lab.demo import deployment
from sapphire_lab.demo import orders
from sapphire_lab.demo import world as worlds

FEEDS_PER_TARGET = 12
OPEN_TIMEOUT_S = 12.0
SETTLE_S = 2.0
DRAIN_LIMIT_MS = 4_000
OUT_LIMIT_MS = 4_000
OUT_S = 6.0
RETURN_S = 5.0

Report = Callable[[str], None]


@dataclasses.dataclass(slots=True)
class Figures:
    """What one deployment showed.

    Attributes:
        broken_flows: Feeds broken by planned change.
        misrouted_packets: Packets at another service's upstream.
        double_runs: Orders that ran twice.
        false_not_run: Orders refused as not run that did run.
        lost_answers: Orders whose caller got neither an answer nor a typed
            outcome.
        dc_out_ms: Time from the change until the last packet to the data
            centre that was taken out.
        in_force_ms: The longest time until a change was in force everywhere.
        late_openings: Flows opened at a draining upstream after 4 s.
        unclean_exits: Hosts whose graceful shutdown did not finish.
    """

    broken_flows: int = 0
    misrouted_packets: int = 0
    double_runs: int = 0
    false_not_run: int = 0
    lost_answers: int = 0
    dc_out_ms: int = 0
    in_force_ms: int = 0
    late_openings: int = 0
    unclean_exits: int = 0

    def is_kept(self) -> bool:
        """Returns whether each promise held."""
        zeros = (
            self.broken_flows,
            self.misrouted_packets,
            self.double_runs,
            self.false_not_run,
            self.lost_answers,
            self.late_openings,
            self.unclean_exits,
        )
        return (
            not any(zeros)
            and self.dc_out_ms <= OUT_LIMIT_MS
            and self.in_force_ms <= OUT_LIMIT_MS
        )


class Scenario:
    """Drives one deployment through its changes."""

    def __init__(self, world: worlds.World, report: Report) -> None:
        """Creates the scenario.

        Args:
            world: The deployment.
            report: Shows a line of progress.
        """
        self.figures = Figures()
        self._world = world
        self._report = report

    async def run(self) -> Figures:
        """Runs the scenario.

        Returns:
            What the deployment showed.
        """
        async with anyio.create_task_group() as tasks:
            await self._world.serve(tasks)
            await self._start_hosts()
            await self._open_feeds()
            tasks.start_soon(self._world.keep_ordering)
            await self._drain_upstream()
            await self._join_upstream(tasks)
            await self._replace_hosts(1, 5)
            await self._move_data_centre()
            tasks.cancel_scope.cancel()
        self._count()
        return self.figures

    async def _start_hosts(self) -> None:
        """Publishes the first revision and starts all hosts."""
        world = self._world
        await world.publish()
        for host in world.plan.hosts():
            world.hosts.start(host)
        for host in world.plan.hosts():
            if not await world.hosts.wait_ready(host.address):
                raise TimeoutError(f"host {host.address} is not ready")
        world.fabric.addresses = world.hosts.addresses()
        self._report(f"{len(world.hosts.addresses())} hosts ready")

    async def _open_feeds(self) -> None:
        """Opens the feeds that stay open throughout."""
        world = self._world
        wanted = world.open_feeds(FEEDS_PER_TARGET)
        with anyio.move_on_after(OPEN_TIMEOUT_S):
            while world.feeds.open_count() < wanted:
                await anyio.sleep(0.1)
        self._report(f"{world.feeds.open_count()} of {wanted} feeds open")

    async def _drain_upstream(self) -> None:
        """Drains an upstream; its feeds stay open."""
        world = self._world
        name = world.intent.upstreams[0].name
        world.intent.draining |= {name}
        await self._change(f"drain {name}")
        limit_ms = world.time.now_ms() + DRAIN_LIMIT_MS
        world.open_feeds(2)
        await anyio.sleep(SETTLE_S)
        counters = world.packet_upstreams_by_name[name].counters
        late = sum(at_ms > limit_ms for at_ms in counters.opened_at_ms)
        self.figures.late_openings += late

    async def _join_upstream(self, tasks: abc.TaskGroup) -> None:
        """Adds a cold upstream to the first service."""
        world = self._world
        service = world.plan.services[0]
        upstream = world.plan.upstream(service, service.targets)
        await world.start_upstream(upstream, tasks)
        world.intent.upstreams = (*world.intent.upstreams, upstream)
        await self._change(f"join {upstream.name}")
        world.open_feeds(2)
        await anyio.sleep(SETTLE_S)

    async def _replace_hosts(self, *numbers: int) -> None:
        """Replaces entry hosts together, while another upstream drains."""
        world = self._world
        name = world.intent.upstreams[1].name
        async with anyio.create_task_group() as tasks:
            for number in numbers:
                tasks.start_soon(self._replace_host, number)
            world.intent.draining |= {name}
            await self._change(f"drain {name}")

    async def _replace_host(self, number: int) -> None:
        """Replaces an entry host by another at a new address."""
        world = self._world
        leaving = world.plan.host(number)
        joining = world.plan.host(number + deployment.ENTRY_HOSTS)
        world.hosts.start(joining)
        await world.hosts.wait_ready(joining.address)
        world.fabric.addresses.append(joining.address)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._delist, leaving.address)
            status = await world.hosts.stop(leaving.address)
        if status != 0:
            self.figures.unclean_exits += 1
        self._report(
            f"host {leaving.address} replaced by {joining.address},"
            f" exit status {status}"
        )

    async def _delist(self, address: str) -> None:
        """Takes a host off the fabric's list, which lags."""
        await anyio.sleep(1.0)
        self._world.fabric.addresses.remove(address)

    async def _move_data_centre(self) -> None:
        """Takes a data centre out and brings it back."""
        world = self._world
        name = world.plan.data_centres[-1]
        world.intent.out = frozenset({name})
        started_ms = world.time.now_ms()
        await self._change(f"data centre {name} out")
        await anyio.sleep(OUT_S)
        last_ms = world.last_packet_ms(name)
        self.figures.dc_out_ms = max(0, last_ms - started_ms)
        self._report(
            f"last packet to {name} after {self.figures.dc_out_ms} ms,"
            f" {world.feeds.counters.given_up} feeds given up"
        )
        world.intent.out = frozenset()
        await self._change(f"data centre {name} in")
        await anyio.sleep(RETURN_S)

    async def _change(self, what: str) -> None:
        """Publishes the intent and waits until it is in force."""
        world = self._world
        started_ms = world.time.now_ms()
        revision = await world.publish()
        await world.wait_in_force(revision)
        taken_ms = world.time.now_ms() - started_ms
        self.figures.in_force_ms = max(self.figures.in_force_ms, taken_ms)
        self._report(f"{what}: revision {revision} in force in {taken_ms} ms")

    def _count(self) -> None:
        """Takes the final counts from the stand-ins."""
        world = self._world
        figures = self.figures
        counters = world.orders.counters
        figures.broken_flows = world.feeds.counters.broken
        figures.misrouted_packets = world.misrouted_packets()
        figures.double_runs = world.double_runs()
        figures.false_not_run = world.false_not_run()
        figures.lost_answers = (
            counters.count(orders.OrderOutcome.LOST) + counters.wrong_answers
        )
        for detail in world.feeds.broken_details[:5]:
            self._report(f"broken: {detail}")
        summary = ", ".join(
            f"{outcome.value} {counters.count(outcome)}"
            for outcome in orders.OrderOutcome
        )
        self._report(
            f"feeds opened {world.feeds.counters.opened},"
            f" broken {figures.broken_flows}; orders: {summary}"
        )
