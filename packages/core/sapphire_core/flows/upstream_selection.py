"""The choice of an upstream for a new flow of an ambiguous bucket."""

from collections.abc import Callable
from collections.abc import Iterator

from sapphire_core.flows import failures
from sapphire_core.flows import routes as routes_lib
from sapphire_data import failures as data_failures


def select_upstream(
    routes: routes_lib.Routes,
    bucket: int,
    flow_hash: int,
    is_base_preferred: bool,
    admits: Callable[[str], bool],
) -> str | data_failures.Failure:
    """Chooses the upstream of a new flow.

    Args:
        routes: The routes of the service.
        bucket: The bucket of the flow.
        flow_hash: The hash of the flow.
        is_base_preferred: Whether the base owner goes first, since records
            of this host may be lost to the others.
        admits: Whether an upstream bears one more new flow; an admission is
            counted at once.

    Returns:
        The name of the upstream, or why there is none.
    """
    if not routes.shared[bucket]:
        # Other hosts may take the bucket as settled at its base owner.
        return select_default_owner(routes, bucket, admits)
    candidates = _owners(routes, bucket)
    if is_base_preferred:
        candidates.reverse()
    for candidate in candidates:
        if candidate in routes.eligible and admits(candidate):
            return candidate
    for candidate in _others(routes, flow_hash):
        if candidate in candidates or candidate not in routes.eligible:
            continue
        if admits(candidate):
            return candidate
    if routes.eligible:
        return failures.UpstreamsCold(routes.name)
    return failures.NoUpstream(routes.name)


def select_default_owner(
    routes: routes_lib.Routes, bucket: int, admits: Callable[[str], bool]
) -> str | data_failures.Failure:
    """Chooses the base owner, which every host knows, or nothing.

    Args:
        routes: The routes of the service.
        bucket: The bucket of the flow.
        admits: Whether an upstream bears one more new flow.

    Returns:
        The base owner, or why it cannot take the flow.
    """
    base = routes.base_owner(bucket)
    if base is None or base not in routes.eligible:
        return failures.BarrierPending(routes.name)
    if not admits(base):
        return failures.UpstreamsCold(routes.name)
    return base


def _owners(routes: routes_lib.Routes, bucket: int) -> list[str]:
    """Returns the owners of a bucket, the newest generation first."""
    owners = []
    for generation in reversed(routes.generations):
        owner = generation.owner(bucket)
        if owner is not None and owner not in owners:
            owners.append(owner)
    return owners


def _others(routes: routes_lib.Routes, flow_hash: int) -> Iterator[str]:
    """Yields the newest pool, from a place that depends on the flow."""
    pool = routes.generations[-1].upstreams
    start = flow_hash // routes.bucket_count
    for step in range(len(pool)):
        yield pool[(start + step) % len(pool)]
