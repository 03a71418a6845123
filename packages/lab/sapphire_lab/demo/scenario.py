"""The planned changes that a deployment goes through while callers go on."""

import anyio
from anyio import abc

from sapphire_lab.demo import deployment
from sapphire_lab.demo import steps

SETTLE_S = 2.0
LISTING_LAG_S = 1.0
OUT_S = 6.0
RETURN_S = 5.0
FEEDS_PER_STEP = 2
_REPLACED_HOSTS = (1, 5)


async def run_planned(run: steps.Run) -> None:
    """Runs the demonstration of planned change.

    Args:
        run: The deployment; its figures are filled in.
    """
    world = run.world
    async with anyio.create_task_group() as tasks:
        await world.serve(tasks)
        await steps.start_hosts(run)
        await steps.open_feeds(run)
        tasks.start_soon(world.keep_ordering)
        await steps.drain_upstream(run, world.intent.upstreams[0].name)
        world.open_feeds(FEEDS_PER_STEP)
        await anyio.sleep(SETTLE_S)
        await _join_upstream(run, tasks)
        await _replace_hosts(run)
        await _move_data_centre(run)
        tasks.cancel_scope.cancel()
    steps.count(run)


async def _join_upstream(run: steps.Run, tasks: abc.TaskGroup) -> None:
    """Adds a cold upstream to the first service."""
    world = run.world
    service = world.plan.services[0]
    upstream = world.plan.upstream(service, service.targets)
    await world.start_upstream(upstream, tasks)
    world.intent.upstreams = (*world.intent.upstreams, upstream)
    await steps.change(run, f"join {upstream.name}")
    world.open_feeds(FEEDS_PER_STEP)
    await anyio.sleep(SETTLE_S)


async def _replace_hosts(run: steps.Run) -> None:
    """Replaces entry hosts together, while another upstream drains."""
    async with anyio.create_task_group() as tasks:
        for number in _REPLACED_HOSTS:
            tasks.start_soon(_replace_host, run, number)
        await steps.drain_upstream(run, run.world.intent.upstreams[1].name)


async def _replace_host(run: steps.Run, number: int) -> None:
    """Replaces an entry host by another at a new address."""
    world = run.world
    leaving = world.plan.host(number)
    joining = world.plan.host(number + deployment.ENTRY_HOSTS)
    world.hosts.start(joining)
    await world.hosts.wait_ready(joining.address)
    ready_ms = world.time.now_ms()
    await world.wait_in_force(world.newest_revision, [joining.address])
    steps.note_in_force(run, ready_ms)
    world.fabric.addresses.append(joining.address)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_delist, run, leaving.address)
        status = await world.hosts.stop(leaving.address)
    if status != 0:
        run.figures.unclean_exits += 1
    run.report(
        f"host {leaving.address} replaced by {joining.address},"
        f" exit status {status}"
    )


async def _delist(run: steps.Run, address: str) -> None:
    """Takes a host off the fabric's list, which lags."""
    await anyio.sleep(LISTING_LAG_S)
    run.world.fabric.addresses.remove(address)


async def _move_data_centre(run: steps.Run) -> None:
    """Takes a data centre out and brings it back."""
    world = run.world
    name = world.plan.data_centres[-1]
    world.intent.out = frozenset({name})
    started_ms = world.time.now_ms()
    await steps.change(run, f"data centre {name} out")
    await anyio.sleep(OUT_S)
    last_ms = world.last_packet_ms(name)
    run.figures.dc_out_ms = max(0, last_ms - started_ms)
    run.report(
        f"last packet to {name} after {run.figures.dc_out_ms} ms,"
        f" {world.feeds.counters.given_up} feeds given up"
    )
    world.intent.out = frozenset()
    await steps.change(run, f"data centre {name} in")
    await anyio.sleep(RETURN_S)
