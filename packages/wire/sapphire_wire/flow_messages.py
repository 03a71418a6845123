"""Encodes and decodes messages of flow routing between hosts.

Flow hashes are unsigned 64-bit integers in the core and signed ones on the
wire.
"""

import dataclasses
import ipaddress

import expression

from sapphire_core.flows import data
from sapphire_data import failures
from sapphire_wire import codec
from sapphire_wire.gen.flows import ttypes as flow_types
from sapphire_wire.gen.relay import ttypes as relay_types

_SIGN_BIT = 1 << 63
_TWO_TO_64 = 1 << 64
_BEFORE_FIRST_HASH = -1

MAX_VISITED_HOSTS = 8
MAX_PORT = 65_535
OBSERVATION_KEY_PREFIX = "upstream/"


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedPacket:
    """A packet that another host relayed.

    Attributes:
        header: What the router needs besides the packet.
        packet: The caller's IP packet.
        fabric: The IP address and UDP port of the fabric that the packet came
            from; a reset for the caller is sent there.
    """

    header: data.RelayHeader
    packet: bytes
    fabric: tuple[str, int]


def encode_relay(
    relay: data.Relay, packet: bytes, fabric: tuple[str, int]
) -> bytes:
    """Encodes a packet that is relayed to another host.

    Args:
        relay: The decision of the router.
        packet: The caller's IP packet.
        fabric: The IP address and UDP port of the fabric that the packet came
            from.

    Returns:
        The encoded record.
    """
    return codec.encode(
        relay_types.RelayedPacket(
            revision=relay.revision,
            visited=list(relay.visited),
            packet=packet,
            upstream=relay.upstream,
            fabric_address=fabric[0],
            fabric_port=fabric[1],
        )
    )


def decode_relay(
    body: bytes,
) -> expression.Result[RelayedPacket, failures.UnreadableInput]:
    """Decodes a packet that another host relayed.

    Args:
        body: The encoded record; it may hold arbitrary bytes.

    Returns:
        The packet with its header, or why it cannot be decoded.
    """
    decoded = codec.decode(relay_types.RelayedPacket, body)
    if decoded.is_error():
        return expression.Error(decoded.error)
    record = decoded.ok
    if not 0 < len(record.visited) <= MAX_VISITED_HOSTS:
        return _unreadable_relay(
            f"{len(record.visited)} visited hosts, which is out of range"
        )
    if not _is_fabric(record.fabric_address, record.fabric_port):
        return _unreadable_relay("the address or port of the fabric is invalid")
    header = data.RelayHeader(
        tuple(record.visited), record.upstream, record.revision
    )
    fabric = (record.fabric_address, record.fabric_port)
    return expression.Ok(RelayedPacket(header, record.packet, fabric))


def encode_handover_request(request: data.HandoverRequest) -> bytes:
    """Encodes a request for a page of flow records.

    Args:
        request: The request.

    Returns:
        The encoded record.
    """
    is_first = request.after_flow_hash == _BEFORE_FIRST_HASH
    return codec.encode(
        flow_types.HandoverRequest(
            service_name=request.service,
            buckets=list(request.buckets),
            after_flow_hash=0 if is_first else _signed(request.after_flow_hash),
            is_first_page=is_first,
        )
    )


def decode_handover_request(
    body: bytes,
) -> expression.Result[data.HandoverRequest, failures.UnreadableInput]:
    """Decodes a request for a page of flow records.

    Args:
        body: The encoded record; it may hold arbitrary bytes.

    Returns:
        The request, or why it cannot be decoded.
    """
    decoded = codec.decode(flow_types.HandoverRequest, body)
    if decoded.is_error():
        return expression.Error(decoded.error)
    record = decoded.ok
    after = _BEFORE_FIRST_HASH
    if not record.is_first_page:
        after = _unsigned(record.after_flow_hash)
    return expression.Ok(
        data.HandoverRequest(record.service_name, tuple(record.buckets), after)
    )


