"""Measures the propagation of configurations in fleets with faults.

Operators race to change the configuration while a table of faults runs.
Prints, as JSON, for each size of fleet and for all of them: the time from a
change's acceptance until it is in force, lost and doubled changes, reverts to
an older revision, and the load on the network and the store.
"""

import collections
import itertools
import json
import random
import statistics
from typing import Annotated
from typing import Any

import typer

from sapphire_lab.config import builders
from sapphire_lab.config import fakes
from sapphire_lab.config import simulated_fleet
from sapphire_net.store import changes
from sapphire_net.store import stored_configuration
from sapphire_wire.documents import packing

SIZES = (9, 100, 1_000)
END_MS, LAST_CHANGE_MS, CHANGE_INTERVAL_MS = 90_000, 84_000, 1_700
CHANGES_PER_S = 11_000 / 86_400
# A host that has prepared a revision activates it within this time.
BARRIER_MS = 2_500
# The time until the membership detects that faults have begun or ended.
VIEW_DELAY_MS = 3_000
Faults = simulated_fleet.Faults
PAUSED_HOSTS = frozenset({"h0001", "h0002", "h0005", "h0007"})
FAULTS_BY_START_MS = {
    0: Faults(),
    10_000: Faults(loss=0.1, max_delay_ms=300),
    25_000: Faults(is_store_down=True),
    40_000: Faults(partitioned="dc1"),
    60_000: Faults(paused=PAUSED_HOSTS),
    70_000: Faults(loss=0.05, max_delay_ms=100, paused=PAUSED_HOSTS),
    75_000: Faults(),
}
WRITE_FAULTS = (
    fakes.Fault.LOST_ANSWER,
    fakes.Fault.LATE_EFFECT,
    fakes.Fault.NONE,
)


async def apply_change(environment: Any, author: str, drained: str) -> Any:
    """Applies a document with one drained upstream, as one operator."""
    snapshot = await stored_configuration.read_snapshot(environment)
    if snapshot.is_error():
        return snapshot
    document = builders.document_bytes(drained=(drained,))
    intent = changes.Intent(
        document, builders.bindings_bytes(), author, acknowledged=("rota",)
    )
    return await changes.apply(environment, snapshot.ok, intent)


def measure(size: int, seed: int) -> dict[str, Any]:
    """Runs one fleet through the table of faults.

    Args:
        size: The number of hosts.
        seed: The seed of all random decisions.

    Returns:
        The figures of the run, by name.
    """
    rng = random.Random(seed)
    store = fakes.FakeStore()
    environment = fakes.fake_environment(store)
    fleet = simulated_fleet.SimulatedFleet(size, rng)
    tasks: dict[str, fakes.SteppedTask[Any]] = {}
    accepted_ms: dict[int, int] = {}
    known_digests: frozenset[bytes] = frozenset()
    watch_ms = 0
    while fleet.now_ms < END_MS:
        now_ms = fleet.now_ms
        fleet.faults = FAULTS_BY_START_MS.get(now_ms, fleet.faults)
        if now_ms - VIEW_DELAY_MS in FAULTS_BY_START_MS:
            fleet.set_views(fleet.faults)
        accepts_changes = (
            now_ms < LAST_CHANGE_MS and not fleet.faults.is_store_down
        )
        if accepts_changes and now_ms % CHANGE_INTERVAL_MS == 0:
            for author in (f"a{now_ms}", f"b{now_ms}"):
                drained = rng.choice(("rota-1", "rota-2", "plans-1"))
                coroutine = apply_change(environment, author, drained)
                tasks[author] = fakes.SteppedTask(coroutine)
            store.faults = [fakes.Fault.NONE] * rng.randrange(4, 20)
            store.faults.append(rng.choice(WRITE_FAULTS))
        running = [task for task in tasks.values() if not task.is_done]
        if not fleet.faults.is_store_down:
            for task in rng.sample(running, len(running)):
                task.step()
        if rng.random() < 0.01:
            store.apply_delayed_writes()
        item = store.state.items_by_key.get("test/head")
        head = packing.unpack_head(item.value).ok if item else None
        if head is not None and head.version != fleet.head:
            accepted_ms[head.version.revision] = now_ms
            new_digests = set(head.part_digests) - known_digests
            known_digests = frozenset(head.part_digests)
            keys = [environment.part_key(digest) for digest in new_digests]
            items = store.state.items_by_key
            fleet.publish(head.version, [len(items[k].value) for k in keys])
        fleet.step()
        watch_ms += len(fleet.watching) * simulated_fleet.STEP_MS
    return summarise(fleet, accepted_ms, tasks, environment, watch_ms)


