"""Measures one change of a configuration of the design size.

Prints, as JSON, the bytes that hosts and the store get, the time that a host
takes to decode them and the memory of the process.
"""

import json
import random
import resource
import time
from typing import Annotated

import typer

from sapphire_lab.config import builders
from sapphire_net.store import chunked_sources
from sapphire_wire.documents import bundle
from sapphire_wire.documents import packing

SERVICES = 24_000
UPSTREAMS = 73_000
DATA_CENTRES = 10
CHANGES_PER_S = 11_000 / 86_400
REPEATS = 10
KIB_PER_MB = 1_024


def distribute_upstreams(seed: int) -> dict[str, dict[str, str]]:
    """Distributes the upstreams over services and data centres.

    Args:
        seed: The seed of the random choice of data centres.

    Returns:
        The data centre of each upstream, by service.
    """
    rng = random.Random(seed)
    pool_by_service: dict[str, dict[str, str]] = {}
    for index in range(UPSTREAMS):
        service = f"service-{index % SERVICES}"
        data_centre = f"dc-{rng.randrange(DATA_CENTRES)}"
        pool_by_service.setdefault(service, {})[f"upstream-{index}"] = (
            data_centre
        )
    return pool_by_service


def main(seed: Annotated[int, typer.Option()] = 1) -> None:
    """Measures the draining of one upstream and prints the result as JSON."""
    all_pools = distribute_upstreams(seed)
    first = builders.configuration(all_pools)
    second = builders.configuration(all_pools, first, drained=("upstream-7",))
    before = packing.pack(first, builders.change())
    after = packing.pack(second, builders.change("w2"))
    new_parts = {
        digest: part
        for digest, part in after.parts_by_digest.items()
        if digest not in before.parts_by_digest
    }
    started_s = time.process_time()
    known = bundle.assemble(before.head, before.parts_by_digest, None).ok
    whole_ms = (time.process_time() - started_s) * 1_000
    started_s = time.process_time()
    for _ in range(REPEATS):
        bundle.assemble(after.head, new_parts, known)
    change_ms = (time.process_time() - started_s) * 1_000 / REPEATS
    change_bytes = len(after.head) + sum(map(len, new_parts.values()))
    document = builders.document_bytes(all_pools)
    stored = chunked_sources.encode(document)
    edited = chunked_sources.encode(
        builders.document_bytes(all_pools, (), ("upstream-7",))
    )
    new_chunks = [
        chunk
        for digest, chunk in edited.chunks_by_digest.items()
        if digest not in stored.chunks_by_digest
    ]
    usage = resource.getrusage(resource.RUSAGE_SELF)
    print(
        json.dumps(
            {
                "seed": seed,
                "services": SERVICES,
                "upstreams": UPSTREAMS,
                "parts": len(after.parts_by_digest),
                "whole_bytes": sum(map(len, after.parts_by_digest.values())),
                "head_bytes": len(after.head),
                "parts_of_a_change": len(new_parts),
                "bytes_of_a_change": change_bytes,
                "bytes_per_s": round(change_bytes * CHANGES_PER_S),
                "document_bytes": len(document),
                "document_chunks": len(stored.chunks_by_digest),
                "stored_bytes_of_an_edit": len(edited.manifest)
                + sum(map(len, new_chunks)),
                "decode_whole_ms": round(whole_ms),
                "decode_change_ms": round(change_ms, 1),
                "decode_core_share": round(
                    change_ms / 1_000 * CHANGES_PER_S, 5
                ),
                "peak_process_mb": round(usage.ru_maxrss / KIB_PER_MB),
            }
        )
    )


if __name__ == "__main__":
    typer.run(main)
