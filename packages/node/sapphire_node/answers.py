"""What the API of a host answers, read from its parts."""

from sapphire_data import clock
from sapphire_node import api
from sapphire_node import parts as parts_lib
from sapphire_node import status
from sapphire_wire import api as operator_api
from sapphire_wire import slo_report


def readers(parts: parts_lib.Parts) -> api.Readers:
    """Returns the readers of the API.

    Args:
        parts: The parts of the host.

    Returns:
        The readers; each reads the state at the time of the call.
    """

    def read_status(service: str | None) -> operator_api.HostStatus:
        return status.read(
            parts.own,
            parts.state,
            parts.packets,
            parts.control.membership.view(),
            known=parts.configuration.status(),
            service=service,
            now_ms=parts.time.now_ms(),
        )

    def read_slo(service: str | None) -> operator_api.SloReport:
        return slo_report.build(
            parts.packets.seen.levels,
            parts.own.host_id,
            parts.own.data_centre,
            clock.wall_time_ms(),
            service,
        )

    return api.Readers(
        state=parts.state,
        metrics=parts.meters.render,
        status=read_status,
        slo=read_slo,
        configuration=parts.configuration.record,
    )
