"""Start ramps in their encoded form, for a host that has just started."""

import expression

from sapphire_core.flows import data
from sapphire_data import failures
from sapphire_wire import codec
from sapphire_wire.gen.flows import ttypes

# An answer stays within one datagram; ramps beyond are left out, the oldest
# ones first, since these bear the most already.
MAX_SLOW_STARTS = 40
MAX_AGE_MS = 86_400_000


def encode_request() -> bytes:
    """Returns the encoded question for start ramps."""
    return codec.encode(ttypes.RampRequest())


def encode_answer(ramps: tuple[data.SlowStart, ...]) -> bytes:
    """Encodes the start ramps that a host knows.

    Args:
        ramps: The ramps.

    Returns:
        The encoded record.
    """
    newest = sorted(ramps, key=lambda ramp: ramp.age_ms)[:MAX_SLOW_STARTS]
    return codec.encode(
        ttypes.RampAnswer(
            ramps=[ttypes.Ramp(ramp.upstream, ramp.age_ms) for ramp in newest]
        )
    )


def decode_answer(
    body: bytes,
) -> expression.Result[tuple[data.SlowStart, ...], failures.UnreadableInput]:
    """Decodes the start ramps that a peer knows.

    Args:
        body: The encoded record; it may hold anything.

    Returns:
        The ramps, or why they cannot be read.
    """
    decoded = codec.decode(ttypes.RampAnswer, body)
    if decoded.is_error():
        return expression.Error(decoded.error)
    ramps = []
    for record in decoded.ok.ramps:
        # Generated code checks the fields of the outer record only.
        if record.upstream is None or record.age_ms is None:
            return _unreadable("a ramp without its fields")
        if not 0 <= record.age_ms <= MAX_AGE_MS:
            return _unreadable(f"an age of {record.age_ms} ms")
        ramps.append(data.SlowStart(record.upstream, record.age_ms))
    return expression.Ok(tuple(ramps))


def _unreadable(
    problem: str,
) -> expression.Result[tuple[data.SlowStart, ...], failures.UnreadableInput]:
    """Returns the failure of an answer."""
    return expression.Error(failures.UnreadableInput("RampAnswer", problem))
