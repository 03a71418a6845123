"""The owner of each bucket of a service in a pool generation (Maglev hashing).

Each upstream has its own permutation of the buckets, derived from its name.
Upstreams take turns to claim the next free bucket of their permutation, so that
the numbers of buckets of two upstreams differ by at most one.
"""

import array
import functools

import xxhash

NO_OWNER = 0xFFFF
TABLE_CACHE_SIZE = 65_536


@functools.lru_cache(maxsize=TABLE_CACHE_SIZE)
def owners(
    service: str, bucket_count: int, upstreams: tuple[str, ...]
) -> "array.array[int]":
    """Computes the table of a pool generation.

    Args:
        service: The name of the service.
        bucket_count: The number of buckets, a prime.
        upstreams: The sorted names of the eligible upstreams.

    Returns:
        For each bucket the index of its owner in `upstreams`, two bytes each;
        `NO_OWNER` everywhere if there are no upstreams. The table is cached,
        so it must not be changed.
    """
    table = array.array("H", [NO_OWNER]) * bucket_count
    if not upstreams:
        return table
    positions = []
    steps = []
    for upstream in upstreams:
        digest = xxhash.xxh3_64_intdigest(f"{service}\0{upstream}".encode())
        positions.append(digest % bucket_count)
        steps.append((digest >> 32) % (bucket_count - 1) + 1)
    claimed = 0
    while True:
        for index in range(len(upstreams)):
            position = positions[index]
            while table[position] != NO_OWNER:
                position = (position + steps[index]) % bucket_count
            table[position] = index
            positions[index] = position
            claimed += 1
            if claimed == bucket_count:
                return table


def owner_name(
    table: "array.array[int]", upstreams: tuple[str, ...], bucket: int
) -> str | None:
    """Returns the name of a bucket's owner.

    Args:
        table: The table of the generation.
        upstreams: The upstreams of the generation.
        bucket: The bucket.

    Returns:
        The name, or None if the generation is empty.
    """
    index = table[bucket]
    if index == NO_OWNER:
        return None
    return upstreams[index]


def ambiguous_buckets(
    service: str,
    bucket_count: int,
    generations: tuple[tuple[str, ...], ...],
) -> list[int]:
    """Returns the buckets whose owner differs between generations.

    Args:
        service: The name of the service.
        bucket_count: The number of buckets.
        generations: The sorted names of the upstreams of each generation.

    Returns:
        These buckets, ascending. All others are settled as far as the
        generations decide it.
    """
    names = sorted({name for pool in generations for name in pool})
    index_by_name = {name: index for index, name in enumerate(names)}
    owners_by_generation = []
    for pool in generations:
        pool_indices = [index_by_name[name] for name in pool]
        table = owners(service, bucket_count, pool)
        if not pool:
            owners_by_generation.append([NO_OWNER] * bucket_count)
            continue
        owners_by_generation.append([pool_indices[index] for index in table])
    ambiguous = []
    for bucket, bucket_owners in enumerate(
        zip(*owners_by_generation, strict=True)
    ):
        if len(set(bucket_owners)) > 1:
            ambiguous.append(bucket)
    return ambiguous
