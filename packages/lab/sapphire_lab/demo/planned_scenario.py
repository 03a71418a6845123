"""The planned changes that a deployment goes through while callers go on."""

import anyio
from anyio import abc

from sapphire_lab.demo import deployments
from sapphire_lab.demo import steps

SETTLE_S = 2.0
LISTING_LAG_S = 1.0
OUT_S = 6.0
RETURN_S = 5.0
FEEDS_PER_STEP = 2
_REPLACED_HOSTS = (1, 5)


async def run_planned_changes(run: steps.DeploymentRun) -> None:
    """Runs the demonstration of planned change.

    Args:
        run: The deployment; its results are filled in.
    """
    testbed = run.testbed
    async with anyio.create_task_group() as tasks:
        await testbed.serve(tasks)
        await steps.start_hosts(run)
        await steps.open_feeds(run)
        tasks.start_soon(testbed.keep_ordering)
        await steps.drain_upstream(run, testbed.desired_state.upstreams[0].name)
        testbed.open_feeds(FEEDS_PER_STEP)
        await anyio.sleep(SETTLE_S)
        await _join_upstream(run, tasks)
        await _replace_hosts(run)
        await _move_data_centre(run)
        tasks.cancel_scope.cancel()
    steps.collect_results(run)


async def _join_upstream(
    run: steps.DeploymentRun, tasks: abc.TaskGroup
) -> None:
    """Adds a cold upstream to the first service."""
    testbed = run.testbed
    service = testbed.deployment.services[0]
    upstream = testbed.deployment.upstream(service, service.upstream_count)
    await testbed.start_upstream(upstream, tasks)
    testbed.desired_state.upstreams = (
        *testbed.desired_state.upstreams,
        upstream,
    )
    await steps.publish_and_wait(run, f"join {upstream.name}")
    testbed.open_feeds(FEEDS_PER_STEP)
    await anyio.sleep(SETTLE_S)


async def _replace_hosts(run: steps.DeploymentRun) -> None:
    """Replaces entry hosts together, while another upstream drains."""
    async with anyio.create_task_group() as tasks:
        for number in _REPLACED_HOSTS:
            tasks.start_soon(_replace_host, run, number)
        await steps.drain_upstream(
            run, run.testbed.desired_state.upstreams[1].name
        )


async def _replace_host(run: steps.DeploymentRun, number: int) -> None:
    """Replaces an entry host by another at a new address."""
    testbed = run.testbed
    leaving = testbed.deployment.host(number)
    joining = testbed.deployment.host(number + deployments.ENTRY_HOSTS)
    testbed.hosts.start(joining)
    await testbed.hosts.wait_ready(joining.address)
    ready_ms = testbed.time.now_ms()
    await testbed.wait_in_force(testbed.newest_revision, [joining.address])
    steps.record_in_force_time(run, ready_ms)
    testbed.fabric.host_addresses.append(joining.address)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_delist, run, leaving.address)
        status = await testbed.hosts.stop(leaving.address)
    if status != 0:
        run.results.unclean_exits += 1
    run.report(
        f"host {leaving.address} replaced by {joining.address},"
        f" exit status {status}"
    )


async def _delist(run: steps.DeploymentRun, address: str) -> None:
    """Takes a host off the fabric's list, which lags."""
    await anyio.sleep(LISTING_LAG_S)
    run.testbed.fabric.host_addresses.remove(address)


async def _move_data_centre(run: steps.DeploymentRun) -> None:
    """Takes a data centre out and brings it back."""
    testbed = run.testbed
    name = testbed.deployment.data_centres[-1]
    testbed.desired_state.data_centres_out = frozenset({name})
    started_ms = testbed.time.now_ms()
    await steps.publish_and_wait(run, f"data centre {name} out")
    await anyio.sleep(OUT_S)
    last_ms = testbed.last_packet_ms(name)
    run.results.dc_out_ms = max(0, last_ms - started_ms)
    run.report(
        f"last packet to {name} after {run.results.dc_out_ms} ms,"
        f" {testbed.feeds.counters.given_up} feeds given up"
    )
    testbed.desired_state.data_centres_out = frozenset()
    await steps.publish_and_wait(run, f"data centre {name} in")
    await anyio.sleep(RETURN_S)
