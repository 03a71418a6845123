"""Planned changes of a deployment while its callers send traffic."""

import anyio
from anyio import abc

from sapphire_lab.demo import deployments
from sapphire_lab.demo import steps

SETTLE_S = 2.0
FABRIC_UPDATE_DELAY_S = 1.0
DATA_CENTRE_OUT_S = 6.0
AFTER_RETURN_S = 5.0
FEEDS_PER_STEP = 2
_REPLACED_HOST_NUMBERS = (1, 5)


async def run_planned_changes(run: steps.DeploymentRun) -> None:
    """Runs the planned scenario.

    Args:
        run: The deployment; its results are filled in.
    """
    testbed = run.testbed
    async with anyio.create_task_group() as tasks:
        await testbed.serve(tasks)
        await steps.start_hosts(run)
        await steps.open_feeds(run)
        tasks.start_soon(testbed.send_orders)
        await steps.drain_upstream(run, testbed.desired_state.upstreams[0].name)
        testbed.open_feeds(FEEDS_PER_STEP)
        await anyio.sleep(SETTLE_S)
        await _add_upstream(run, tasks)
        await _replace_hosts(run)
        await _take_data_centre_out_and_back(run)
        tasks.cancel_scope.cancel()
    steps.collect_results(run)


async def _add_upstream(run: steps.DeploymentRun, tasks: abc.TaskGroup) -> None:
    """Adds an upstream to the first service; it begins with a slow start."""
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
    """Replaces entry hosts concurrently, while another upstream drains."""
    async with anyio.create_task_group() as tasks:
        for number in _REPLACED_HOST_NUMBERS:
            tasks.start_soon(_replace_host, run, number)
        await steps.drain_upstream(
            run, run.testbed.desired_state.upstreams[1].name
        )


async def _replace_host(run: steps.DeploymentRun, number: int) -> None:
    """Replaces an entry host by a new host at another address."""
    testbed = run.testbed
    old_host = testbed.deployment.host(number)
    new_host = testbed.deployment.host(number + deployments.ENTRY_HOSTS)
    testbed.hosts.start(new_host)
    await testbed.hosts.wait_ready(new_host.address)
    ready_ms = testbed.time.now_ms()
    await testbed.wait_in_force(testbed.newest_revision, [new_host.address])
    steps.record_in_force_time(run, ready_ms)
    testbed.fabric.host_addresses.append(new_host.address)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_remove_from_fabric, run, old_host.address)
        status = await testbed.hosts.stop(old_host.address)
    if status != 0:
        run.results.unclean_exits += 1
    run.report(
        f"host {old_host.address} replaced by {new_host.address},"
        f" exit status {status}"
    )


async def _remove_from_fabric(run: steps.DeploymentRun, address: str) -> None:
    """Removes a host from the list of the fabric after a delay.

    The delay simulates that the fabric learns of the change late.
    """
    await anyio.sleep(FABRIC_UPDATE_DELAY_S)
    run.testbed.fabric.host_addresses.remove(address)


async def _take_data_centre_out_and_back(run: steps.DeploymentRun) -> None:
    """Takes a data centre out of service and brings it back."""
    testbed = run.testbed
    name = testbed.deployment.data_centres[-1]
    testbed.desired_state.data_centres_out = frozenset({name})
    started_ms = testbed.time.now_ms()
    await steps.publish_and_wait(run, f"data centre {name} out")
    await anyio.sleep(DATA_CENTRE_OUT_S)
    last_ms = testbed.last_packet_ms(name)
    run.results.dc_out_ms = max(0, last_ms - started_ms)
    run.report(
        f"last packet to {name} after {run.results.dc_out_ms} ms,"
        f" {testbed.feeds.counters.given_up} feeds given up"
    )
    testbed.desired_state.data_centres_out = frozenset()
    await steps.publish_and_wait(run, f"data centre {name} in")
    await anyio.sleep(AFTER_RETURN_S)
