"""Decoding of thrift records into results."""

from typing import TypeVar

import expression

from sapphire_data import failures
from sapphire_wire import plain_codec

RecordT = TypeVar("RecordT")

MAX_RECORD_BYTES = plain_codec.MAX_RECORD_BYTES
MAX_CONTAINER_ITEMS = plain_codec.MAX_CONTAINER_ITEMS
encode = plain_codec.encode
decode_plain = plain_codec.decode_plain


def decode(
    record_type: type[RecordT], data: bytes
) -> expression.Result[RecordT, failures.UnreadableInput]:
    """Decodes a generated thrift record.

    Args:
        record_type: The generated class.
        data: The bytes as received; they may hold anything.

    Returns:
        The validated record, or why the bytes cannot be read.
    """
    decoded = decode_plain(record_type, data)
    if isinstance(decoded, failures.UnreadableInput):
        return expression.Error(decoded)
    return expression.Ok(decoded)
