"""Encodes and decodes slow starts of upstreams, for a host that just started.

Thrift calls a slow start a ramp.
"""

import expression

from sapphire_core.flows import data
from sapphire_data import failures
from sapphire_wire import codec
from sapphire_wire.gen.flows import ttypes

# The answer has to fit one datagram. If there are more slow starts, the oldest
# ones are left out, since their upstreams already get the most flows.
MAX_SLOW_STARTS = 40
MAX_AGE_MS = 86_400_000


def encode_request() -> bytes:
    """Returns the encoded request for the slow starts that a host knows."""
    return codec.encode(ttypes.RampRequest())


def encode_answer(slow_starts: tuple[data.SlowStart, ...]) -> bytes:
    """Encodes the slow starts that a host knows.

    Args:
        slow_starts: The slow starts; only the newest `MAX_SLOW_STARTS` are
            encoded.

    Returns:
        The encoded record.
    """
    newest = sorted(slow_starts, key=lambda slow_start: slow_start.age_ms)[
        :MAX_SLOW_STARTS
    ]
    return codec.encode(
        ttypes.RampAnswer(
            ramps=[
                ttypes.Ramp(slow_start.upstream, slow_start.age_ms)
                for slow_start in newest
            ]
        )
    )


def decode_answer(
    body: bytes,
) -> expression.Result[tuple[data.SlowStart, ...], failures.UnreadableInput]:
    """Decodes the slow starts that a peer knows.

    Args:
        body: The encoded record; it may hold arbitrary bytes.

    Returns:
        The slow starts, or why they cannot be decoded.
    """
    decoded = codec.decode(ttypes.RampAnswer, body)
    if decoded.is_error():
        return expression.Error(decoded.error)
    slow_starts = []
    for record in decoded.ok.ramps:
        # The generated code checks only the fields of the outer record.
        if record.upstream is None or record.age_ms is None:
            return _unreadable("slow start without upstream or age_ms")
        if not 0 <= record.age_ms <= MAX_AGE_MS:
            return _unreadable(f"age of {record.age_ms} ms is out of range")
        slow_starts.append(data.SlowStart(record.upstream, record.age_ms))
    return expression.Ok(tuple(slow_starts))


def _unreadable(
    problem: str,
) -> expression.Result[tuple[data.SlowStart, ...], failures.UnreadableInput]:
    """Returns the failure of an invalid answer."""
    return expression.Error(failures.UnreadableInput("RampAnswer", problem))
