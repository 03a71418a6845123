"""Runs the demonstration and checks its results.

Both deployments run at the same time. Their hosts are processes of their own;
the store, the fabric, the upstreams and the callers run in this process. The
last line of the output is a JSON object with the combined results.
"""

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
OUTPUT_DIRECTORY = pathlib.Path("demo-output")
TIME_LIMIT_S = 58.0
_SUMMED_FIELDS = (
    "broken_flows",
    "misrouted_packets",
    "double_runs",
    "false_not_run",
    "lost_answers",
    "failed_races",
)
_MAXIMUM_FIELDS = ("dc_out_ms", "in_force_ms")

Scenario = Callable[[steps.DeploymentRun], Awaitable[None]]


async def _run_deployment(
    deployment: deployments.Deployment,
    directory: pathlib.Path,
    scenario: Scenario,
    results: list[deployment_results.DeploymentResults],
) -> None:
    """Runs a scenario on one deployment and appends its results."""
    started_s = time.monotonic()

    def report(line: str) -> None:
        print(
            f"[{time.monotonic() - started_s:5.1f} s] {deployment.name}: {line}"
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
            await scenario(run)
            results.append(run.results)
        finally:
            testbed.hosts.kill_all()
            await testbed.orders.close()


async def run_all(
    directory: pathlib.Path, scenario: Scenario
) -> list[deployment_results.DeploymentResults]:
    """Runs both deployments at once.

    Args:
        directory: Where settings and logs are written.
        scenario: The scenario that each deployment runs.

    Returns:
        The results of each deployment that ended within `TIME_LIMIT_S`.
    """
    results: list[deployment_results.DeploymentResults] = []
    with anyio.move_on_after(TIME_LIMIT_S):
        async with anyio.create_task_group() as tasks:
            for deployment in (deployments.CASCADIA, deployments.KALNINS):
                tasks.start_soon(
                    _run_deployment,
                    deployment,
                    directory / deployment.name,
                    scenario,
                    results,
                )
    return results


def main(
    faults: Annotated[
        bool, typer.Option("--faults", help="Run the trial under faults.")
    ] = False,
) -> None:
    """Runs the demonstration; exits with 1 if a requirement is not met."""
    scenario = (
        fault_scenario.run_under_faults
        if faults
        else planned_scenario.run_planned_changes
    )
    shutil.rmtree(OUTPUT_DIRECTORY, ignore_errors=True)
    OUTPUT_DIRECTORY.mkdir()
    results = anyio.run(run_all, OUTPUT_DIRECTORY, scenario)
    is_successful = len(results) == len(
        (deployments.CASCADIA, deployments.KALNINS)
    )
    if not is_successful:
        print(f"only {len(results)} deployments ended in time")
    for item in results:
        meets_requirements = item.meets_planned_change_requirements()
        if faults:
            meets_requirements = item.meets_fault_requirements()
        if not meets_requirements:
            is_successful = False
            print(f"requirements not met: {dataclasses.asdict(item)}")
    print(json.dumps(_combine(results)))
    sys.exit(0 if is_successful else 1)


def _combine(
    results: list[deployment_results.DeploymentResults],
) -> dict[str, int]:
    """Returns the results of all deployments combined."""
    combined: dict[str, int] = {}
    for name in _SUMMED_FIELDS:
        combined[name] = sum(getattr(item, name) for item in results)
    for name in _MAXIMUM_FIELDS:
        combined[name] = max(
            (getattr(item, name) for item in results), default=0
        )
    return combined


if __name__ == "__main__":
    typer.run(main)
