"""Faults of a deployment while its callers send traffic.

A host is killed and another one is suspended, the store is down and loses
responses, an upstream restarts without warning, and two operators publish
changes concurrently. Flows may break under these faults, and outcomes of orders
may be unknown; `DeploymentResults.meets_fault_requirements` checks the rest.
"""

import anyio

from sapphire_lab.demo import steps
from sapphire_lab.stand_ins import store_faults

SETTLE_S = 3.0
SUSPENDED_S = 3.0
STORE_DOWN_S = 6.0
FABRIC_UPDATE_DELAY_S = 1.0
FEEDS_PER_STEP = 2


async def run_under_faults(run: steps.DeploymentRun) -> None:
    """Runs the fault scenario.

    Args:
        run: The deployment; its results are filled in.
    """
    testbed = run.testbed
    async with anyio.create_task_group() as tasks:
        await testbed.serve(tasks)
        await steps.start_hosts(run)
        await steps.open_feeds(run)
        tasks.start_soon(testbed.send_orders)
        await _lose_store_responses(run)
        await _kill_host_during_change(run)
        await _suspend_host_during_change(run)
        await _restart_upstream_without_store(run)
        await _publish_concurrently(run)
        tasks.cancel_scope.cancel()
    steps.collect_results(run)


async def _lose_store_responses(run: steps.DeploymentRun) -> None:
    """Loses the next four responses of the store to claims and to a change."""
    testbed = run.testbed
    broken_before = testbed.feeds.counters.broken
    testbed.store.set_faults(store_faults.Faults(lost_answers=4))
    await steps.drain_upstream(run, testbed.desired_state.upstreams[0].name)
    testbed.open_feeds(FEEDS_PER_STEP)
    await anyio.sleep(SETTLE_S)
    _report_broken_feeds(run, "store responses lost", broken_before)


async def _kill_host_during_change(run: steps.DeploymentRun) -> None:
    """Kills a host while an upstream begins to drain."""
    testbed = run.testbed
    broken_before = testbed.feeds.counters.broken
    address = testbed.deployment.host(2).address
    testbed.hosts.kill(address)
    testbed.orders.counters.killed_addresses.add(address)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(steps.drain_upstream, run, _second_upstream(run))
        await anyio.sleep(FABRIC_UPDATE_DELAY_S)
        testbed.fabric.host_addresses.remove(address)
    await anyio.sleep(SETTLE_S)
    _report_broken_feeds(run, f"host {address} killed", broken_before)


async def _suspend_host_during_change(run: steps.DeploymentRun) -> None:
    """Suspends a host while a drained upstream returns to service."""
    testbed = run.testbed
    broken_before = testbed.feeds.counters.broken
    address = testbed.deployment.host(4).address
    testbed.hosts.suspend(address)
    name = testbed.desired_state.upstreams[0].name
    testbed.desired_state.draining -= {name}
    run.drain_limit_ms_by_upstream.pop(name, None)
    revision = await testbed.publish()
    await anyio.sleep(SUSPENDED_S)
    testbed.hosts.resume(address)
    await testbed.wait_in_force(revision, testbed.fabric.host_addresses)
    await anyio.sleep(SETTLE_S)
    _report_broken_feeds(
        run, f"host {address} suspended for {SUSPENDED_S:.0f} s", broken_before
    )


async def _restart_upstream_without_store(run: steps.DeploymentRun) -> None:
    """Restarts an upstream in place while the store is down."""
    testbed = run.testbed
    broken_before = testbed.feeds.counters.broken
    testbed.store.set_faults(store_faults.Faults(is_down=True))
    name = testbed.desired_state.upstreams[-1].name
    testbed.packet_upstreams_by_name[name].restart()
    testbed.request_upstreams_by_name[name].boot_id = f"{name}-2"
    await anyio.sleep(STORE_DOWN_S)
    testbed.store.set_faults(store_faults.Faults())
    await anyio.sleep(SETTLE_S)
    _report_broken_feeds(run, f"store down and {name} restarted", broken_before)


async def _publish_concurrently(run: steps.DeploymentRun) -> None:
    """Lets two operators publish the same change concurrently."""
    testbed = run.testbed
    outcomes: list[int | None] = []

    async def publish() -> None:
        outcomes.append(await testbed.try_publish())

    testbed.desired_state.draining |= {testbed.desired_state.upstreams[2].name}
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(publish)
        tasks.start_soon(publish)
    accepted = [revision for revision in outcomes if revision is not None]
    if len(accepted) != 1:
        run.results.failed_races += 1
    for revision in accepted:
        await testbed.wait_in_force(revision, testbed.fabric.host_addresses)
    run.report(
        f"two operators published concurrently, {len(accepted)} accepted"
    )


def _second_upstream(run: steps.DeploymentRun) -> str:
    """Returns the name of the second upstream of the first service."""
    return run.testbed.desired_state.upstreams[1].name


def _report_broken_feeds(
    run: steps.DeploymentRun, description: str, broken_before: int
) -> None:
    """Reports how many feeds broke since the start of a fault."""
    broken = run.testbed.feeds.counters.broken - broken_before
    run.report(f"{description}: {broken} feeds broken")
