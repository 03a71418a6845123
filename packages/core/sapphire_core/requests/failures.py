"""Typed failures of requests."""

import dataclasses

from sapphire_data import failures


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFailure(failures.Failure):
    """The base of each reason why a request was not answered."""


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
    """The memory for bodies in flight is in use.

    Attributes:
        limit_bytes: The memory for bodies in flight.
    """

    limit_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidRequest(RequestFailure):
    """A field of the request does not validate.

    Attributes:
        field: The name of the header field.
        problem: What is wrong with it.
    """

    field: str
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class HostDraining(RequestFailure):
    """The host finishes its requests and takes no new ones."""


@dataclasses.dataclass(frozen=True, slots=True)
class QueueFull(RequestFailure):
    """The queue of the service is full.

    Attributes:
        limit: The number of requests that may wait.
    """

    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlineHopeless(RequestFailure):
    """The request cannot be answered within its deadline.

    Attributes:
        expected_ms: The expected time to the answer.
    """

    expected_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlineExceeded(RequestFailure):
    """The deadline passed while an upstream had the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoUpstream(RequestFailure):
    """No upstream of the service may take new work."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimsUnavailable(RequestFailure):
    """The store that keeps the claims does not answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class DuplicateRequest(RequestFailure):
    """Another arrival holds the claim of this request id."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetriesExhausted(RequestFailure):
    """The last attempt failed and the retry budget allows no other.

    Attributes:
        last: Why the last attempt failed.
    """

    last: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerLost(RequestFailure):
    """An upstream had the request and its whole answer did not arrive.

    Attributes:
        reason: How the answer was lost.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidTransition(failures.Failure):
    """An event that the state of the request does not allow.

    Attributes:
        state: The name of the state.
        trigger: The name of the trigger.
    """

    state: str
    trigger: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFailure(failures.Failure):
    """A call to the claim store whose effect is not known.

    Attributes:
        reason: What the store client reported.
    """

    reason: str
