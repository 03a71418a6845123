"""Reads what the API of a host answers from the components of the daemon."""

from sapphire_data import clock
from sapphire_node import api
from sapphire_node import components as components_lib
from sapphire_node import status
from sapphire_wire import api as operator_api
from sapphire_wire import slo_report


def create_readers(components: components_lib.Components) -> api.Readers:
    """Creates the readers of the API.

    Args:
        components: The components of the host.

    Returns:
        The readers; each reads the state at the time of the call.
    """

    def read_status(service: str | None) -> operator_api.HostStatus:
        return status.build(
            components.own_address,
            components.lifecycle,
            components.forwarder,
            components.control_plane.membership.view(),
            configuration_status=components.configuration_sync.status(),
            service=service,
            now_ms=components.time.now_ms(),
        )

    def read_slo(service: str | None) -> operator_api.SloReport:
        return slo_report.build(
            components.forwarder.statistics.slo_counters,
            components.own_address.host_id,
            components.own_address.data_centre,
            clock.wall_time_ms(),
            service,
        )

    return api.Readers(
        lifecycle=components.lifecycle,
        metrics=components.metrics.render,
        status=read_status,
        slo=read_slo,
        configuration=components.configuration_sync.encode_bundle,
    )