def encode_handover_page(page: data.HandoverPage) -> bytes:
    """Encodes a page of flow records.

    Args:
        page: The page.

    Returns:
        The encoded record.
    """
    return codec.encode(
        flow_types.HandoverPage(
            service_name=page.service,
            buckets=list(page.buckets),
            kept_buckets=list(page.kept_buckets),
            complete_buckets=list(page.complete_buckets),
            upstreams=list(page.upstreams),
            flow_hashes=[_signed(value) for value in page.flow_hashes],
            upstream_indices=list(page.upstream_indices),
            is_last=page.is_last,
        )
    )


def decode_handover_page(
    body: bytes,
) -> expression.Result[data.HandoverPage, failures.UnreadableInput]:
    """Decodes a page of flow records.

    Args:
        body: The encoded record; it may hold arbitrary bytes.

    Returns:
        The page, or why it cannot be decoded.
    """
    decoded = codec.decode(flow_types.HandoverPage, body)
    if decoded.is_error():
        return expression.Error(decoded.error)
    record = decoded.ok
    if len(record.flow_hashes) != len(record.upstream_indices):
        return _unreadable_page(
            "HandoverPage", "flow_hashes and upstream_indices differ in length"
        )
    for index in record.upstream_indices:
        if not 0 <= index < len(record.upstreams):
            return _unreadable_page(
                "HandoverPage", f"upstream index {index} is out of range"
            )
    return expression.Ok(
        data.HandoverPage(
            service=record.service_name,
            buckets=tuple(record.buckets),
            kept_buckets=tuple(record.kept_buckets),
            complete_buckets=tuple(record.complete_buckets),
            upstreams=tuple(record.upstreams),
            flow_hashes=tuple(_unsigned(value) for value in record.flow_hashes),
            upstream_indices=tuple(record.upstream_indices),
            is_last=record.is_last,
        )
    )


def encode_observation(observation: data.UpstreamObservation) -> bytes:
    """Encodes the observed state of an upstream.

    Args:
        observation: The observation.

    Returns:
        The encoded record.
    """
    return codec.encode(
        flow_types.Overlay(
            upstream=observation.upstream,
            state=observation.state.value,
            boot_id=observation.boot_id,
            version=observation.version,
        )
    )


def decode_observation(
    body: bytes,
) -> expression.Result[data.UpstreamObservation, failures.UnreadableInput]:
    """Decodes the observed state of an upstream.

    Args:
        body: The encoded record; it may hold arbitrary bytes.

    Returns:
        The observation, or why it cannot be decoded.
    """
    decoded = codec.decode(flow_types.Overlay, body)
    if decoded.is_error():
        return expression.Error(decoded.error)
    record = decoded.ok
    try:
        state = data.ObservedState(record.state)
    except ValueError as error:
        return expression.Error(failures.UnreadableInput("Overlay", str(error)))
    return expression.Ok(
        data.UpstreamObservation(
            record.upstream, state, record.boot_id, record.version
        )
    )


def _unreadable_page(
    source: str, problem: str
) -> expression.Result[data.HandoverPage, failures.UnreadableInput]:
    """Returns the failure of an inconsistent page of flow records."""
    return expression.Error(failures.UnreadableInput(source, problem))


def _unreadable_relay(
    problem: str,
) -> expression.Result[RelayedPacket, failures.UnreadableInput]:
    """Returns the failure of an invalid relayed packet."""
    return expression.Error(failures.UnreadableInput("RelayedPacket", problem))


def _is_fabric(address: str, port: int) -> bool:
    """Returns whether packets can be sent to an address and port."""
    try:
        ipaddress.ip_address(address)
    except ValueError:
        return False
    return 0 < port <= MAX_PORT


def _signed(value: int) -> int:
    """Returns an unsigned 64-bit number as a signed one of the same bits."""
    return value - _TWO_TO_64 if value >= _SIGN_BIT else value


def _unsigned(value: int) -> int:
    """Returns a signed 64-bit number as an unsigned one of the same bits."""
    return value + _TWO_TO_64 if value < 0 else value
