"""Measures broken flows in simulations of flow routing.

The requirements on the results are in `docs/design/0002-flow-routing.md`. Each
line is a JSON object. The last line is for planned changes only, the one before
it for the same changes with crashes of hosts among them. The lines before those
two give details that explain them.
"""

import json
import sys

import typer

from sapphire_lab.flows import component_measurements
from sapphire_lab.flows import configuration_editor
from sapphire_lab.flows import measurement_counters
from sapphire_lab.flows import simulation_run
from sapphire_lab.flows import slopes

DEPLOYMENTS = (configuration_editor.CASCADIA, configuration_editor.KALNINS)


def run_all(seed: int, is_planned: bool) -> list[simulation_run.SimulationRun]:
    """Simulates both deployments.

    Args:
        seed: Seeds the random choices.
        is_planned: Whether no host or upstream fails.
    """
    runs = []
    for deployment in DEPLOYMENTS:
        simulation = simulation_run.SimulationRun(deployment, seed, is_planned)
        simulation.run()
        simulation.check_all_flows()
        runs.append(simulation)
    return runs


def required_figures(
    seed: int, runs: list[simulation_run.SimulationRun]
) -> dict[str, object]:
    """Returns the figures that the requirements limit.

    Args:
        seed: The seed of the runs.
        runs: The runs of all deployments.
    """
    broken = {}
    for method, name in enumerate(measurement_counters.METHODS):
        broken[name] = sum(run.counters.broken_flows[method] for run in runs)
    handover_rates = [
        run.fleet.fabric.peak_handover_bytes_per_second() for run in runs
    ]
    state_bytes = sum(run.state_bytes() for run in runs)
    open_flows = sum(len(run.flows) for run in runs)
    greatest_load, _ = component_measurements.measure_imbalance(
        7, component_measurements.DEFAULT_BUCKETS, seed
    )
    return {
        "seed": seed,
        "flows": sum(run.opened for run in runs),
        "broken": broken,
        "misrouted": sum(
            run.counters.misrouted_packets[measurement_counters.FULL]
            for run in runs
        ),
        "cold_excess": sum(
            run.counters.count_slow_start_excess() for run in runs
        ),
        "drain_new_after_4s": sum(
            run.counters.new_flows_while_draining for run in runs
        ),
        "dc_out_packets_after_4s": sum(
            run.counters.packets_while_out for run in runs
        ),
        "imbalance_max_over_mean": round(greatest_load, 3),
        "control_bytes_per_host_per_s": round(max(handover_rates), 1),
        "us_per_packet": _microseconds(runs, measurement_counters.FULL),
        "us_per_packet_baseline": _microseconds(runs, 0),
        "bytes_per_flow": round(state_bytes / open_flows, 1),
    }


def details(
    seed: int, runs: list[simulation_run.SimulationRun], is_planned: bool
) -> dict[str, object]:
    """Returns figures that explain those of `required_figures`.

    Args:
        seed: The seed of the runs.
        runs: The runs of all deployments.
        is_planned: Whether no host or upstream failed.
    """
    packets = sum(run.packets[measurement_counters.FULL] for run in runs)
    relays = sum(run.fleet.fabric.relay_count for run in runs)
    return {
        "seed": seed,
        "is_planned": is_planned,
        "packets": packets,
        "relays_per_packet": round(relays / packets, 3),
        "packets_to_repeat": sum(run.counters.lost_packets for run in runs),
        "misrouted_baselines": [
            sum(run.counters.misrouted_packets[method] for run in runs)
            for method in range(2)
        ],
        "us_per_settled_packet": round(
            slopes.microseconds_per_settled_packet(), 2
        ),
        "imbalance_today": component_measurements.measure_imbalance(
            7, component_measurements.DEFAULT_BUCKETS, seed
        ),
        "imbalance_73": component_measurements.measure_imbalance(
            component_measurements.LARGE_POOL_UPSTREAMS,
            component_measurements.LARGE_BUCKETS,
            seed,
        ),
    }


def _microseconds(
    runs: list[simulation_run.SimulationRun], method: int
) -> float:
    """Returns the microseconds that a method takes for a packet."""
    seconds = sum(run.seconds[method] for run in runs)
    packets = sum(run.packets[method] for run in runs)
    return round(seconds / packets * 1e6, 2)


def main(seed: int = 1) -> None:
    """Prints the details, then the figures with and without crashes."""
    lines = []
    for is_planned in (False, True):
        runs = run_all(seed, is_planned)
        print(json.dumps(details(seed, runs, is_planned)))
        sys.stdout.flush()
        lines.append(required_figures(seed, runs))
    for line in lines:
        print(json.dumps(line))


if __name__ == "__main__":
    typer.run(main)
