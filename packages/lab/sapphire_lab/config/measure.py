"""Measures how an accepted configuration spreads, with a table of faults."""

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
END_MS, LAST_CHANGE_MS, CHANGE_MS = 90_000, 84_000, 1_700
CHANGES_PER_S = 11_000 / 86_400
# A host that has prepared a revision activates it within this time.
BARRIER_MS = 2_500
VIEW_DELAY_MS = 3_000
F = simulated_fleet.Faults
PAUSED = frozenset({"h0001", "h0002", "h0005", "h0007"})
FAULT_TABLE = {
    0: F(),
    10_000: F(loss=0.1, late_ms=300),
    25_000: F(is_store_down=True),
    40_000: F(cut="dc1"),
    60_000: F(paused=PAUSED),
    70_000: F(loss=0.05, late_ms=100, paused=PAUSED),
    75_000: F(),
}
LOST = (fakes.Fault.LOST_ANSWER, fakes.Fault.LATE_EFFECT, fakes.Fault.NONE)


async def operate(environment: Any, author: str, drained: str) -> Any:
    """Applies one change of one operator."""
    seen = await stored_configuration.read_snapshot(environment)
    if seen.is_error():
        return seen
    document = builders.document_bytes(drained=(drained,))
    intent = changes.Intent(
        document, builders.bindings_bytes(), author, acknowledged=("rota",)
    )
    return await changes.apply(environment, seen.ok, intent)


def measure(size: int, seed: int) -> dict[str, Any]:
    """Runs one fleet through the table of faults and counts."""
    dice = random.Random(seed)
    store = fakes.FakeStore()
    environment = fakes.fake_environment(store)
    fleet = simulated_fleet.SimulatedFleet(size, dice)
    tasks: dict[str, fakes.SteppedTask[Any]] = {}
    accepted_ms: dict[int, int] = {}
    known: frozenset[bytes] = frozenset()
    watch_ms = 0
    while fleet.now_ms < END_MS:
        now_ms = fleet.now_ms
        fleet.faults = FAULT_TABLE.get(now_ms, fleet.faults)
        if now_ms - VIEW_DELAY_MS in FAULT_TABLE:
            fleet.set_views(fleet.faults)
        is_open = now_ms < LAST_CHANGE_MS and not fleet.faults.is_store_down
        if is_open and now_ms % CHANGE_MS == 0:
            for author in (f"a{now_ms}", f"b{now_ms}"):
                drained = dice.choice(("rota-1", "rota-2", "plans-1"))
                body = operate(environment, author, drained)
                tasks[author] = fakes.SteppedTask(body)
            store.faults = [fakes.Fault.NONE] * dice.randrange(4, 20)
            store.faults.append(dice.choice(LOST))
        running = [task for task in tasks.values() if not task.is_done]
        if not fleet.faults.is_store_down:
            for task in dice.sample(running, len(running)):
                task.step()
        if dice.random() < 0.01:
            store.apply_delayed_writes()
        item = store.state.items_by_key.get("test/head")
        head = packing.unpack_head(item.value).ok if item else None
        if head is not None and head.version != fleet.head:
            accepted_ms[head.version.revision] = now_ms
            new = set(head.part_digests) - known
            known = frozenset(head.part_digests)
            keys = [environment.part_key(digest) for digest in new]
            values = store.state.items_by_key
            fleet.publish(head.version, [len(values[k].value) for k in keys])
        fleet.step()
        watch_ms += len(fleet.watching) * simulated_fleet.STEP_MS
    return summarize(fleet, accepted_ms, tasks, environment, watch_ms)


def summarize(
    fleet: simulated_fleet.SimulatedFleet,
    accepted_ms: dict[int, int],
    tasks: dict[str, fakes.SteppedTask[Any]],
    environment: Any,
    watch_ms: int,
) -> dict[str, Any]:
    """Turns the records of a run into figures."""
    delays: list[int] = []
    catch_up_ms = lost = 0
    windows = [
        (start, end, FAULT_TABLE[start])
        for start, end in itertools.pairwise(sorted(FAULT_TABLE))
    ]
    first_ms: dict[int, int] = {}
    for (_, revision), at_ms in fleet.learned_ms.items():
        first_ms[revision] = min(at_ms, first_ms.get(revision, at_ms))
    for (name, place), revision in itertools.product(
        fleet.places.items(), accepted_ms
    ):
        learned = fleet.learned_ms.get((name, revision))
        if learned is None:
            lost += 1
            continue
        from_ms = accepted_ms[revision]
        for start, end, faults in windows:
            if from_ms >= end or learned < start:
                continue
            # A host counts from when it reaches any source of the revision.
            is_alone = faults.cut == place or name in faults.paused
            if is_alone or (faults.is_store_down and first_ms[revision] >= end):
                from_ms = end
                if faults.cut == place and name not in PAUSED:
                    catch_up_ms = max(catch_up_ms, learned - end)
        delays.append(max(learned - from_ms, 0) + BARRIER_MS)
    heads = fakes.SteppedTask(changes.read_history(environment)).finish().ok
    counts = collections.Counter(head.change.author for head in heads)
    told = {author: task.finish() for author, task in tasks.items()}
    lost += sum(o.is_ok() and not counts[a] for a, o in told.items())
    doubled = sum(counts[a] > (1 if o.is_ok() else 0) for a, o in told.items())
    seconds = END_MS / 1_000
    return {
        "changes": len(accepted_ms),
        "p50": int(statistics.median(delays)),
        "max": max(delays),
        "reverts": fleet.reverts,
        "lost": lost,
        "doubled": doubled,
        "bytes": fleet.byte_count / len(fleet.hosts) / seconds,
        "calls": (fleet.store_calls + watch_ms / 1_000) / seconds,
        "catch_up": catch_up_ms,
    }


def main(seed: Annotated[int, typer.Option()] = 1) -> None:
    """Measures each fleet size and prints the result as JSON."""
    found = {size: measure(size, seed) for size in SIZES}
    for size, row in found.items():
        print(json.dumps({"hosts": size, **row}))
    rows = list(found.values())
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
                    for size, row in found.items()
                },
                "catch_up_after_partition_ms": max(r["catch_up"] for r in rows),
            }
        )
    )


if __name__ == "__main__":
    typer.run(main)
