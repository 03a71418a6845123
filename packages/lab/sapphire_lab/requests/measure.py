"""Measures requests under load, overload, faults and a planned stop.

Run as `python -m sapphire_lab.requests.measure --seed N`. Each line but the
last reports one scenario; the last is one JSON object.
"""

from collections.abc import Mapping
import json
import math
import random
from typing import Any

import typer

from sapphire_core.requests import data
from sapphire_lab.requests import claim_store_fake
from sapphire_lab.requests import scenario

LOADS = (0.5, 1.0, 2.0, 5.0)
SETTLE_MS = 2_000
LOAD_MS = 8_000
# Up to load 1 goodput is bound by what happens to be offered, so that the
# longer window narrows the chance in the arrivals.
LOW_LOAD_MS = 20_000
FINISH_MS = 5_000
FAULTS_LOAD = 0.6
FAULTS_MS = 16_000
STOP_LOAD = 0.8
FABRIC_LAG_MS = 300
RECOVERY_LOAD = 0.7
OVERLOAD = 5.0
WINDOW_MS = 500
RECOVERED_SHARE = 0.95


def _services(run: scenario.Scenario) -> list[str]:
    return sorted(run.site.upstream_counts_by_service)


def _answered(
    run: scenario.Scenario, service: str, from_ms: int, to_ms: int
) -> int:
    times_ms = run.callers.tally.answer_times_ms.get(service, [])
    return sum(1 for time_ms in times_ms if from_ms <= time_ms < to_ms)


def _finish(run: scenario.Scenario) -> None:
    """Ends the load and lets each request reach its outcome."""
    run.callers.stop()
    run.sim.run_until(run.sim.now_ms + FINISH_MS)


def _counts(run: scenario.Scenario) -> dict[str, int]:
    return {
        "arrivals": run.callers.tally.arrivals,
        "double_runs": run.double_runs(),
        "false_not_run": run.false_not_run(),
        "wrong_answers": run.callers.tally.wrong_answers,
        "unknown": run.callers.tally.outcomes[data.Outcome.UNKNOWN],
        "not_run": run.callers.tally.outcomes[data.Outcome.NOT_RUN],
        "attempts": run.attempts(),
        "sent": run.sent_arrivals(),
        "store_calls": run.store.calls,
        "peer_messages": run.peer_messages,
    }


def measure_load(
    site: scenario.Site, seed: int, load: float
) -> tuple[scenario.Scenario, float]:
    """Offers a load for a while.

    Returns:
        The finished run, and the least goodput of its services as a share of
        what their upstreams bear.
    """
    run = scenario.build(site, seed)
    run.set_load(load)
    load_ms = LOW_LOAD_MS if load <= 1.0 else LOAD_MS
    end_ms = SETTLE_MS + load_ms
    run.sim.run_until(end_ms)
    ratios = []
    for service in _services(run):
        answered = _answered(run, service, SETTLE_MS, end_ms)
        borne = run.actual_capacity_per_second(service) * load_ms / 1_000
        ratios.append(answered / borne)
    _finish(run)
    return run, min(ratios)


def measure_faults(
    site: scenario.Site, seed: int, *, is_baseline: bool
) -> scenario.Scenario:
    """Brings about all faults in one run and returns it, finished.

    Links lose, double, delay, cross and truncate; hosts pause between the
    decision and the transmission, and die; callers send twice at a time and
    again; the store loses answers and is down; a data centre is cut off;
    upstreams restart cold.
    """
    run = scenario.build(site, seed, is_baseline=is_baseline)
    rng = random.Random(f"{seed}/plan")
    run.callers.duplicate_share = 0.05
    for host in run.hosts:
        host.fault_rate = 0.03
        host.pause_rate = 0.001
    run.set_load(FAULTS_LOAD)
    run.sim.call_at(2_000, lambda: _inject_store_faults(run))
    run.sim.call_at(5_000, lambda: _set_store_down(run, is_down=True))
    run.sim.call_at(6_500, lambda: _set_store_down(run, is_down=False))
    run.sim.call_at(8_000, lambda: _set_partitioned(run, is_partitioned=True))
    run.sim.call_at(10_000, lambda: _set_partitioned(run, is_partitioned=False))
    for crash_ms in (3_000, 7_000, 11_000):
        run.sim.call_at(crash_ms, lambda: _crash_host(run, rng))
    for restart_ms in (4_000, 9_000, 12_000):
        run.sim.call_at(restart_ms, lambda: _restart_upstream(run, rng))
    run.sim.run_until(FAULTS_MS)
    _finish(run)
    return run


