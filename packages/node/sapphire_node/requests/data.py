"""Records of HTTP requests and answers."""

from collections.abc import Sequence
import dataclasses

RawHeaders = Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request of a caller, with its whole body.

    Attributes:
        method: The method, in capitals.
        raw_target: The path and query, encoded as the caller sent them.
        headers: The header fields, names in lower case.
        body: The whole body.
    """

    method: str
    raw_target: bytes
    headers: RawHeaders
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class HttpAnswer:
    """An answer to a caller, with its whole body.

    Attributes:
        status: The status code.
        headers: The header fields, names in lower case.
        body: The whole body.
        reserved_bytes: The bytes of answer memory reserved for it; 0 for an
            answer of this host itself.
    """

    status: int
    headers: RawHeaders
    body: bytes
    reserved_bytes: int
