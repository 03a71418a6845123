"""Runs both deployments at once and prints one JSON line last."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import pathlib
import shutil
import sys
import time
from typing import Annotated

import anyio
import httpx
import typer

from sapphire_data import clock
from sapphire_lab.demo import deployment
from sapphire_lab.demo import fabric
from sapphire_lab.demo import faulty
from sapphire_lab.demo import figures
from sapphire_lab.demo import scenario
from sapphire_lab.demo import steps
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

Script = Callable[[steps.Run], Awaitable[None]]


async def _run_deployment(
    plan: deployment.Deployment,
    directory: pathlib.Path,
    script: Script,
    results: list[figures.Figures],
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
        world = worlds.World(plan, udp, directory, http, store, seed=SEED)
        run = steps.Run(world, report)
        try:
            await script(run)
            results.append(run.figures)
        finally:
            world.hosts.kill_all()
            await world.orders.close()


async def run_all(
    directory: pathlib.Path, script: Script
) -> list[figures.Figures]:
    """Runs both deployments at once.

    Args:
        directory: Where settings and logs are written.
        script: What they go through.

    Returns:
        The figures of each deployment that ended in time.
    """
    results: list[figures.Figures] = []
    with anyio.move_on_after(TIME_LIMIT_S):
        async with anyio.create_task_group() as tasks:
            for plan in (deployment.CASCADIA, deployment.KALNINS):
                tasks.start_soon(
                    _run_deployment,
                    plan,
                    directory / plan.name,
                    script,
                    results,
                )
    return results


def main(
    faults: Annotated[
        bool, typer.Option("--faults", help="Run the trial under faults.")
    ] = False,
) -> None:
    """Runs the demonstration; the exit status says whether it held."""
    script = faulty.run_faulty if faults else scenario.run_planned
    shutil.rmtree(OUTPUT, ignore_errors=True)
    OUTPUT.mkdir()
    results = anyio.run(run_all, OUTPUT, script)
    is_kept = len(results) == len((deployment.CASCADIA, deployment.KALNINS))
    if not is_kept:
        print(f"only {len(results)} deployments ended in time")
    for item in results:
        is_held = item.is_kept_under_planned_change()
        if faults:
            is_held = item.is_kept_under_faults()
        if not is_held:
            is_kept = False
            print(f"promise not kept: {dataclasses.asdict(item)}")
    print(json.dumps(_combine(results)))
    sys.exit(0 if is_kept else 1)


def _combine(results: list[figures.Figures]) -> dict[str, int]:
    """Returns the figures of all deployments together."""
    combined: dict[str, int] = {}
    for name in _SUMMED:
        combined[name] = sum(getattr(item, name) for item in results)
    for name in _LARGEST:
        combined[name] = max(
            (getattr(item, name) for item in results), default=0
        )
    return combined


if __name__ == "__main__":
    typer.run(main)
