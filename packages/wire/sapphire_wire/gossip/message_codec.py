"""Encodes gossip messages, and decodes and validates received ones."""

import enum
import ipaddress
from typing import Any

import expression

from sapphire_core.membership import data
from sapphire_data import failures
from sapphire_data import records
from sapphire_wire import codec
from sapphire_wire.gen.membership import ttypes

MAX_NAME_BYTES = 64
MAX_KEY_BYTES = 128
MAX_VALUE_BYTES = 1_024
MAX_PORT = 65_535
MAX_ENTRIES = 256
MAX_BUCKETS = 256
_DIGEST_MODULUS = 1 << 64
_SIGN_BOUNDARY = 1 << 63


class WireState(enum.IntEnum):
    """The number by which a message encodes the state of a host."""

    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


_WIRE_BY_STATE = {
    records.MemberState.ALIVE: WireState.ALIVE,
    records.MemberState.SUSPECT: WireState.SUSPECT,
    records.MemberState.LEAVING: WireState.LEAVING,
    records.MemberState.DEAD: WireState.DEAD,
}
_STATE_BY_WIRE = {int(wire): state for state, wire in _WIRE_BY_STATE.items()}
_KINDS = frozenset(int(kind) for kind in data.MessageKind)


class _FieldError(Exception):
    """Carries the failure of an invalid field to `decode`."""

    def __init__(self, failure: failures.InvalidField) -> None:
        super().__init__(failure.path)
        self.failure = failure


def encode(message: data.GossipMessage) -> bytes:
    """Encodes a message.

    Args:
        message: The message.

    Returns:
        The body of a sealed datagram.
    """
    return codec.encode(
        ttypes.GossipMessage(
            kind=int(message.kind),
            number=message.number,
            origin=_member_to_wire(message.origin),
            subject=message.subject or None,
            digest=_signed(message.digest) or None,
            members=[_member_to_wire(entry) for entry in message.members]
            or None,
            facts=[_fact_to_wire(fact) for fact in message.facts] or None,
            prepared=[_prepared_to_wire(entry) for entry in message.prepared]
            or None,
            bucket_digests=[
                _signed(digest) for digest in message.bucket_digests
            ]
            or None,
            cursor=message.cursor or None,
        )
    )


def decode(
    body: bytes,
) -> expression.Result[data.GossipMessage, failures.Failure]:
    """Decodes and validates a message.

    Args:
        body: The body of a datagram; it may hold arbitrary bytes.

    Returns:
        The message, or why it cannot be decoded or is invalid.
    """
    decoded = codec.decode(ttypes.GossipMessage, body)
    if decoded.is_error():
        return expression.Error(decoded.error)
    try:
        return expression.Ok(_message_from_wire(decoded.ok))
    except _FieldError as error:
        return expression.Error(error.failure)


def _message_from_wire(wire: Any) -> data.GossipMessage:
    """Returns the message of a thrift record, validated."""
    _require(wire.kind in _KINDS, "kind", "unknown kind", "a known kind")
    members = wire.members or ()
    facts = wire.facts or ()
    prepared = wire.prepared or ()
    buckets = wire.bucket_digests or ()
    for name, items, limit in (
        ("members", members, MAX_ENTRIES),
        ("facts", facts, MAX_ENTRIES),
        ("prepared", prepared, MAX_ENTRIES),
        ("bucket_digests", buckets, MAX_BUCKETS),
    ):
        _require(
            len(items) <= limit, name, "too many items", f"at most {limit}"
        )
    return data.GossipMessage(
        kind=data.MessageKind(wire.kind),
        number=_natural(wire.number, "number"),
        origin=_member_from_wire(wire.origin, "origin"),
        subject=_text(wire.subject or "", "subject", 0, MAX_NAME_BYTES),
        digest=_unsigned(wire.digest or 0),
        members=tuple(
            _member_from_wire(entry, f"members[{index}]")
            for index, entry in enumerate(members)
        ),
        facts=tuple(
            _fact_from_wire(fact, f"facts[{index}]")
            for index, fact in enumerate(facts)
        ),
        prepared=tuple(
            _prepared_from_wire(entry, f"prepared[{index}]")
            for index, entry in enumerate(prepared)
        ),
        bucket_digests=tuple(_unsigned(digest) for digest in buckets),
        cursor=wire.cursor or 0,
    )


