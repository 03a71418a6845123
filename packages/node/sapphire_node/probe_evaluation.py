"""What the result of a probe says about the state of an upstream."""

from collections.abc import Iterable

from sapphire_core.flows import data
from sapphire_core.flows import upstream_health
from sapphire_node import messages

_NO_VERSION = 0


def evaluate_probe(
    health: upstream_health.UpstreamHealth,
    probed: messages.UpstreamProbed,
    overlays: Iterable[data.UpstreamObservation],
    now_ms: int,
) -> data.UpstreamObservation | None:
    """Returns the new state of an upstream, if a probe changes it.

    A new process at the same address counts before anything else: it is cold
    whether or not its predecessor was seen to fail.

    Args:
        health: What this host observed before.
        probed: The result.
        overlays: The states in force.
        now_ms: The monotonic time.

    Returns:
        The state to spread, or None.
    """
    version = _NO_VERSION
    for overlay in overlays:
        if overlay.upstream == probed.upstream:
            version = overlay.version
    if probed.is_reachable and probed.boot_id:
        restarted = health.record_boot_id(
            probed.upstream, probed.boot_id, version
        )
        if restarted is not None:
            return restarted
    return health.record_connection(
        probed.upstream, probed.is_reachable, version, now_ms
    )
