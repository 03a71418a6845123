"""The faults that a deployment goes through in the trial.

Hosts are killed and frozen, the store is down and loses answers, upstreams
restart without warning, and two operators race. Flows may break here, and the
trial reports how many; what it holds the system to is the rest.
"""

import anyio

from sapphire_lab.demo import steps
from sapphire_lab.stand_ins import store_faults

SETTLE_S = 3.0
FROZEN_S = 3.0
STORE_DOWN_S = 6.0
LISTING_LAG_S = 1.0
FEEDS_PER_STEP = 2


async def run_under_faults(run: steps.DeploymentRun) -> None:
    """Runs the trial.

    Args:
        run: The deployment; its results are filled in.
    """
    testbed = run.testbed
    async with anyio.create_task_group() as tasks:
        await testbed.serve(tasks)
        await steps.start_hosts(run)
        await steps.open_feeds(run)
        tasks.start_soon(testbed.keep_ordering)
        await _lose_answers(run)
        await _kill_host_amid_change(run)
        await _freeze_host_amid_change(run)
        await _restart_upstream_without_store(run)
        await _race(run)
        tasks.cancel_scope.cancel()
    steps.collect_results(run)


async def _lose_answers(run: steps.DeploymentRun) -> None:
    """Loses answers of the store to claims and to a change."""
    testbed = run.testbed
    before = testbed.feeds.counters.broken
    testbed.store.set_faults(store_faults.Faults(lost_answers=4))
    await steps.drain_upstream(run, testbed.desired_state.upstreams[0].name)
    testbed.open_feeds(FEEDS_PER_STEP)
    await anyio.sleep(SETTLE_S)
    _tell(run, "answers of the store lost", before)


async def _kill_host_amid_change(run: steps.DeploymentRun) -> None:
    """Kills a host while an upstream drains."""
    testbed = run.testbed
    before = testbed.feeds.counters.broken
    address = testbed.deployment.host(2).address
    testbed.hosts.kill(address)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(steps.drain_upstream, run, _second_upstream(run))
        await anyio.sleep(LISTING_LAG_S)
        testbed.fabric.host_addresses.remove(address)
    await anyio.sleep(SETTLE_S)
    _tell(run, f"host {address} killed", before)


async def _freeze_host_amid_change(run: steps.DeploymentRun) -> None:
    """Freezes a host while a drained upstream is taken back."""
    testbed = run.testbed
    before = testbed.feeds.counters.broken
    address = testbed.deployment.host(4).address
    testbed.hosts.suspend(address)
    name = testbed.desired_state.upstreams[0].name
    testbed.desired_state.draining -= {name}
    run.drain_limit_ms_by_upstream.pop(name, None)
    revision = await testbed.publish()
    await anyio.sleep(FROZEN_S)
    testbed.hosts.resume(address)
    await testbed.wait_in_force(revision, testbed.fabric.host_addresses)
    await anyio.sleep(SETTLE_S)
    _tell(run, f"host {address} frozen for {FROZEN_S:.0f} s", before)


async def _restart_upstream_without_store(run: steps.DeploymentRun) -> None:
    """Restarts an upstream in place while the store is down."""
    testbed = run.testbed
    before = testbed.feeds.counters.broken
    testbed.store.set_faults(store_faults.Faults(is_down=True))
    name = testbed.desired_state.upstreams[-1].name
    testbed.packet_upstreams_by_name[name].restart()
    testbed.request_upstreams_by_name[name].boot_id = f"{name}-2"
    await anyio.sleep(STORE_DOWN_S)
    testbed.store.set_faults(store_faults.Faults())
    await anyio.sleep(SETTLE_S)
    _tell(run, f"store down and {name} restarted", before)


async def _race(run: steps.DeploymentRun) -> None:
    """Lets two operators change from the same revision at once."""
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
        run.results.lost_answers += 1
    for revision in accepted:
        await testbed.wait_in_force(revision, testbed.fabric.host_addresses)
    run.report(f"two operators raced, {len(accepted)} accepted")


def _second_upstream(run: steps.DeploymentRun) -> str:
    """Returns the name of the second upstream of the first service."""
    return run.testbed.desired_state.upstreams[1].name


def _tell(run: steps.DeploymentRun, what: str, broken_before: int) -> None:
    """Reports how many feeds a fault broke."""
    broken = run.testbed.feeds.counters.broken - broken_before
    run.report(f"{what}: {broken} feeds broken")
