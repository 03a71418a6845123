"""Steps that the planned scenario and the fault scenario share."""

from collections.abc import Callable
import dataclasses

import anyio

from sapphire_lab.demo import deployment_results
from sapphire_lab.demo import orders
from sapphire_lab.demo import testbeds

FEEDS_PER_UPSTREAM = 12
OPEN_TIMEOUT_S = 12.0
NO_NEW_FLOWS_AFTER_MS = 4_000
POLL_INTERVAL_S = 0.1
MAX_REPORTED_DETAILS = 5

ProgressReporter = Callable[[str], None]


@dataclasses.dataclass(slots=True)
class DeploymentRun:
    """The run of a scenario on one deployment.

    Attributes:
        testbed: The testbed of the deployment.
        report: Prints a line of progress.
        results: The results so far.
        drain_limit_ms_by_upstream: The monotonic time after which a draining
            upstream may get no new flow.
    """

    testbed: testbeds.Testbed
    report: ProgressReporter
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
    """Opens the feeds that stay open for the whole run."""
    testbed = run.testbed
    expected_count = testbed.open_feeds(FEEDS_PER_UPSTREAM)
    with anyio.move_on_after(OPEN_TIMEOUT_S):
        while testbed.feeds.open_count() < expected_count:
            await anyio.sleep(POLL_INTERVAL_S)
    run.report(f"{testbed.feeds.open_count()} of {expected_count} feeds open")


async def publish_and_wait(run: DeploymentRun, description: str) -> None:
    """Publishes the desired state and waits until it is in force.

    Args:
        run: The deployment.
        description: Describes the change in the line of progress.
    """
    testbed = run.testbed
    started_ms = testbed.time.now_ms()
    # A host that is still starting serves no callers and is not listed. How
    # long it takes to apply the newest revision is measured separately, from
    # the moment that it reports that it is ready.
    listed_addresses = list(testbed.fabric.host_addresses)
    revision = await testbed.publish()
    last_address = await testbed.wait_in_force(revision, listed_addresses)
    taken_ms = record_in_force_time(run, started_ms)
    run.report(
        f"{description}: revision {revision} in force in {taken_ms} ms,"
        f" at {last_address} last"
    )


def record_in_force_time(run: DeploymentRun, started_ms: int) -> int:
    """Records how long it took until a revision was in force.

    Args:
        run: The deployment.
        started_ms: The monotonic time at which the change was made, or at
            which the host became ready.

    Returns:
        The time in milliseconds.
    """
    taken_ms = run.testbed.time.now_ms() - started_ms
    run.results.in_force_ms = max(run.results.in_force_ms, taken_ms)
    return taken_ms


async def drain_upstream(run: DeploymentRun, name: str) -> None:
    """Drains an upstream; its open feeds stay open."""
    testbed = run.testbed
    testbed.desired_state.draining |= {name}
    started_ms = testbed.time.now_ms()
    await publish_and_wait(run, f"drain {name}")
    run.drain_limit_ms_by_upstream[name] = started_ms + NO_NEW_FLOWS_AFTER_MS


def collect_results(run: DeploymentRun) -> None:
    """Collects the final counts from the testbed and reports them."""
    testbed = run.testbed
    results = run.results
    counters = testbed.orders.counters
    results.broken_flows = testbed.feeds.counters.broken
    results.misrouted_packets = testbed.count_misrouted_packets()
    results.double_runs = testbed.count_double_runs()
    results.false_not_run = testbed.count_false_not_run()
    results.unknown = counters.count(orders.OrderOutcome.UNKNOWN)
    results.answered = counters.count(orders.OrderOutcome.ANSWERED)
    results.lost_answers = counters.count_lost_answers()
    results.late_openings = _count_late_openings(run)
    for detail in testbed.feeds.broken_details[:MAX_REPORTED_DETAILS]:
        run.report(f"broken: {detail}")
    summary = ", ".join(
        f"{outcome.value} {counters.count(outcome)}"
        for outcome in orders.OrderOutcome
    )
    run.report(
        f"feeds opened {testbed.feeds.counters.opened},"
        f" broken {results.broken_flows}; orders: {summary}"
    )


def _count_late_openings(run: DeploymentRun) -> int:
    """Returns the number of flows opened after the limit of a drain."""
    late_count = 0
    for name, limit_ms in run.drain_limit_ms_by_upstream.items():
        counters = run.testbed.packet_upstreams_by_name[name].counters
        late_count += sum(at_ms > limit_ms for at_ms in counters.opened_at_ms)
    return late_count
