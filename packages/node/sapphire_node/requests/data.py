"""Records of the request carriage."""

from collections.abc import Sequence
import dataclasses

RawHeaders = Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A whole request of a caller.

    Attributes:
        method: The method, in capitals.
        raw_target: The path and query as sent.
        headers: The header fields, names in lower case.
        body: The whole body.
    """

    method: str
    raw_target: bytes
    headers: RawHeaders
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A whole answer of an upstream.

    Attributes:
        status: The status code.
        headers: The header fields, names in lower case.
        body: The whole body.
        reserved_bytes: The answer memory that it holds.
    """

    status: int
    headers: RawHeaders
    body: bytes
    reserved_bytes: int