def _member_to_wire(entry: data.MemberEntry) -> Any:
    """Returns the thrift record of an entry about a host."""
    return ttypes.MemberEntry(
        host_id=entry.host.host_id,
        data_centre=entry.host.data_centre,
        address=ipaddress.ip_address(entry.host.address).packed,
        control_port=entry.host.control_port,
        api_port=entry.host.api_port,
        incarnation=entry.incarnation,
        state=int(_WIRE_BY_STATE[entry.state]),
    )


def _member_from_wire(wire: Any, path: str) -> data.MemberEntry:
    """Returns the entry about a host of a thrift record, validated."""
    wire.validate()
    _require(
        wire.state in _STATE_BY_WIRE,
        f"{path}.state",
        "unknown state",
        "a known state",
    )
    _require(
        len(wire.address) in (4, 16),
        f"{path}.address",
        "wrong length",
        "4 or 16 bytes",
    )
    return data.MemberEntry(
        host=records.HostAddress(
            host_id=_text(wire.host_id, f"{path}.host_id", 1, MAX_NAME_BYTES),
            data_centre=_text(
                wire.data_centre, f"{path}.data_centre", 1, MAX_NAME_BYTES
            ),
            address=str(ipaddress.ip_address(wire.address)),
            control_port=_port(wire.control_port, f"{path}.control_port"),
            api_port=_port(wire.api_port, f"{path}.api_port"),
        ),
        incarnation=_natural(wire.incarnation, f"{path}.incarnation"),
        state=_STATE_BY_WIRE[wire.state],
    )


def _fact_to_wire(fact: data.FactEntry) -> Any:
    """Returns the thrift record of a fact."""
    return ttypes.FactEntry(
        key=fact.key,
        version=fact.version,
        value=fact.value,
        ttl_ms=fact.ttl_ms or None,
    )


def _fact_from_wire(wire: Any, path: str) -> data.FactEntry:
    """Returns the fact of a thrift record, validated."""
    wire.validate()
    _require(
        len(wire.value) <= MAX_VALUE_BYTES,
        f"{path}.value",
        "too long",
        f"at most {MAX_VALUE_BYTES} bytes",
    )
    return data.FactEntry(
        key=_text(wire.key, f"{path}.key", 1, MAX_KEY_BYTES),
        version=_natural(wire.version, f"{path}.version"),
        value=wire.value,
        ttl_ms=_natural(wire.ttl_ms or 0, f"{path}.ttl_ms"),
    )


def _prepared_to_wire(entry: data.PreparedEntry) -> Any:
    """Returns the thrift record of which hosts have prepared a revision."""
    return ttypes.PreparedEntry(
        revision=entry.revision,
        roster_digest=_signed(entry.roster_digest),
        bits=entry.bits,
    )


def _prepared_from_wire(wire: Any, path: str) -> data.PreparedEntry:
    """Returns which hosts have prepared a revision, validated."""
    wire.validate()
    _require(
        len(wire.bits) <= MAX_VALUE_BYTES,
        f"{path}.bits",
        "too long",
        f"at most {MAX_VALUE_BYTES} bytes",
    )
    return data.PreparedEntry(
        revision=_natural(wire.revision, f"{path}.revision"),
        roster_digest=_unsigned(wire.roster_digest),
        bits=wire.bits,
    )


def _require(holds: bool, path: str, problem: str, expected: str) -> None:
    """Raises `_FieldError` unless the condition holds."""
    if holds:
        return
    raise _FieldError(
        failures.InvalidField(path=path, problem=problem, expected=expected)
    )


def _text(value: str, path: str, shortest: int, longest: int) -> str:
    """Returns a string if its encoded length is within the bounds."""
    size = len(value.encode(errors="surrogatepass"))
    _require(
        shortest <= size <= longest,
        path,
        f"{size} bytes",
        f"{shortest} to {longest} bytes",
    )
    return value


def _port(value: int, path: str) -> int:
    """Returns a port number if it is within the range of ports."""
    _require(0 < value <= MAX_PORT, path, f"{value}", f"1 to {MAX_PORT}")
    return value


def _natural(value: int, path: str) -> int:
    """Returns a number if it is not negative."""
    _require(value >= 0, path, f"{value}", "a number from 0")
    return value


def _signed(value: int) -> int:
    """Returns an unsigned 64-bit number as a signed one of the same bits."""
    if value >= _SIGN_BOUNDARY:
        return value - _DIGEST_MODULUS
    return value


def _unsigned(value: int) -> int:
    """Returns a signed 64-bit number as an unsigned one of the same bits."""
    return value % _DIGEST_MODULUS
