"""Encodes and decodes messages between hosts about lending idle slots."""

import expression

from sapphire_core.requests import data
from sapphire_data import failures
from sapphire_wire import codec
from sapphire_wire.gen.requests import ttypes

# Longer durations of loans in received messages are shortened to this.
MAX_LOAN_MS = 10_000


def encode(message: data.PeerMessage) -> bytes:
    """Encodes a message without its sender, which the sealed envelope names."""
    match message:
        case data.SlotNeed(_, service, lasts_ms):
            need = ttypes.SlotNeed(service_name=service, lasts_ms=lasts_ms)
            return codec.encode(ttypes.SlotMessage(need=need))
        case data.SlotLoan():
            return codec.encode(ttypes.SlotMessage(loan=_loan_to_wire(message)))
        case data.SlotReturn(_, loan, is_unneeded):
            returned = ttypes.SlotReturn(
                loan=_loan_to_wire(loan), is_unneeded=is_unneeded
            )
            return codec.encode(ttypes.SlotMessage(returned=returned))


def decode(
    sender: str, body: bytes
) -> expression.Result[data.PeerMessage, failures.UnreadableInput]:
    """Decodes a message.

    Args:
        sender: The host identity in the sealed envelope.
        body: The encoded body; it may hold arbitrary bytes.

    Returns:
        The message, or why it cannot be decoded. A loan whose lender is not
        the sender is rejected.
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
        return expression.Ok(_loan_from_wire(record.loan))
    if record.returned is not None:
        loan = _loan_from_wire(record.returned.loan)
        is_unneeded = bool(record.returned.is_unneeded)
        return expression.Ok(data.SlotReturn(sender, loan, is_unneeded))
    problem = "expected a need, a loan of the sender or a return"
    return expression.Error(failures.UnreadableInput(sender, problem))


def _loan_to_wire(loan: data.SlotLoan) -> ttypes.SlotLoan:
    """Returns the thrift record of a loan."""
    return ttypes.SlotLoan(
        loan_id=loan.loan_id,
        lender=loan.lender,
        service_name=loan.service,
        upstream=loan.upstream,
        duration_ms=loan.duration_ms,
    )


def _loan_from_wire(record: ttypes.SlotLoan) -> data.SlotLoan:
    """Returns the loan of a thrift record, its duration limited."""
    duration_ms = min(MAX_LOAN_MS, max(0, record.duration_ms))
    return data.SlotLoan(
        record.lender,
        record.loan_id,
        record.service_name,
        record.upstream,
        duration_ms,
    )
