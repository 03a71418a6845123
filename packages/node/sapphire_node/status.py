"""Builds the status that the API reports to operators."""

from collections.abc import Set
import dataclasses

from sapphire_core.flows import data as flow_data
from sapphire_data import records
from sapphire_node import forwarder
from sapphire_node import lifecycle
from sapphire_wire import api


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """The status of the configuration task.

    Attributes:
        known_revision: The newest revision that it knows to exist.
        is_store_reachable: Whether its last call of the store succeeded;
            None if it has not called the store.
        configuration: The newest configuration, or None before the first.
    """

    known_revision: int
    is_store_reachable: bool | None
    configuration: records.Configuration | None


def build(
    own_address: records.HostAddress,
    state: lifecycle.Lifecycle,
    packet_forwarder: forwarder.Forwarder,
    view: records.MemberView,
    *,
    configuration_status: ConfigurationStatus,
    service: str | None,
    now_ms: int,
) -> api.HostStatus:
    """Builds the status of a host.

    Args:
        own_address: The identity and addresses of the host.
        state: The phase of the process.
        packet_forwarder: The forwarding task.
        view: The membership as this host sees it.
        configuration_status: The status of the configuration task.
        service: The only service whose upstreams are reported; None for all.
        now_ms: The monotonic time.

    Returns:
        The status.
    """
    router = packet_forwarder.router
    active = router.active_revision
    return api.HostStatus(
        host_id=own_address.host_id,
        data_centre=own_address.data_centre,
        address=own_address.address,
        api_port=own_address.api_port,
        state=api.HostState(state.phase.value),
        active_revision=active,
        prepared_revision=router.prepared_revision,
        known_revision=max(
            configuration_status.known_revision, router.prepared_revision
        ),
        active_digest=packet_forwarder.statistics.revisions.active_digest,
        lag_ms=packet_forwarder.statistics.revisions.lag_ms(now_ms),
        is_fresh=view.is_fresh,
        is_store_reachable=configuration_status.is_store_reachable,
        members=tuple(_member(item) for item in view.members_by_id.values()),
        upstreams=_upstreams(
            packet_forwarder, configuration_status.configuration, service
        ),
    )


def _member(member: records.Member) -> api.MemberStatus:
    """Returns the status of a member."""
    return api.MemberStatus(
        host_id=member.host.host_id,
        data_centre=member.host.data_centre,
        address=member.host.address,
        api_port=member.host.api_port,
        state=member.state.value,
        prepared_revision=member.prepared_revision,
    )


def _upstreams(
    packet_forwarder: forwarder.Forwarder,
    configuration: records.Configuration | None,
    service: str | None,
) -> tuple[api.UpstreamStatus, ...]:
    """Returns the status of the upstreams."""
    if configuration is None:
        return ()
    failed = {
        observation.upstream
        for observation in packet_forwarder.router.observations()
        if observation.state is flow_data.ObservedState.FAILED
    }
    upstreams = []
    for name, service_record in configuration.services_by_name.items():
        if service is not None and name != service:
            continue
        for upstream in service_record.upstreams_by_name.values():
            is_draining = upstream.intent is records.UpstreamIntent.DRAIN
            upstreams.append(
                api.UpstreamStatus(
                    service=name,
                    upstream=upstream.name,
                    data_centre=upstream.data_centre,
                    flows=packet_forwarder.statistics.opened_by_upstream.get(
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
    """Returns whether an upstream can get new flows.

    Args:
        upstream: The upstream.
        configuration: The newest configuration.
        failed: The upstreams that hosts observe as failed.

    Returns:
        Whether it serves, its data centre is in rotation and it has not failed.
    """
    if upstream.intent is not records.UpstreamIntent.SERVE:
        return False
    data_centre = configuration.data_centres_by_name.get(upstream.data_centre)
    if data_centre is None:
        return False
    if data_centre.state is not records.DataCentreState.IN:
        return False
    return upstream.name not in failed
