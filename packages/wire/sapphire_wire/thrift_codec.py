"""Encodes and decodes thrift records, with limits on their size.

The decoder returns either a record or a failure; the decoder of `codec` wraps
them in `Result`.
"""

import struct
from typing import Any
from typing import TypeVar
from typing import cast

from thrift import Thrift
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from sapphire_data import failures

MAX_RECORD_BYTES = 4_194_304
MAX_CONTAINER_ITEMS = 262_144

RecordT = TypeVar("RecordT")

# The decoders in generated code raise these on malformed input.
_DECODE_ERRORS = (
    Thrift.TException,
    EOFError,
    ValueError,
    TypeError,
    KeyError,
    IndexError,
    AttributeError,
    OverflowError,
    MemoryError,
    RecursionError,
    struct.error,
)


def encode(record: Any) -> bytes:
    """Encodes a generated thrift record in the compact protocol.

    Args:
        record: An instance of a generated class.

    Returns:
        The encoded bytes.
    """
    buffer = TTransport.TMemoryBuffer()
    protocol = TCompactProtocol.TCompactProtocolAccelerated(buffer)
    record.write(protocol)
    return bytes(buffer.getvalue())


def decode_or_failure(
    record_type: type[RecordT], data: bytes
) -> RecordT | failures.UnreadableInput:
    """Decodes a generated thrift record.

    For code that runs for each datagram, where wrapping in a `Result` takes
    longer than decoding, and for hosts that do not load the library of
    `Result`, `expression`.

    Args:
        record_type: The generated class.
        data: The bytes as received; they may be arbitrary.

    Returns:
        The validated record, or why the bytes cannot be decoded.
    """
    if len(data) > MAX_RECORD_BYTES:
        return _unreadable(record_type, f"{len(data)} bytes is too long")
    buffer = TTransport.TMemoryBuffer(data)
    protocol = TCompactProtocol.TCompactProtocolAccelerated(
        buffer,
        string_length_limit=MAX_RECORD_BYTES,
        container_length_limit=MAX_CONTAINER_ITEMS,
    )
    record: Any = record_type()
    try:
        record.read(protocol)
        record.validate()
    except _DECODE_ERRORS as error:
        return _unreadable(record_type, repr(error))
    return cast(RecordT, record)


def _unreadable(
    record_type: type[RecordT], problem: str
) -> failures.UnreadableInput:
    """Returns the failure for a record that cannot be decoded."""
    return failures.UnreadableInput(
        source=record_type.__name__, problem=problem
    )
