"""Typed failures of requests and of calls to the claim store."""

import dataclasses

from sapphire_data import failures


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFailure(failures.Failure):
    """Base class of the reasons why a request was not answered."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownService(RequestFailure):
    """No service of this name is configured.

    Attributes:
        service: The name that the caller gave.
    """

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class BodyTooLarge(RequestFailure):
    """The request body exceeds the limit of the service.

    Attributes:
        limit_bytes: The largest body that is accepted.
    """

    limit_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryExhausted(RequestFailure):
    """The memory for bodies in flight is used up.

    Attributes:
        limit_bytes: The memory limit for bodies in flight.
    """

    limit_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidRequest(RequestFailure):
    """A header field of the request is invalid.

    Attributes:
        field: The name of the header field.
        problem: What is wrong with it.
    """

    field: str
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class HostDraining(RequestFailure):
    """The host is draining: it finishes its requests and admits no more."""


@dataclasses.dataclass(frozen=True, slots=True)
class QueueFull(RequestFailure):
    """The queue of the service is full.

    Attributes:
        limit: The largest number of queued requests.
    """

    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlineHopeless(RequestFailure):
    """The request is not expected to be answered before its deadline.

    Attributes:
        expected_ms: The estimated time until the answer.
    """

    expected_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlineExceeded(RequestFailure):
    """The deadline passed while an attempt was in flight."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoUpstream(RequestFailure):
    """No upstream of the service accepts new requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimsUnavailable(RequestFailure):
    """The request id could not be claimed.

    The store of claims does not respond, or too many requests wait for their
    claims.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class DuplicateRequest(RequestFailure):
    """Another arrival of the same request id has claimed it."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetriesExhausted(RequestFailure):
    """An attempt failed and the request may not be retried.

    Attributes:
        last: The fault of the last attempt.
    """

    last: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerLost(RequestFailure):
    """An upstream may have run the request, but no complete answer arrived.

    Attributes:
        reason: How the answer was lost.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidTransition(failures.Failure):
    """The state of a request has no transition for a trigger.

    Attributes:
        state: The name of the state.
        trigger: The name of the trigger.
    """

    state: str
    trigger: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFailure(failures.Failure):
    """A call to the claim store failed; it may have taken effect.

    Attributes:
        reason: What the store client reported.
    """

    reason: str
