"""Messages between hosts about idle slots, as thrift records."""

import expression

from sapphire_core.requests import data
from sapphire_data import failures
from sapphire_wire import codec
from sapphire_wire.gen.requests import ttypes

MAX_LOAN_MS = 10_000


def encode(message: data.PeerMessage) -> bytes:
    """Encodes a message; its sender stands in the envelope."""
    match message:
        case data.SlotNeed(_, service, lasts_ms):
            need = ttypes.SlotNeed(service_name=service, lasts_ms=lasts_ms)
            return codec.encode(ttypes.SlotMessage(need=need))
        case data.SlotLoan():
            return codec.encode(ttypes.SlotMessage(loan=_record(message)))
        case data.SlotReturn(_, loan, is_unneeded):
            returned = ttypes.SlotReturn(
                loan=_record(loan), is_unneeded=is_unneeded
            )
            return codec.encode(ttypes.SlotMessage(returned=returned))


def decode(
    sender: str, body: bytes
) -> expression.Result[data.PeerMessage, failures.UnreadableInput]:
    """Decodes a message.

    Args:
        sender: The host identity in the sealed envelope.
        body: The encoded body.

    Returns:
        The message, or why it cannot be read. A loan that names another
        lender than its sender is not accepted.
    """
    decoded = codec.decode(ttypes.SlotMessage, body)
    if decoded.is_error():
        return expression.Error(decoded.error)
    record = decoded.ok
    if record.need is not None:
        need = record.need
        return expression.Ok(
            data.SlotNeed(sender, need.service_name, need.lasts_ms)
        )
    if record.loan is not None and record.loan.lender == sender:
        return expression.Ok(_loan(record.loan))
    if record.returned is not None:
        loan = _loan(record.returned.loan)
        is_unneeded = bool(record.returned.is_unneeded)
        return expression.Ok(data.SlotReturn(sender, loan, is_unneeded))
    problem = "expected a need, a loan of the sender or a return"
    return expression.Error(failures.UnreadableInput(sender, problem))


def _record(loan: data.SlotLoan) -> ttypes.SlotLoan:
    return ttypes.SlotLoan(
        loan_id=loan.loan_id,
        lender=loan.lender,
        service_name=loan.service,
        upstream=loan.upstream,
        duration_ms=loan.duration_ms,
    )


def _loan(record: ttypes.SlotLoan) -> data.SlotLoan:
    duration_ms = min(MAX_LOAN_MS, max(0, record.duration_ms))
    return data.SlotLoan(
        record.lender,
        record.loan_id,
        record.service_name,
        record.upstream,
        duration_ms,
    )
