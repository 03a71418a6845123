"""Turns results of probes into observations of upstreams."""

from collections.abc import Iterable

from sapphire_core.flows import data
from sapphire_core.flows import upstream_health
from sapphire_node import messages

_NO_VERSION = 0


def evaluate_probe(
    health: upstream_health.UpstreamHealth,
    probed: messages.UpstreamProbed,
    observations: Iterable[data.UpstreamObservation],
    now_ms: int,
) -> data.UpstreamObservation | None:
    """Returns the new observation of an upstream, if a probe changes its state.

    A changed boot identity is evaluated first: a new process at the same
    address is cold whether or not its predecessor was observed to fail.

    Args:
        health: What this host has observed of upstreams; it is updated.
        probed: The result of the probe.
        observations: The observations in force.
        now_ms: The monotonic time.

    Returns:
        The observation to publish, or None if the state does not change.
    """
    version = _NO_VERSION
    for observation in observations:
        if observation.upstream == probed.upstream:
            version = observation.version
    if probed.is_reachable and probed.boot_id:
        restarted = health.record_boot_id(
            probed.upstream, probed.boot_id, version
        )
        if restarted is not None:
            return restarted
    return health.record_connection(
        probed.upstream, probed.is_reachable, version, now_ms
    )
