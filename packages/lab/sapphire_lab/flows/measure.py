"""Measures broken flows and promises; see `docs/design/0002-flow-routing.md`.

The last line is for planned change only, the one before it for unplanned
deaths of hosts in the midst of the same changes.
"""

import json
import sys

import typer

from sapphire_lab.flows import figures
from sapphire_lab.flows import run as run_lib
from sapphire_lab.flows import scenario
from sapphire_lab.flows import tally

DEPLOYMENTS = (scenario.CASCADIA, scenario.KALNINS)


def measure(seed: int, is_planned: bool) -> dict[str, object]:
    """Runs both deployments and adds up what was counted.

    Args:
        seed: The seed.
        is_planned: Whether no host dies without notice.

    Returns:
        The figures by name.
    """
    runs = []
    for deployment in DEPLOYMENTS:
        run = run_lib.Run(deployment, seed, is_planned)
        run.go()
        run.sweep()
        runs.append(run)
    broken = {}
    for method, name in enumerate(tally.METHODS):
        broken[name] = sum(run.tally.broken[method] for run in runs)
    packets = sum(run.packets[tally.FULL] for run in runs)
    state_bytes = sum(run.state_bytes() for run in runs)
    today = figures.imbalance(7, figures.TODAY_BUCKETS, seed)
    large = figures.imbalance(figures.LARGE_POOL, figures.LARGE_BUCKETS, seed)
    return {
        "seed": seed,
        "flows": sum(run.opened for run in runs),
        "broken": broken,
        "misrouted": sum(run.tally.misrouted[tally.FULL] for run in runs),
        "cold_excess": sum(run.tally.cold_excess() for run in runs),
        "drain_new_after_4s": sum(run.tally.drain_new for run in runs),
        "dc_out_packets_after_4s": sum(run.tally.out_packets for run in runs),
        "imbalance_max_over_mean": round(today[0], 3),
        "control_bytes_per_host_per_s": round(
            max(
                run.world.fabric.peak_control_bytes_per_second() for run in runs
            ),
            1,
        ),
        "us_per_packet": _microseconds(runs, tally.FULL),
        "us_per_packet_baseline": _microseconds(runs, 0),
        "bytes_per_flow": round(
            state_bytes / sum(len(run.flows) for run in runs), 1
        ),
        "bytes_per_record": round(figures.record_bytes(20_000), 1),
        "imbalance_p99_over_mean": round(today[1], 3),
        "imbalance_max_over_mean_73": round(large[0], 3),
        "imbalance_p99_over_mean_73": round(large[1], 3),
        "packets": packets,
        "relays_per_packet": round(
            sum(run.world.fabric.hops for run in runs) / packets, 3
        ),
        "packets_to_repeat": sum(run.tally.lost for run in runs),
    }


def _microseconds(runs: list[run_lib.Run], method: int) -> float:
    """Returns the time of a method for each packet."""
    seconds = sum(run.seconds[method] for run in runs)
    packets = sum(run.packets[method] for run in runs)
    return round(seconds / packets * 1e6, 2)


def main(seed: int = 1) -> None:
    """Prints a line for unplanned deaths and a line for planned change."""
    for is_planned in (False, True):
        print(json.dumps(measure(seed, is_planned)))
        sys.stdout.flush()


if __name__ == "__main__":
    typer.run(main)
