"""Measures broken flows and promises; see `docs/design/0002-flow-routing.md`.

The last line is for planned change only, the one before it for unplanned
deaths of hosts in the midst of the same changes. Lines before them give
figures that explain these.
"""

import json
import sys

import typer

from sapphire_lab.flows import figures
from sapphire_lab.flows import run as run_lib
from sapphire_lab.flows import scenario
from sapphire_lab.flows import slopes
from sapphire_lab.flows import tally

DEPLOYMENTS = (scenario.CASCADIA, scenario.KALNINS)


def run_all(seed: int, is_planned: bool) -> list[run_lib.Run]:
    """Runs both deployments.

    Args:
        seed: The seed.
        is_planned: Whether no host dies without notice.
    """
    runs = []
    for deployment in DEPLOYMENTS:
        run = run_lib.Run(deployment, seed, is_planned)
        run.go()
        run.sweep()
        runs.append(run)
    return runs


def promises(seed: int, runs: list[run_lib.Run]) -> dict[str, object]:
    """Returns the figures that the promises are judged by.

    Args:
        seed: The seed.
        runs: The runs of all deployments.
    """
    broken = {}
    for method, name in enumerate(tally.METHODS):
        broken[name] = sum(run.tally.broken[method] for run in runs)
    control = [run.world.fabric.peak_control_bytes_per_second() for run in runs]
    state_bytes = sum(run.state_bytes() for run in runs)
    open_flows = sum(len(run.flows) for run in runs)
    most, _ = figures.imbalance(7, figures.TODAY_BUCKETS, seed)
    return {
        "seed": seed,
        "flows": sum(run.opened for run in runs),
        "broken": broken,
        "misrouted": sum(run.tally.misrouted[tally.FULL] for run in runs),
        "cold_excess": sum(run.tally.cold_excess() for run in runs),
        "drain_new_after_4s": sum(run.tally.drain_new for run in runs),
        "dc_out_packets_after_4s": sum(run.tally.out_packets for run in runs),
        "imbalance_max_over_mean": round(most, 3),
        "control_bytes_per_host_per_s": round(max(control), 1),
        "us_per_packet": _microseconds(runs, tally.FULL),
        "us_per_packet_baseline": _microseconds(runs, 0),
        "bytes_per_flow": round(state_bytes / open_flows, 1),
    }


def details(
    seed: int, runs: list[run_lib.Run], is_planned: bool
) -> dict[str, object]:
    """Returns figures that explain those of `promises`.

    Args:
        seed: The seed.
        runs: The runs of all deployments.
        is_planned: Whether no host died without notice.
    """
    packets = sum(run.packets[tally.FULL] for run in runs)
    hops = sum(run.world.fabric.hops for run in runs)
    return {
        "seed": seed,
        "is_planned": is_planned,
        "packets": packets,
        "relays_per_packet": round(hops / packets, 3),
        "packets_to_repeat": sum(run.tally.lost for run in runs),
        "misrouted_baselines": [
            sum(run.tally.misrouted[method] for run in runs)
            for method in range(2)
        ],
        "us_per_settled_packet": round(
            slopes.microseconds_per_settled_packet(), 2
        ),
        "imbalance_today": figures.imbalance(7, figures.TODAY_BUCKETS, seed),
        "imbalance_73": figures.imbalance(
            figures.LARGE_POOL, figures.LARGE_BUCKETS, seed
        ),
    }


def _microseconds(runs: list[run_lib.Run], method: int) -> float:
    """Returns the time of a method for each packet."""
    seconds = sum(run.seconds[method] for run in runs)
    packets = sum(run.packets[method] for run in runs)
    return round(seconds / packets * 1e6, 2)


def main(seed: int = 1) -> None:
    """Prints details, then a line for deaths and one for planned change."""
    lines = []
    for is_planned in (False, True):
        runs = run_all(seed, is_planned)
        print(json.dumps(details(seed, runs, is_planned)))
        sys.stdout.flush()
        lines.append(promises(seed, runs))
    for line in lines:
        print(json.dumps(line))


if __name__ == "__main__":
    typer.run(main)
