"""Flow pins as the bytes that hosts send each other, 20 for each pin."""

from collections.abc import Iterable
import struct

from sapphire_core.tagged_flows import data
from sapphire_data import failures

# The address and port of the caller and of the service, the tag, and what the
# caller has acknowledged.
_PIN = struct.Struct(">IHIHII")


def encode(pins: Iterable[data.FlowPin]) -> bytes:
    """Returns the bytes of some pins."""
    return b"".join(
        [_PIN.pack(*pin.flow_id, pin.tag, pin.acknowledged) for pin in pins]
    )


def decode(
    packed: bytes,
) -> tuple[data.FlowPin, ...] | failures.UnreadableInput:
    """Returns the pins of some bytes, or why they cannot be decoded.

    Args:
        packed: The bytes as received; they may be arbitrary.
    """
    if len(packed) % _PIN.size != 0:
        return failures.UnreadableInput(
            "flow pins", f"{len(packed)} bytes are no whole number of pins"
        )
    return tuple(
        [
            data.FlowPin(data.FlowId(*fields[:4]), *fields[4:])
            for fields in _PIN.iter_unpack(packed)
        ]
    )
