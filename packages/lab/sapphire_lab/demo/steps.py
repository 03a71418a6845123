"""The steps that the demonstration and the trial are made of."""

from collections.abc import Callable
import dataclasses

import anyio

from sapphire_lab.demo import figures as figures_lib
from sapphire_lab.demo import orders
from sapphire_lab.demo import world as worlds

FEEDS_PER_TARGET = 12
OPEN_TIMEOUT_S = 12.0
DRAIN_LIMIT_MS = 4_000
POLL_S = 0.1
SHOWN_DETAILS = 5

Report = Callable[[str], None]


@dataclasses.dataclass(slots=True)
class Run:
    """One deployment on its way through its steps.

    Attributes:
        world: The deployment.
        report: Shows a line of progress.
        figures: What it showed so far.
        drain_limit_ms_by_upstream: From when on a draining upstream may get
            no new flow.
    """

    world: worlds.World
    report: Report
    figures: figures_lib.Figures = dataclasses.field(
        default_factory=figures_lib.Figures
    )
    drain_limit_ms_by_upstream: dict[str, int] = dataclasses.field(
        default_factory=dict
    )


async def start_hosts(run: Run) -> None:
    """Publishes the first revision and starts all hosts.

    Raises:
        TimeoutError: When a host does not become ready.
    """
    world = run.world
    await world.publish()
    for host in world.plan.hosts():
        world.hosts.start(host)
    for host in world.plan.hosts():
        if not await world.hosts.wait_ready(host.address):
            raise TimeoutError(f"host {host.address} is not ready")
    world.fabric.addresses = world.hosts.addresses()
    run.report(f"{len(world.hosts.addresses())} hosts ready")


async def open_feeds(run: Run) -> None:
    """Opens the feeds that stay open throughout."""
    world = run.world
    wanted = world.open_feeds(FEEDS_PER_TARGET)
    with anyio.move_on_after(OPEN_TIMEOUT_S):
        while world.feeds.open_count() < wanted:
            await anyio.sleep(POLL_S)
    run.report(f"{world.feeds.open_count()} of {wanted} feeds open")


async def change(run: Run, what: str) -> None:
    """Publishes the intent and waits until it is in force."""
    world = run.world
    started_ms = world.time.now_ms()
    # A host that is still starting serves nobody and is not listed; it is
    # held to the newest revision from the moment that it says it is ready.
    serving = list(world.fabric.addresses)
    revision = await world.publish()
    last = await world.wait_in_force(revision, serving)
    taken_ms = note_in_force(run, started_ms)
    run.report(
        f"{what}: revision {revision} in force in {taken_ms} ms, at {last} last"
    )


def note_in_force(run: Run, started_ms: int) -> int:
    """Notes how long it took until a revision was in force.

    Args:
        run: The deployment.
        started_ms: When the change was made, or the host was ready.

    Returns:
        The time in milliseconds.
    """
    taken_ms = run.world.time.now_ms() - started_ms
    run.figures.in_force_ms = max(run.figures.in_force_ms, taken_ms)
    return taken_ms


async def drain_upstream(run: Run, name: str) -> None:
    """Drains an upstream; its feeds stay open."""
    world = run.world
    world.intent.draining |= {name}
    started_ms = world.time.now_ms()
    await change(run, f"drain {name}")
    run.drain_limit_ms_by_upstream[name] = started_ms + DRAIN_LIMIT_MS


def count(run: Run) -> None:
    """Takes the final counts from the stand-ins."""
    world = run.world
    figures = run.figures
    counters = world.orders.counters
    figures.broken_flows = world.feeds.counters.broken
    figures.misrouted_packets = world.misrouted_packets()
    figures.double_runs = world.double_runs()
    figures.false_not_run = world.false_not_run()
    figures.unknown = counters.count(orders.OrderOutcome.UNKNOWN)
    figures.answered = counters.count(orders.OrderOutcome.ANSWERED)
    figures.lost_answers = (
        counters.count(orders.OrderOutcome.LOST) + counters.wrong_answers
    )
    figures.late_openings = _late_openings(run)
    for detail in world.feeds.broken_details[:SHOWN_DETAILS]:
        run.report(f"broken: {detail}")
    summary = ", ".join(
        f"{outcome.value} {counters.count(outcome)}"
        for outcome in orders.OrderOutcome
    )
    run.report(
        f"feeds opened {world.feeds.counters.opened},"
        f" broken {figures.broken_flows}; orders: {summary}"
    )


def _late_openings(run: Run) -> int:
    """Returns the flows that draining upstreams got after their limit."""
    late = 0
    for name, limit_ms in run.drain_limit_ms_by_upstream.items():
        counters = run.world.packet_upstreams_by_name[name].counters
        late += sum(at_ms > limit_ms for at_ms in counters.opened_at_ms)
    return late
