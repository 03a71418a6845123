"""The states of one request and the transitions between them."""

from collections.abc import Mapping
import dataclasses
import enum
import types

import expression

from sapphire_core.requests import data
from sapphire_core.requests import failures


class State(enum.Enum):
    """The state of a request."""

    QUEUED = "queued"
    SENT = "sent"
    ANSWERED = "answered"
    REFUSED = "refused"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


class Trigger(enum.Enum):
    """What moves a request from one state to another."""

    SEND = "send"
    ANSWER = "answer"
    REQUEUE = "requeue"
    REFUSE = "refuse"
    GIVE_UP = "give-up"
    CANCEL = "cancel"


TRANSITIONS: Mapping[tuple[State, Trigger], State] = types.MappingProxyType(
    {
        (State.QUEUED, Trigger.SEND): State.SENT,
        (State.QUEUED, Trigger.REFUSE): State.REFUSED,
        (State.QUEUED, Trigger.GIVE_UP): State.UNKNOWN,
        (State.QUEUED, Trigger.CANCEL): State.CANCELLED,
        (State.SENT, Trigger.ANSWER): State.ANSWERED,
        (State.SENT, Trigger.REQUEUE): State.QUEUED,
        (State.SENT, Trigger.REFUSE): State.REFUSED,
        (State.SENT, Trigger.GIVE_UP): State.UNKNOWN,
        (State.SENT, Trigger.CANCEL): State.CANCELLED,
    }
)

OUTCOMES_BY_STATE: Mapping[State, data.Outcome] = types.MappingProxyType(
    {
        State.ANSWERED: data.Outcome.ANSWERED,
        State.REFUSED: data.Outcome.NOT_RUN,
        State.CANCELLED: data.Outcome.CANCELLED,
        State.UNKNOWN: data.Outcome.UNKNOWN,
    }
)


@dataclasses.dataclass(slots=True)
class Progress:
    """How far a request has come; owned by the engine of its host.

    Attributes:
        request: The request.
        state: Its state.
        may_have_run: Whether there is no proof that no upstream started it:
            its claim is not held yet, or an attempt ended without a proof.
        claim: The claim that the request needs, or None.
        is_claim_held: Whether the store has confirmed the claim.
        attempt_id: The attempt in flight, or None.
        attempt_count: The attempts made.
        failed_upstreams: The names of the upstreams that failed it.
        arrived_while_draining: Whether it arrived when its host was draining.
        wait_deadline_ms: When it is refused if it still waits.
    """

    request: data.Request
    state: State = State.QUEUED
    may_have_run: bool = False
    claim: data.Claim | None = None
    is_claim_held: bool = False
    attempt_id: str | None = None
    attempt_count: int = 0
    failed_upstreams: tuple[str, ...] = ()
    arrived_while_draining: bool = False
    wait_deadline_ms: int = 0


def start(request: data.Request) -> Progress:
    """Returns the progress of a request that has just arrived."""
    return Progress(request, may_have_run=request.needs_claim)


def advance(
    progress: Progress, trigger: Trigger
) -> expression.Result[State, failures.InvalidTransition]:
    """Moves a request to its next state.

    A request that may have run is never refused as not run, and is queued
    again only if it is idempotent.

    Args:
        progress: The request; changed only on success.
        trigger: What happened.

    Returns:
        The new state, or InvalidTransition.
    """
    invalid = failures.InvalidTransition(progress.state.name, trigger.name)
    state = TRANSITIONS.get((progress.state, trigger))
    if state is None:
        return expression.Error(invalid)
    if progress.may_have_run:
        if trigger is Trigger.REFUSE:
            return expression.Error(invalid)
        if state is State.QUEUED and not progress.request.is_idempotent:
            return expression.Error(invalid)
    progress.state = state
    return expression.Ok(state)
