"""The header fields of HTTP requests and answers, and how to read them."""

import expression

from sapphire_core.requests import failures
from sapphire_node.requests import data

HOST = b"host"
CONNECTION = b"connection"
CONTENT_LENGTH = b"content-length"
IDEMPOTENCY_KEY = b"idempotency-key"
DEADLINE = b"x-request-deadline-ms"
RETRIES_LEFT = b"x-retry-attempts-left"
REQUEST_ID = b"x-request-id"
BOOT_ID = b"x-boot-id"
RETRY_AFTER = b"retry-after"
OUTCOME = b"sapphire-outcome"

IDEMPOTENT_METHODS = frozenset(
    {"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"}
)
MAX_KEY_CHARACTERS = 200
MAX_DEADLINE_MS = 600_000
DEFAULT_RETRIES = 2
MAX_RETRIES = 10

# Fields that apply to one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
EXPECT = b"expect"

# Fields of a caller that are not forwarded: this host sets them itself for the
# upstream, or has already acted on them.
REPLACED_FIELDS = frozenset(
    {DEADLINE, RETRIES_LEFT, REQUEST_ID, OUTCOME, EXPECT}
)


def find(headers: data.RawHeaders, name: bytes) -> str | None:
    """Returns the value of the first field with a name, or None."""
    for field, value in headers:
        if field.lower() == name:
            return value.decode("latin-1").strip()
    return None


def parse_whole_number(
    headers: data.RawHeaders, name: bytes, default: int, maximum: int
) -> expression.Result[int, failures.InvalidRequest]:
    """Parses a field that holds a whole number.

    Args:
        headers: The header fields.
        name: The name of the field, in lower case.
        default: The value if the field is absent.
        maximum: The largest result; greater values are reduced to it.

    Returns:
        The number, or InvalidRequest.
    """
    text = find(headers, name)
    if text is None:
        return expression.Ok(default)
    if not (text.isascii() and text.isdigit()):
        field = name.decode()
        problem = "expected a whole number"
        return expression.Error(failures.InvalidRequest(field, problem))
    return expression.Ok(min(maximum, int(text[:18])))


def without_hop_by_hop_fields(
    headers: data.RawHeaders,
) -> list[tuple[bytes, bytes]]:
    """Returns the fields to forward to the next hop, names in lower case."""
    names_in_connection = {
        token.strip().lower().encode("latin-1")
        for token in (find(headers, b"connection") or "").split(",")
    }
    hop_by_hop = HOP_BY_HOP | names_in_connection
    return [
        (name.lower(), value)
        for name, value in headers
        if name.lower() not in hop_by_hop
    ]
