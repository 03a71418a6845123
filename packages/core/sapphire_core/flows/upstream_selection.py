"""The selection of an upstream for a new flow of an ambiguous bucket."""

from collections.abc import Callable
from collections.abc import Iterator

from sapphire_core.flows import failures
from sapphire_core.flows import routes as routes_lib
from sapphire_data import failures as data_failures


def select_upstream(
    routes: routes_lib.Routes,
    bucket: int,
    flow_hash: int,
    is_default_preferred: bool,
    try_admit: Callable[[str], bool],
) -> str | data_failures.Failure:
    """Selects the upstream of a new flow.

    Args:
        routes: The routes of the service.
        bucket: The bucket of the flow.
        flow_hash: The hash of the flow.
        is_default_preferred: Whether the default owner is tried first, since
            other hosts may lack a record of the flow.
        try_admit: Returns whether slow start lets an upstream get one more new
            flow now, and counts it if so.

    Returns:
        The name of the upstream, or why there is none.
    """
    if not routes.ambiguous_everywhere[bucket]:
        # Other hosts may treat the bucket as settled at its default owner.
        return select_default_owner(routes, bucket, try_admit)
    owners = _owners(routes, bucket, is_oldest_first=is_default_preferred)
    for owner in owners:
        if owner in routes.eligible and try_admit(owner):
            return owner
    for candidate in _pool_from(routes, flow_hash):
        if candidate in owners or candidate not in routes.eligible:
            continue
        if try_admit(candidate):
            return candidate
    if routes.eligible:
        return failures.UpstreamsCold(routes.name)
    return failures.NoUpstream(routes.name)


def select_default_owner(
    routes: routes_lib.Routes, bucket: int, try_admit: Callable[[str], bool]
) -> str | data_failures.Failure:
    """Selects the default owner, which all hosts agree on, or nothing.

    Args:
        routes: The routes of the service.
        bucket: The bucket of the flow.
        try_admit: Returns whether slow start lets an upstream get one more new
            flow now, and counts it if so.

    Returns:
        The default owner, or why it cannot get the flow.
    """
    owner = routes.default_owner(bucket)
    if owner is None or owner not in routes.eligible:
        return failures.BarrierPending(routes.name)
    if not try_admit(owner):
        return failures.UpstreamsCold(routes.name)
    return owner


def _owners(
    routes: routes_lib.Routes, bucket: int, *, is_oldest_first: bool
) -> list[str]:
    """Returns the owners of a bucket in the order of their generations.

    An upstream that owns the bucket in several generations counts for the first
    one in that order.
    """
    owners: list[str] = []
    generations = routes.generations
    if not is_oldest_first:
        generations = generations[::-1]
    for generation in generations:
        owner = generation.owner(bucket)
        if owner is not None and owner not in owners:
            owners.append(owner)
    return owners


def _pool_from(routes: routes_lib.Routes, flow_hash: int) -> Iterator[str]:
    """Yields the newest pool, starting at an index given by the flow hash."""
    pool = routes.generations[-1].upstreams
    start = flow_hash // routes.bucket_count
    for step in range(len(pool)):
        yield pool[(start + step) % len(pool)]
