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
    packets: forwarder.Forwarder,
    messages: control.ControlPlane,
    requests: request_service.RequestService,
    slots: slot_message_channel.SlotMessageChannel,
) -> metrics.Metrics:
    """Creates the metrics of a host.

    Args:
        host_id: The identity of the host process.
        packets: The forwarding task.
        messages: The control plane.
        requests: The task that owns requests.
        slots: Carries messages about idle slots.

    Returns:
        The metrics; the caller closes them.
    """
    instruments = metrics.Metrics(PROGRAM, host_id)
    _observe_packets(instruments, packets)
    _observe_messages(instruments, messages)
    _observe_requests(instruments, requests)
    instruments.register_counter(
        "sapphirearch.slot_messages.dropped",
        "{message}",
        "Messages about idle slots dropped, by the reason.",
        lambda: _by_error_type(slots.drops.dropped_by_type),
    )
    return instruments


def _observe_requests(
    instruments: metrics.Metrics, requests: request_service.RequestService
) -> None:
    """Registers what the owner of the requests counts."""
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


def _observe_packets(
    instruments: metrics.Metrics, packets: forwarder.Forwarder
) -> None:
    """Registers what the forwarding task counts."""
    counters = packets.counters
    instruments.register_counter(
        "sapphirearch.packets",
        "{packet}",
        "Packets by the way that they took.",
        lambda: {
            ((_PATH, "upstream"),): float(counters.forwarded),
            ((_PATH, "keeper"),): float(counters.relayed),
            ((_PATH, "given_up"),): float(counters.given_up),
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
        lambda: {(): float(packets.router.active_revision)},
    )


def _observe_messages(
    instruments: metrics.Metrics, messages: control.ControlPlane
) -> None:
    """Registers what the control plane counts."""
    counters = messages.counters
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
        lambda: {(): float(len(messages.membership.view().members_by_id))},
    )


def _by_error_type(
    counts: Mapping[str, int],
) -> dict[metrics.Attributes, float]:
    """Returns counts with the attribute of the semantic conventions."""
    return {
        ((metrics.ATTRIBUTE_ERROR_TYPE, code),): float(count)
        for code, count in counts.items()
    }