def summarise(
    fleet: simulated_fleet.SimulatedFleet,
    accepted_ms: dict[int, int],
    tasks: dict[str, fakes.SteppedTask[Any]],
    environment: Any,
    watch_ms: int,
) -> dict[str, Any]:
    """Computes the figures of a run.

    Args:
        fleet: The fleet at the end of the run.
        accepted_ms: When the store accepted each revision.
        tasks: The change of each author.
        environment: The environment that the authors changed.
        watch_ms: The sum of the times of all open watches.

    Returns:
        The figures of the run, by name.
    """
    delays_ms: list[int] = []
    catch_up_ms = lost = 0
    windows = [
        (start_ms, end_ms, FAULTS_BY_START_MS[start_ms])
        for start_ms, end_ms in itertools.pairwise(sorted(FAULTS_BY_START_MS))
    ]
    first_learned_ms: dict[int, int] = {}
    for (_, revision), at_ms in fleet.learned_ms.items():
        first_learned_ms[revision] = min(
            at_ms, first_learned_ms.get(revision, at_ms)
        )
    for (name, data_centre), revision in itertools.product(
        fleet.data_centre_by_host.items(), accepted_ms
    ):
        learned_ms = fleet.learned_ms.get((name, revision))
        if learned_ms is None:
            lost += 1
            continue
        from_ms = accepted_ms[revision]
        for start_ms, end_ms, faults in windows:
            if from_ms >= end_ms or learned_ms < start_ms:
                continue
            # The delay of a host starts once it can reach any source of the
            # revision: after its partition, its pause, or an outage of the
            # store in which no host had the revision.
            is_isolated = (
                faults.partitioned == data_centre or name in faults.paused
            )
            if is_isolated or (
                faults.is_store_down and first_learned_ms[revision] >= end_ms
            ):
                from_ms = end_ms
                if (
                    faults.partitioned == data_centre
                    and name not in PAUSED_HOSTS
                ):
                    catch_up_ms = max(catch_up_ms, learned_ms - end_ms)
        delays_ms.append(max(learned_ms - from_ms, 0) + BARRIER_MS)
    heads = fakes.SteppedTask(changes.read_history(environment)).finish().ok
    counts = collections.Counter(head.change.author for head in heads)
    outcomes = {author: task.finish() for author, task in tasks.items()}
    lost += sum(o.is_ok() and not counts[a] for a, o in outcomes.items())
    doubled = sum(
        counts[a] > (1 if o.is_ok() else 0) for a, o in outcomes.items()
    )
    seconds = END_MS / 1_000
    return {
        "changes": len(accepted_ms),
        "p50": int(statistics.median(delays_ms)),
        "max": max(delays_ms),
        "reverts": fleet.revert_count,
        "lost": lost,
        "doubled": doubled,
        "bytes": fleet.byte_count / len(fleet.hosts) / seconds,
        "calls": (fleet.store_calls + watch_ms / 1_000) / seconds,
        "catch_up": catch_up_ms,
    }


def main(seed: Annotated[int, typer.Option()] = 1) -> None:
    """Measures each fleet size and prints the result as JSON."""
    row_by_size = {size: measure(size, seed) for size in SIZES}
    for size, row in row_by_size.items():
        print(json.dumps({"hosts": size, **row}))
    rows = list(row_by_size.values())
    print(
        json.dumps(
            {
                "seed": seed,
                "hosts": max(SIZES),
                "changes": sum(row["changes"] for row in rows),
                "in_force_p50_ms": rows[-1]["p50"],
                "in_force_max_ms": max(row["max"] for row in rows),
                "reverts": sum(row["reverts"] for row in rows),
                "lost_accepted": sum(row["lost"] for row in rows),
                "double_applied": sum(row["doubled"] for row in rows),
                "bytes_per_host_per_s": round(
                    max(row["bytes"] for row in rows)
                ),
                "store_calls_per_s": {
                    str(size): round(row["calls"], 2)
                    for size, row in row_by_size.items()
                },
                "catch_up_after_partition_ms": max(r["catch_up"] for r in rows),
            }
        )
    )


if __name__ == "__main__":
    typer.run(main)
