"""The answers of the API for operators, built from the tasks' state."""

from collections.abc import Set
import dataclasses

from sapphire_core.flows import data as flow_data
from sapphire_data import records
from sapphire_node import forwarder
from sapphire_node import lifecycle
from sapphire_wire import api


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """What the configuration task tells operators.

    Attributes:
        known_revision: The newest revision that it has heard of.
        is_store_reachable: Whether its last call of the store succeeded;
            None where it does not call the store.
        configuration: The newest configuration, or None before the first.
    """

    known_revision: int
    is_store_reachable: bool | None
    configuration: records.Configuration | None


def build(
    own: records.HostAddress,
    state: lifecycle.Lifecycle,
    packets: forwarder.Forwarder,
    view: records.MemberView,
    *,
    known: ConfigurationStatus,
    service: str | None,
    now_ms: int,
) -> api.HostStatus:
    """Returns the status of a host.

    Args:
        own: The identity and addresses of the host.
        state: What it says of its readiness.
        packets: The forwarding task.
        view: The membership as it knows it.
        known: What it knows of the configuration.
        service: The only service to report upstreams of; None for all.
        now_ms: The monotonic time.

    Returns:
        The status.
    """
    router = packets.router
    active = router.active_revision
    return api.HostStatus(
        host_id=own.host_id,
        data_centre=own.data_centre,
        address=own.address,
        api_port=own.api_port,
        state=api.HostState(state.phase.value),
        active_revision=active,
        prepared_revision=router.prepared_revision,
        known_revision=max(known.known_revision, router.prepared_revision),
        active_digest=packets.statistics.revisions.active_digest,
        lag_ms=packets.statistics.revisions.lag_ms(now_ms),
        is_fresh=view.is_fresh,
        is_store_reachable=known.is_store_reachable,
        members=tuple(_member(item) for item in view.members_by_id.values()),
        upstreams=_upstreams(packets, known.configuration, service),
    )


def _member(member: records.Member) -> api.MemberStatus:
    """Returns what the status says of a member."""
    return api.MemberStatus(
        host_id=member.host.host_id,
        data_centre=member.host.data_centre,
        address=member.host.address,
        api_port=member.host.api_port,
        state=member.state.value,
        prepared_revision=member.prepared_revision,
    )


def _upstreams(
    packets: forwarder.Forwarder,
    configuration: records.Configuration | None,
    service: str | None,
) -> tuple[api.UpstreamStatus, ...]:
    """Returns what the status says of the upstreams."""
    if configuration is None:
        return ()
    failed = {
        overlay.upstream
        for overlay in packets.router.observations()
        if overlay.state is flow_data.ObservedState.FAILED
    }
    upstreams = []
    for name, known in configuration.services_by_name.items():
        if service is not None and name != service:
            continue
        for upstream in known.upstreams_by_name.values():
            is_draining = upstream.intent is records.UpstreamIntent.DRAIN
            upstreams.append(
                api.UpstreamStatus(
                    service=name,
                    upstream=upstream.name,
                    data_centre=upstream.data_centre,
                    flows=packets.statistics.opened_by_upstream.get(
                        upstream.name, 0
                    ),
                    is_draining=is_draining,
                    is_ready=_is_ready(upstream, configuration, failed),
                )
            )
    return tuple(upstreams)


def _is_ready(
    upstream: records.Upstream,
    configuration: records.Configuration,
    failed: Set[str],
) -> bool:
    """Returns whether an upstream would get a new flow.

    Args:
        upstream: The upstream.
        configuration: The newest configuration.
        failed: The upstreams that hosts found to have failed.

    Returns:
        Whether it serves, its data centre is in and it has not failed.
    """
    if upstream.intent is not records.UpstreamIntent.SERVE:
        return False
    data_centre = configuration.data_centres_by_name.get(upstream.data_centre)
    if data_centre is None:
        return False
    if data_centre.state is not records.DataCentreState.IN:
        return False
    return upstream.name not in failed
