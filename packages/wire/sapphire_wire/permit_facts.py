"""Encodes and decodes the fact by which a host permits truncations.

A truncation removes old generations from the history of a service's pool.
"""

import expression

from sapphire_core.flows import history_permits
from sapphire_data import failures
from sapphire_wire import codec
from sapphire_wire.gen.housekeeping import ttypes

KEY_PREFIX = "permit/"
# With its key, a value of this size stays below the size limit of gossip facts.
MAX_VALUE_BYTES = 480

_TWO_TO_64 = 1 << 64
_SIGN_BIT = 1 << 63


def encode(report: history_permits.PermitReport) -> bytes:
    """Encodes a report; the last services are left out if it is too long.

    Leaving services out is safe: a host whose report does not name a service
    does not permit to truncate the history of that service.

    Args:
        report: The report.

    Returns:
        The encoded record, of at most `MAX_VALUE_BYTES`.
    """
    permits = [
        ttypes.Permit(service_name=name, keep_from=keep_from)
        for name, keep_from in report.keep_from_by_service.items()
    ]
    digest = report.members_digest
    if digest >= _SIGN_BIT:
        digest -= _TWO_TO_64
    while True:
        value = codec.encode(
            ttypes.PermitReport(members_digest=digest, permits=permits)
        )
        if len(value) <= MAX_VALUE_BYTES:
            return value
        permits.pop()


def decode(
    value: bytes,
) -> expression.Result[history_permits.PermitReport, failures.UnreadableInput]:
    """Decodes a report.

    Args:
        value: The value of a fact; it may hold arbitrary bytes.

    Returns:
        The report, or why it cannot be decoded.
    """
    decoded = codec.decode(ttypes.PermitReport, value)
    if decoded.is_error():
        return expression.Error(decoded.error)
    record = decoded.ok
    return expression.Ok(
        history_permits.PermitReport(
            record.members_digest % _TWO_TO_64,
            {item.service_name: item.keep_from for item in record.permits},
        )
    )
