"""Encodes thrift records, and decodes them to `Result`s; see `thrift_codec`."""

from typing import TypeVar

import expression

from sapphire_data import failures
from sapphire_wire import thrift_codec

RecordT = TypeVar("RecordT")

MAX_RECORD_BYTES = thrift_codec.MAX_RECORD_BYTES
MAX_CONTAINER_ITEMS = thrift_codec.MAX_CONTAINER_ITEMS
encode = thrift_codec.encode
decode_or_failure = thrift_codec.decode_or_failure


def decode(
    record_type: type[RecordT], data: bytes
) -> expression.Result[RecordT, failures.UnreadableInput]:
    """Decodes a generated thrift record.

    Args:
        record_type: The generated class.
        data: The bytes as received; they may be arbitrary.

    Returns:
        The validated record, or why the bytes cannot be decoded.
    """
    decoded = decode_or_failure(record_type, data)
    if isinstance(decoded, failures.UnreadableInput):
        return expression.Error(decoded)
    return expression.Ok(decoded)
