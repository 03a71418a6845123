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
from sapphire_lab.demo import deployment_results
from sapphire_lab.demo import deployments
from sapphire_lab.demo import fabric
from sapphire_lab.demo import fault_scenario
from sapphire_lab.demo import planned_scenario
from sapphire_lab.demo import steps
from sapphire_lab.demo import testbeds
from sapphire_lab.stand_ins import packet_upstream
from sapphire_lab.stand_ins import store as fake_store_server

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

Script = Callable[[steps.DeploymentRun], Awaitable[None]]


async def _run_deployment(
    deployment: deployments.Deployment,
    directory: pathlib.Path,
    script: Script,
    results: list[deployment_results.DeploymentResults],
) -> None:
    """Runs one deployment from its store to its last count."""
    started = time.monotonic()

    def report(line: str) -> None:
        print(
            f"[{time.monotonic() - started:5.1f} s] {deployment.name}: {line}"
        )
        sys.stdout.flush()

    directory.mkdir()
    store = fake_store_server.FakeStoreServer(clock.MonotonicClock())
    async with (
        fake_store_server.run_server(
            store, deployment.store_address, deployments.STORE_PORT
        ),
        await fabric.open_socket(
            deployment.caller_address, packet_upstream.CALLER_PORT
        ) as udp,
        httpx.AsyncClient(timeout=2.0) as http,
    ):
        testbed = testbeds.Testbed(
            deployment, udp, directory, http, store, seed=SEED
        )
        run = steps.DeploymentRun(testbed, report)
        try:
            await script(run)
            results.append(run.results)
        finally:
            testbed.hosts.kill_all()
            await testbed.orders.close()


async def run_all(
    directory: pathlib.Path, script: Script
) -> list[deployment_results.DeploymentResults]:
    """Runs both deployments at once.

    Args:
        directory: Where settings and logs are written.
        script: What they go through.

    Returns:
        The figures of each deployment that ended in time.
    """
    results: list[deployment_results.DeploymentResults] = []
    with anyio.move_on_after(TIME_LIMIT_S):
        async with anyio.create_task_group() as tasks:
            for deployment in (deployments.CASCADIA, deployments.KALNINS):
                tasks.start_soon(
                    _run_deployment,
                    deployment,
                    directory / deployment.name,
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
    script = (
        fault_scenario.run_under_faults
        if faults
        else planned_scenario.run_planned_changes
    )
    shutil.rmtree(OUTPUT, ignore_errors=True)
    OUTPUT.mkdir()
    results = anyio.run(run_all, OUTPUT, script)
    is_kept = len(results) == len((deployments.CASCADIA, deployments.KALNINS))
    if not is_kept:
        print(f"only {len(results)} deployments ended in time")
    for item in results:
        is_held = item.meets_planned_change_requirements()
        if faults:
            is_held = item.meets_fault_requirements()
        if not is_held:
            is_kept = False
            print(f"promise not kept: {dataclasses.asdict(item)}")
    print(json.dumps(_combine(results)))
    sys.exit(0 if is_kept else 1)


def _combine(
    results: list[deployment_results.DeploymentResults],
) -> dict[str, int]:
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
