"""The steps that the demonstration and the trial are made of."""

from collections.abc import Callable
import dataclasses

import anyio

from sapphire_lab.demo import deployment_results
from sapphire_lab.demo import orders
from sapphire_lab.demo import testbeds

FEEDS_PER_TARGET = 12
OPEN_TIMEOUT_S = 12.0
DRAIN_LIMIT_MS = 4_000
POLL_S = 0.1
SHOWN_DETAILS = 5

Report = Callable[[str], None]


@dataclasses.dataclass(slots=True)
class DeploymentRun:
    """One deployment on its way through its steps.

    Attributes:
        testbed: Everything that runs for the deployment.
        report: Shows a line of progress.
        results: The results so far.
        drain_limit_ms_by_upstream: From when on a draining upstream may get
            no new flow.
    """

    testbed: testbeds.Testbed
    report: Report
    results: deployment_results.DeploymentResults = dataclasses.field(
        default_factory=deployment_results.DeploymentResults
    )
    drain_limit_ms_by_upstream: dict[str, int] = dataclasses.field(
        default_factory=dict
    )


async def start_hosts(run: DeploymentRun) -> None:
    """Publishes the first revision and starts all hosts.

    Raises:
        TimeoutError: When a host does not become ready.
    """
    testbed = run.testbed
    await testbed.publish()
    for host in testbed.deployment.hosts():
        testbed.hosts.start(host)
    for host in testbed.deployment.hosts():
        if not await testbed.hosts.wait_ready(host.address):
            raise TimeoutError(f"host {host.address} is not ready")
    testbed.fabric.host_addresses = testbed.hosts.addresses()
    run.report(f"{len(testbed.hosts.addresses())} hosts ready")


async def open_feeds(run: DeploymentRun) -> None:
    """Opens the feeds that stay open throughout."""
    testbed = run.testbed
    wanted = testbed.open_feeds(FEEDS_PER_TARGET)
    with anyio.move_on_after(OPEN_TIMEOUT_S):
        while testbed.feeds.open_count() < wanted:
            await anyio.sleep(POLL_S)
    run.report(f"{testbed.feeds.open_count()} of {wanted} feeds open")


async def publish_and_wait(run: DeploymentRun, what: str) -> None:
    """Publishes the intent and waits until it is in force."""
    testbed = run.testbed
    started_ms = testbed.time.now_ms()
    # A host that is still starting serves nobody and is not listed; it is
    # held to the newest revision from the moment that it says it is ready.
    serving = list(testbed.fabric.host_addresses)
    revision = await testbed.publish()
    last = await testbed.wait_in_force(revision, serving)
    taken_ms = record_in_force_time(run, started_ms)
    run.report(
        f"{what}: revision {revision} in force in {taken_ms} ms, at {last} last"
    )


def record_in_force_time(run: DeploymentRun, started_ms: int) -> int:
    """Notes how long it took until a revision was in force.

    Args:
        run: The deployment.
        started_ms: When the change was made, or the host was ready.

    Returns:
        The time in milliseconds.
    """
    taken_ms = run.testbed.time.now_ms() - started_ms
    run.results.in_force_ms = max(run.results.in_force_ms, taken_ms)
    return taken_ms


async def drain_upstream(run: DeploymentRun, name: str) -> None:
    """Drains an upstream; its feeds stay open."""
    testbed = run.testbed
    testbed.desired_state.draining |= {name}
    started_ms = testbed.time.now_ms()
    await publish_and_wait(run, f"drain {name}")
    run.drain_limit_ms_by_upstream[name] = started_ms + DRAIN_LIMIT_MS


def collect_results(run: DeploymentRun) -> None:
    """Takes the final counts from the stand-ins."""
    testbed = run.testbed
    results = run.results
    counters = testbed.orders.counters
    results.broken_flows = testbed.feeds.counters.broken
    results.misrouted_packets = testbed.misrouted_packets()
    results.double_runs = testbed.double_runs()
    results.false_not_run = testbed.false_not_run()
    results.unknown = counters.count(orders.OrderOutcome.UNKNOWN)
    results.answered = counters.count(orders.OrderOutcome.ANSWERED)
    results.lost_answers = (
        counters.count(orders.OrderOutcome.LOST) + counters.wrong_answers
    )
    results.late_openings = _late_openings(run)
    for detail in testbed.feeds.broken_details[:SHOWN_DETAILS]:
        run.report(f"broken: {detail}")
    summary = ", ".join(
        f"{outcome.value} {counters.count(outcome)}"
        for outcome in orders.OrderOutcome
    )
    run.report(
        f"feeds opened {testbed.feeds.counters.opened},"
        f" broken {results.broken_flows}; orders: {summary}"
    )


def _late_openings(run: DeploymentRun) -> int:
    """Returns the flows that draining upstreams got after their limit."""
    late = 0
    for name, limit_ms in run.drain_limit_ms_by_upstream.items():
        counters = run.testbed.packet_upstreams_by_name[name].counters
        late += sum(at_ms > limit_ms for at_ms in counters.opened_at_ms)
    return late
