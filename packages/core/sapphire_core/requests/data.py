"""Immutable records of requests: what the engine handles and what it returns.

The engine of a host handles an `Event` at a time and returns each `Action`
that the host has to perform.
"""

from collections.abc import Mapping
import dataclasses
import enum

from sapphire_core.requests import failures


class Outcome(enum.Enum):
    """How a request ended, as reported to its caller.

    NOT_RUN promises that no upstream started the request; UNKNOWN says that
    one may have.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


class AttemptFault(enum.Enum):
    """How an attempt at an upstream ended without a usable answer.

    UNREACHABLE and SHED prove that the upstream did not start the request.
    SHED: The upstream refused it because its slots were in use.
    TRUNCATED: The answer ended before it was complete.
    MISMATCHED: The answer does not name the attempt that waits for it.
    """

    UNREACHABLE = "unreachable"
    SHED = "shed"
    CONNECTION_LOST = "connection-lost"
    TRUNCATED = "truncated"
    TOO_LARGE = "too-large"
    MISMATCHED = "mismatched"


PROVES_NOT_RUN = frozenset({AttemptFault.UNREACHABLE, AttemptFault.SHED})


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request of a caller, without its body.

    The same request id may arrive several times and at several hosts; each
    arrival is a `Request` of its own.

    Attributes:
        serial: The number of this arrival at this host.
        service: The name of the service.
        caller: The identity by which callers share a queue fairly.
        is_idempotent: Whether running it twice equals running it once.
        idempotency_key: The request id, which the caller sends again with
            each repetition, or None.
        deadline_ms: When the caller stops waiting, on the local clock.
        retries_left: The retries that this host and the upstream may still
            make together.
    """

    serial: int
    service: str
    caller: str
    is_idempotent: bool
    idempotency_key: str | None
    deadline_ms: int
    retries_left: int

    @property
    def needs_claim(self) -> bool:
        """Whether the host must claim the request id before it sends it."""
        return not self.is_idempotent and self.idempotency_key is not None

    @property
    def unclaimed_outcome(self) -> Outcome:
        """The outcome if it is refused before its request id is claimed.

        UNKNOWN if it needs a claim, since another arrival of the same id may
        have run at another host.
        """
        return Outcome.UNKNOWN if self.needs_claim else Outcome.NOT_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The exclusive right of one arrival to run a request id.

    Attributes:
        key: The digest of service and idempotency key.
        nonce: The identity of the arrival, unique across hosts and restarts.
    """

    key: str
    nonce: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimBatch:
    """Claims that one store call creates and releases.

    Each entry is applied independently: a create if the key is absent, a
    release if the key holds the same nonce.

    Attributes:
        batch_id: The number of the batch at this host.
        creates: The claims to create.
        releases: The claims to release.
    """

    batch_id: int
    creates: tuple[Claim, ...]
    releases: tuple[Claim, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request with its whole body has arrived."""

    request: Request


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller of a request has closed its connection."""

    serial: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerArrived:
    """A complete answer of an upstream has arrived.

    Attributes:
        attempt_id: The attempt on whose connection it arrived.
        echoed_id: The attempt id that the answer names, or None.
        boot_id: The identity of the upstream's process, new at each start,
            or None if the answer does not name it.
        answer: The answer itself, opaque to the core.
    """

    attempt_id: str
    echoed_id: str | None
    boot_id: str | None
    answer: object


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt ended without a usable answer.

    Attributes:
        attempt_id: The attempt.
        fault: How it ended.
        boot_id: The identity of the upstream's process, new at each start,
            or None if it is not known.
        echoed_id: The attempt id that a shed names, or None.
    """

    attempt_id: str
    fault: AttemptFault
    boot_id: str | None = None
    echoed_id: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimsApplied:
    """The store has applied a batch of claims.

    Attributes:
        batch_id: The batch.
        nonces_by_key: For each key that the batch creates, the nonce that
            the store holds now: another one if another arrival was first.
    """

    batch_id: int
    nonces_by_key: Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimsFailed:
    """A store call failed; its batch may have taken effect or may do so later.

    Attributes:
        batch_id: The batch.
    """

    batch_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotNeed:
    """A host has queued requests and no free slot, and asks for one.

    Attributes:
        host_id: The host that asks.
        service: The name of the service.
        lasts_ms: How long the host expects to have queued requests.
    """

    host_id: str
    service: str
    lasts_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotLoan:
    """A host lends an idle slot to another host.

    Attributes:
        lender: The identity of the host that lends.
        loan_id: The number of the loan at the lender.
        service: The name of the service.
        upstream: The name of the upstream.
        duration_ms: How long the lender leaves the slot unused.
    """

    lender: str
    loan_id: int
    service: str
    upstream: str
    duration_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotReturn:
    """A host returns a borrowed slot, usually before the loan ends.

    Attributes:
        host_id: The host that borrowed the slot.
        loan: The loan.
        is_unneeded: Whether no request is queued at that host any more.
    """

    host_id: str
    loan: SlotLoan
    is_unneeded: bool


PeerMessage = SlotNeed | SlotLoan | SlotReturn


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A message of another host has arrived.

    Messages between hosts may be lost, duplicated or delayed.
    """

    message: PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; whatever is due by now is done."""


Event = (
    RequestArrived
    | CallerDisconnected
    | AnswerArrived
    | AttemptFailed
    | ClaimsApplied
    | ClaimsFailed
    | PeerMessageReceived
    | Tick
)


@dataclasses.dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send a request to an upstream.

    Attributes:
        serial: The request.
        attempt_id: The identity of the attempt, unique across hosts.
        upstream: The name of the upstream.
        remaining_ms: The time within which the upstream has to answer.
        retries_left: The retries that the upstream and what it calls may
            make.
    """

    serial: int
    attempt_id: str
    upstream: str
    remaining_ms: int
    retries_left: int


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt, at its upstream too."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Report the final outcome of a request to its caller.

    Attributes:
        serial: The request.
        outcome: The outcome.
        failure: Why there is no answer, or None.
        answer: The answer, or None.
        retry_after_ms: After which time the caller may retry, or None.
    """

    serial: int
    outcome: Outcome
    failure: failures.RequestFailure | None
    answer: object | None
    retry_after_ms: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyClaims:
    """Create and release a batch of claims in one store call."""

    batch: ClaimBatch


@dataclasses.dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a message to another host, without retry or acknowledgement."""

    host_id: str
    message: PeerMessage


Action = SendAttempt | CancelAttempt | Finish | ApplyClaims | SendPeerMessage