def _inject_store_faults(run: scenario.Scenario) -> None:
    faults = list(claim_store_fake.StoreFault)
    run.store.faults.extend(faults * 5)
    run.sim.call_after(700, run.store.apply_delayed)
    run.sim.call_after(2_500, run.store.apply_delayed)


def _set_store_down(run: scenario.Scenario, *, is_down: bool) -> None:
    run.store.default_fault = claim_store_fake.StoreFault.NONE
    if is_down:
        run.store.default_fault = claim_store_fake.StoreFault.LOST_AFTER


def _set_partitioned(run: scenario.Scenario, *, is_partitioned: bool) -> None:
    for host in run.hosts:
        if host.data_centre == run.site.data_centres[0]:
            host.is_partitioned = is_partitioned


def _crash_host(run: scenario.Scenario, rng: random.Random) -> None:
    living = [host for host in run.hosts if host.is_running]
    run.callers.resend_after_crash(rng.choice(living).crash())
    run.sim.call_after(1_000, run.update_views)


def _restart_upstream(run: scenario.Scenario, rng: random.Random) -> None:
    name = rng.choice(sorted(run.upstreams_by_name))
    run.upstreams_by_name[name].restart(down_ms=300)


def measure_stop(site: scenario.Site, seed: int) -> tuple[int, int]:
    """Stops two hosts one after the other under load.

    Returns:
        The requests in flight at the two stops, and how many of them did not
        get their answer.
    """
    run = scenario.build(site, seed)
    run.set_load(STOP_LOAD)
    in_flight = 0
    cut = 0
    for number in range(2):
        run.sim.run_until(SETTLE_MS * (number + 1))
        host = run.hosts[number]
        arrivals = [e.arrival for e in host.exchanges_by_serial.values()]
        # The fabric still hands requests to the host for a while.
        host.request_engine.begin_drain()
        run.sim.run_until(run.sim.now_ms + FABRIC_LAG_MS)
        run.callers.hosts = [h for h in run.callers.hosts if h is not host]
        while not host.request_engine.is_idle and run.sim.now_ms < 60_000:
            run.sim.run_until(run.sim.now_ms + 10)
        host.is_running = False
        run.update_views()
        in_flight += len(arrivals)
        outcomes = run.callers.outcomes_by_arrival
        cut += sum(
            1
            for arrival in arrivals
            if outcomes.get(arrival) is not data.Outcome.ANSWERED
        )
    return in_flight, cut


def measure_recovery(site: scenario.Site, seed: int) -> float:
    """Overloads the upstreams while some restart cold, then relents.

    Returns:
        The time after the overload until goodput is back at its share of
        before, in milliseconds; infinite if it does not return.
    """
    run = scenario.build(site, seed)
    rng = random.Random(f"{seed}/plan")
    run.set_load(RECOVERY_LOAD)
    run.sim.run_until(6_000)
    run.set_load(OVERLOAD)
    run.sim.call_at(7_000, lambda: _restart_upstream(run, rng))
    run.sim.call_at(9_000, lambda: _restart_upstream(run, rng))
    overload_end_ms = 10_000
    run.sim.run_until(overload_end_ms)
    run.set_load(RECOVERY_LOAD)
    run.sim.run_until(20_000)
    slowest_ms = 0.0
    for service in _services(run):
        before = _answered(run, service, 2_000, 6_000) / 4_000
        wanted = before * RECOVERED_SHARE
        back_ms = math.inf
        for start_ms in range(overload_end_ms, 18_000, 100):
            end_ms = start_ms + WINDOW_MS * 4
            rate = _answered(run, service, start_ms, end_ms) / (
                end_ms - start_ms
            )
            if rate >= wanted:
                back_ms = float(start_ms - overload_end_ms)
                break
        slowest_ms = max(slowest_ms, back_ms)
    return slowest_ms


