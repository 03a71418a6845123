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


async def run_faulty(run: steps.Run) -> None:
    """Runs the trial.

    Args:
        run: The deployment; its figures are filled in.
    """
    world = run.world
    async with anyio.create_task_group() as tasks:
        await world.serve(tasks)
        await steps.start_hosts(run)
        await steps.open_feeds(run)
        tasks.start_soon(world.keep_ordering)
        await _lose_answers(run)
        await _kill_host_amid_change(run)
        await _freeze_host_amid_change(run)
        await _restart_upstream_without_store(run)
        await _race(run)
        tasks.cancel_scope.cancel()
    steps.count(run)


async def _lose_answers(run: steps.Run) -> None:
    """Loses answers of the store to claims and to a change."""
    world = run.world
    before = world.feeds.counters.broken
    world.store.set_faults(store_faults.Faults(lost_answers=4))
    await steps.drain_upstream(run, world.intent.upstreams[0].name)
    world.open_feeds(FEEDS_PER_STEP)
    await anyio.sleep(SETTLE_S)
    _tell(run, "answers of the store lost", before)


async def _kill_host_amid_change(run: steps.Run) -> None:
    """Kills a host while an upstream drains."""
    world = run.world
    before = world.feeds.counters.broken
    address = world.plan.host(2).address
    world.hosts.kill(address)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(steps.drain_upstream, run, _second_upstream(run))
        await anyio.sleep(LISTING_LAG_S)
        world.fabric.addresses.remove(address)
    await anyio.sleep(SETTLE_S)
    _tell(run, f"host {address} killed", before)


async def _freeze_host_amid_change(run: steps.Run) -> None:
    """Freezes a host while a drained upstream is taken back."""
    world = run.world
    before = world.feeds.counters.broken
    address = world.plan.host(4).address
    world.hosts.freeze(address)
    name = world.intent.upstreams[0].name
    world.intent.draining -= {name}
    run.drain_limit_ms_by_upstream.pop(name, None)
    revision = await world.publish()
    await anyio.sleep(FROZEN_S)
    world.hosts.thaw(address)
    await world.wait_in_force(revision, world.fabric.addresses)
    await anyio.sleep(SETTLE_S)
    _tell(run, f"host {address} frozen for {FROZEN_S:.0f} s", before)


async def _restart_upstream_without_store(run: steps.Run) -> None:
    """Restarts an upstream in place while the store is down."""
    world = run.world
    before = world.feeds.counters.broken
    world.store.set_faults(store_faults.Faults(is_down=True))
    name = world.intent.upstreams[-1].name
    world.packet_upstreams_by_name[name].restart()
    world.request_upstreams_by_name[name].boot_id = f"{name}-2"
    await anyio.sleep(STORE_DOWN_S)
    world.store.set_faults(store_faults.Faults())
    await anyio.sleep(SETTLE_S)
    _tell(run, f"store down and {name} restarted", before)


async def _race(run: steps.Run) -> None:
    """Lets two operators change from the same revision at once."""
    world = run.world
    outcomes: list[int | None] = []

    async def publish() -> None:
        outcomes.append(await world.try_publish())

    world.intent.draining |= {world.intent.upstreams[2].name}
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(publish)
        tasks.start_soon(publish)
    accepted = [revision for revision in outcomes if revision is not None]
    if len(accepted) != 1:
        run.figures.lost_answers += 1
    for revision in accepted:
        await world.wait_in_force(revision, world.fabric.addresses)
    run.report(f"two operators raced, {len(accepted)} accepted")


def _second_upstream(run: steps.Run) -> str:
    """Returns the name of the second upstream of the first service."""
    return run.world.intent.upstreams[1].name


def _tell(run: steps.Run, what: str, broken_before: int) -> None:
    """Reports how many feeds a fault broke."""
    broken = run.world.feeds.counters.broken - broken_before
    run.report(f"{what}: {broken} feeds broken")
