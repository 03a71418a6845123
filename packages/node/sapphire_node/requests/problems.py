"""Error answers of this host, as problem details (RFC 9457)."""

from collections.abc import Mapping
import json
import types

from sapphire_core.requests import data as core_data
from sapphire_core.requests import failures
from sapphire_data import clock
from sapphire_node.requests import data
from sapphire_node.requests import header_fields

DEFAULT_STATUS = 503
STATUSES_BY_FAILURE: Mapping[type[failures.RequestFailure], int] = (
    types.MappingProxyType(
        {
            failures.InvalidRequest: 400,
            failures.DuplicateRequest: 409,
            failures.BodyTooLarge: 413,
            failures.UnknownService: 421,
            failures.AnswerLost: 502,
            failures.DeadlineExceeded: 504,
        }
    )
)


def create_problem_answer(
    failure: failures.RequestFailure,
    outcome: core_data.Outcome,
    retry_after_ms: int | None,
) -> data.HttpAnswer:
    """Returns the answer to a caller whose request failed.

    Args:
        failure: Why there is no answer of an upstream.
        outcome: Whether the request may have run.
        retry_after_ms: After which time the caller may retry, or None.
    """
    status = STATUSES_BY_FAILURE.get(type(failure), DEFAULT_STATUS)
    details: dict[str, object] = {
        "type": "about:blank",
        "title": failure.code,
        "status": status,
        "detail": (type(failure).__doc__ or "").partition("\n")[0],
        "outcome": outcome.value,
    }
    headers = [
        (b"content-type", b"application/problem+json"),
        (header_fields.OUTCOME, outcome.value.encode()),
    ]
    if retry_after_ms is not None:
        details["retry_after_ms"] = retry_after_ms
        seconds = -(-retry_after_ms // clock.MS_PER_SECOND)
        headers.append((header_fields.RETRY_AFTER, str(seconds).encode()))
    body = json.dumps(details).encode()
    headers.append((header_fields.CONTENT_LENGTH, str(len(body)).encode()))
    return data.HttpAnswer(status, headers, body, reserved_bytes=0)