def _amplification(run: scenario.Scenario) -> float:
    return run.attempts() / max(1, run.sent_arrivals())


def _report(title: str, values: Mapping[str, Any]) -> None:
    pairs = " ".join(f"{name}={value}" for name, value in values.items())
    typer.echo(f"scenario={title} {pairs}")


def measure(seed: int) -> dict[str, Any]:
    """Runs all scenarios of both sites and returns the report."""
    full_runs: list[scenario.Scenario] = []
    baseline_runs: list[scenario.Scenario] = []
    goodputs_by_load: dict[str, float] = {}
    cut = 0
    recovery_ms = 0.0
    for site in scenario.SITES:
        for load in LOADS:
            run, goodput = measure_load(site, seed, load)
            key = f"{load:g}"
            lowest = goodputs_by_load.get(key, math.inf)
            goodputs_by_load[key] = round(min(lowest, goodput), 3)
            truth = _counts(run) | {"goodput": round(goodput, 3)}
            _report(f"load-{key}/{site.name}", truth)
            full_runs.append(run)
        for is_baseline in (False, True):
            run = measure_faults(site, seed, is_baseline=is_baseline)
            runs = baseline_runs if is_baseline else full_runs
            runs.append(run)
            name = "retry_always" if is_baseline else "full"
            _report(f"faults-{name}/{site.name}", _counts(run))
        in_flight, site_cut = measure_stop(site, seed)
        cut += site_cut
        stop = {"in_flight": in_flight, "cut": site_cut}
        _report(f"stop/{site.name}", stop)
        site_recovery_ms = measure_recovery(site, seed)
        recovery_ms = max(recovery_ms, site_recovery_ms)
        _report(f"recovery/{site.name}", {"recovery_ms": site_recovery_ms})
    arrivals = sum(run.callers.tally.arrivals for run in full_runs)
    unknown = sum(
        run.callers.tally.outcomes[data.Outcome.UNKNOWN] for run in full_runs
    )
    calls = sum(run.store.calls for run in full_runs)
    cpu_s = sum(host.cpu_s for run in full_runs for host in run.hosts)
    return {
        "seed": seed,
        "requests": arrivals,
        "double_runs": {
            "retry_always": sum(run.double_runs() for run in baseline_runs),
            "full": sum(run.double_runs() for run in full_runs),
        },
        "false_not_run": {
            "retry_always": sum(run.false_not_run() for run in baseline_runs),
            "full": sum(run.false_not_run() for run in full_runs),
        },
        "wrong_answers": sum(
            run.callers.tally.wrong_answers for run in full_runs
        ),
        "cut_by_planned_stop": cut,
        "unknown_share": round(unknown / arrivals, 4),
        "goodput_ratio_at_load": goodputs_by_load,
        "recovery_ms": recovery_ms if recovery_ms < math.inf else None,
        "retry_amplification": {
            "retry_always": round(max(map(_amplification, baseline_runs)), 3),
            "full": round(max(map(_amplification, full_runs)), 3),
        },
        "store_calls_per_request": round(calls / arrivals, 3),
        "us_per_request_core": round(cpu_s * 1e6 / arrivals, 1),
    }


def main(seed: int = 1) -> None:
    """Prints the measurement of requests.

    Args:
        seed: The seed of all random choices.
    """
    typer.echo(json.dumps(measure(seed)))


if __name__ == "__main__":
    typer.run(main)
