"""The metrics of the daemon, read from the counters of its tasks."""

from collections.abc import Mapping

from sapphire_net import metrics
from sapphire_node import control
from sapphire_node import forwarder
from sapphire_node import slot_message_channel
from sapphire_node.requests import service as request_service

PROGRAM = "sapphirearchd"
_PATH = "sapphirearch.packet.path"
_DIRECTION = "network.io.direction"
_EVENT = "sapphirearch.request.event"
_STORE_CALLS = "store_calls"
_UPLOAD_MEMORY = "upload_memory_bytes"
_NOT_EVENTS = frozenset((_STORE_CALLS, _UPLOAD_MEMORY))


def create(
    host_id: str,
    packet_forwarder: forwarder.Forwarder,
    control_plane: control.ControlPlane,
    requests: request_service.RequestService,
    slot_messages: slot_message_channel.SlotMessageChannel,
) -> metrics.Metrics:
    """Creates the metrics of a host.

    Args:
        host_id: The identity of the host process.
        packet_forwarder: The forwarding task.
        control_plane: The control plane.
        requests: The task that owns requests.
        slot_messages: Sends and receives messages about idle slots.

    Returns:
        The metrics; the caller closes them.
    """
    instruments = metrics.Metrics(PROGRAM, host_id)
    _register_packet_metrics(instruments, packet_forwarder)
    _register_control_metrics(instruments, control_plane)
    _register_request_metrics(instruments, requests)
    instruments.register_counter(
        "sapphirearch.slot_messages.dropped",
        "{message}",
        "Messages about idle slots dropped, by the reason.",
        lambda: _by_error_type(slot_messages.drops.dropped_by_type),
    )
    return instruments


def _register_request_metrics(
    instruments: metrics.Metrics, requests: request_service.RequestService
) -> None:
    """Registers the metrics of the task that owns the requests."""
    instruments.register_counter(
        "sapphirearch.request.events",
        "{event}",
        "Events in the life of requests.",
        lambda: {
            ((_EVENT, name),): float(count)
            for name, count in requests.counters().items()
            if name not in _NOT_EVENTS
        },
    )
    instruments.register_counter(
        "sapphirearch.request.store_calls",
        "{call}",
        "Calls of the platform's store to claim requests.",
        lambda: {(): float(requests.counters()[_STORE_CALLS])},
    )
    instruments.register_gauge(
        "sapphirearch.request.upload_memory",
        "By",
        "Memory in use for bodies of requests.",
        lambda: {(): float(requests.counters()[_UPLOAD_MEMORY])},
    )


def _register_packet_metrics(
    instruments: metrics.Metrics, packet_forwarder: forwarder.Forwarder
) -> None:
    """Registers the metrics of the forwarding task."""
    counters = packet_forwarder.counters
    instruments.register_counter(
        "sapphirearch.packets",
        "{packet}",
        "Packets by the way that they took.",
        lambda: {
            ((_PATH, "upstream"),): float(counters.forwarded),
            # Published name of packets relayed to another host.
            ((_PATH, "keeper"),): float(counters.relayed),
            ((_PATH, "given_up"),): float(counters.reset),
        },
    )
    instruments.register_counter(
        "sapphirearch.packets.dropped",
        "{packet}",
        "Packets dropped, by the type of the failure.",
        lambda: _by_error_type(counters.dropped_by_type),
    )
    instruments.register_gauge(
        "sapphirearch.configuration.revision",
        "{revision}",
        "The configuration revision in force.",
        lambda: {(): float(packet_forwarder.router.active_revision)},
    )


def _register_control_metrics(
    instruments: metrics.Metrics, control_plane: control.ControlPlane
) -> None:
    """Registers the metrics of the control plane."""
    counters = control_plane.counters
    instruments.register_counter(
        "sapphirearch.control.io",
        "By",
        "Bytes of control messages, without relayed packets.",
        lambda: {((_DIRECTION, "transmit"),): float(counters.control_bytes)},
    )
    instruments.register_counter(
        "sapphirearch.control.dropped",
        "{message}",
        "Control messages dropped, by the type of the failure.",
        lambda: _by_error_type(counters.dropped_by_type),
    )
    instruments.register_gauge(
        "sapphirearch.members",
        "{host}",
        "Live hosts that this host knows, itself included.",
        lambda: {(): float(len(control_plane.membership.view().members_by_id))},
    )


def _by_error_type(
    counts: Mapping[str, int],
) -> dict[metrics.Attributes, float]:
    """Returns counts with the error type as OpenTelemetry names it."""
    return {
        ((metrics.ATTRIBUTE_ERROR_TYPE, code),): float(count)
        for code, count in counts.items()
    }
