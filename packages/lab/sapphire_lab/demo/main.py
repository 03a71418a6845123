"""Runs both deployments at once and prints one JSON line last."""

import dataclasses
import json
import pathlib
import shutil
import sys
import time

import anyio
import httpx

from sapphire_data import clock
from sapphire_lab.demo import deployment
from sapphire_lab.demo import fabric
from sapphire_lab.demo import scenario
from sapphire_lab.demo import world as worlds
from sapphire_lab.stand_ins import packet_upstream
from sapphire_lab.stand_ins import store as stand_in_store

SEED = 1
OUTPUT = pathlib.Path("demo-output")
TIME_LIMIT_S = 58.0
_SUMMED = (
    "broken_flows",
    "misrouted_packets",
    "double_runs",
    "false_not_run",
    "lost_answers",
)
_LARGEST = ("dc_out_ms", "in_force_ms")


async def _run_deployment(
    plan: deployment.Deployment,
    directory: pathlib.Path,
    results: list[scenario.Figures],
) -> None:
    """Runs one deployment from its store to its last count."""
    started = time.monotonic()

    def report(line: str) -> None:
        print(f"[{time.monotonic() - started:5.1f} s] {plan.name}: {line}")
        sys.stdout.flush()

    directory.mkdir()
    store = stand_in_store.StandInStore(clock.MonotonicClock())
    async with (
        stand_in_store.running(
            store, plan.store_address, deployment.STORE_PORT
        ),
        await fabric.open_socket(
            plan.caller_address, packet_upstream.CALLER_PORT
        ) as udp,
        httpx.AsyncClient(timeout=2.0) as http,
    ):
        world = worlds.World(plan, udp, directory, http, SEED)
        try:
            results.append(await scenario.Scenario(world, report).run())
        finally:
            world.hosts.kill_all()
            await world.orders.close()


async def run(directory: pathlib.Path) -> list[scenario.Figures]:
    """Runs both deployments.

    Args:
        directory: Where settings and logs are written.

    Returns:
        The figures of each deployment that ended in time.
    """
    results: list[scenario.Figures] = []
    with anyio.move_on_after(TIME_LIMIT_S):
        async with anyio.create_task_group() as tasks:
            for plan in (deployment.CASCADIA, deployment.KALNINS):
                tasks.start_soon(
                    _run_deployment, plan, directory / plan.name, results
                )
    return results


def main() -> None:
    """Runs the demonstration; the exit status says whether it held."""
    shutil.rmtree(OUTPUT, ignore_errors=True)
    OUTPUT.mkdir()
    results = anyio.run(run, OUTPUT)
    combined: dict[str, int] = {}
    for name in _SUMMED:
        combined[name] = sum(getattr(item, name) for item in results)
    for name in _LARGEST:
        combined[name] = max(
            (getattr(item, name) for item in results), default=0
        )
    is_complete = len(results) == 2
    if not is_complete:
        print(f"only {len(results)} of 2 deployments ended in time")
    for item in results:
        if not item.is_kept():
            print(f"promise not kept: {dataclasses.asdict(item)}")
    print(json.dumps(combined))
    is_kept = is_complete and all(item.is_kept() for item in results)
    sys.exit(0 if is_kept else 1)


if __name__ == "__main__":
    main()
