"""Immutable records of the request life cycle: events and actions."""

from collections.abc import Mapping
import dataclasses
import enum

from sapphire_core.requests import failures


class Outcome(enum.Enum):
    """How a request ended, as the caller is told."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


class AttemptFault(enum.Enum):
    """How an attempt at an upstream ended without an answer.

    The first two prove that the upstream did not start the request.
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

    Attributes:
        serial: The number of this arrival at this host.
        service: The name of the service.
        caller: The identity by which callers share a queue fairly.
        is_idempotent: Whether running it twice equals running it once.
        idempotency_key: The id that the caller repeats, or None.
        deadline_ms: When the caller stops waiting, on the local clock.
        retries_left: The retries that the path still allows.
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
        """Whether its id must be claimed before it may run."""
        return not self.is_idempotent and self.idempotency_key is not None

    @property
    def unclaimed_outcome(self) -> Outcome:
        """What may be said of it before its id is claimed.

        Another arrival of the same id may have run at another host.
        """
        return Outcome.UNKNOWN if self.needs_claim else Outcome.NOT_RUN


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The exclusive right of one arrival to run a request id.

    Attributes:
        key: The digest of service and idempotency key.
        nonce: The identity of the arrival, unique over hosts and restarts.
    """

    key: str
    nonce: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimBatch:
    """Claims that one store call creates and releases.

    Each entry is applied on its own: a create if the key is absent, a release
    if the key holds the same nonce.

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
    """A request has arrived whole."""

    request: Request


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller of a request has gone away."""

    serial: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerArrived:
    """An upstream gave a whole answer.

    Attributes:
        attempt_id: The attempt on whose connection it arrived.
        echoed_id: The attempt id that the answer names, or None.
        boot_id: The boot identity that the upstream names, or None.
        answer: The answer itself; the core does not look into it.
    """

    attempt_id: str
    echoed_id: str | None
    boot_id: str | None
    answer: object


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt ended without an answer.

    Attributes:
        attempt_id: The attempt.
        fault: How it ended.
        boot_id: The boot identity that the upstream names, or None.
        echoed_id: The attempt id that a shed names, or None.
    """

    attempt_id: str
    fault: AttemptFault
    boot_id: str | None = None
    echoed_id: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimsApplied:
    """The store applied a batch.

    Attributes:
        batch_id: The batch.
        nonces_by_key: The nonce that each created key holds now.
    """

    batch_id: int
    nonces_by_key: Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimsFailed:
    """A batch failed; it may have taken effect or may do so later."""

    batch_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotNeed:
    """A host has requests waiting and no free slot.

    Attributes:
        host_id: The host.
        service: The service.
        lasts_ms: How long it will have requests waiting, as far as it knows.
    """

    host_id: str
    service: str
    lasts_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotLoan:
    """A host lends an idle slot.

    Attributes:
        lender: The host that lends.
        loan_id: The number of the loan at the lender.
        service: The service.
        upstream: The name of the upstream.
        duration_ms: How long the lender does without the slot.
    """

    lender: str
    loan_id: int
    service: str
    upstream: str
    duration_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotReturn:
    """A host gives a slot back before the loan has ended.

    Attributes:
        host_id: The host that borrowed.
        loan: The loan.
        is_unneeded: Whether no request waits there any more.
    """

    host_id: str
    loan: SlotLoan
    is_unneeded: bool


PeerMessage = SlotNeed | SlotLoan | SlotReturn


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """Another host has sent a message; it may be lost, doubled or late."""

    message: PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


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
        attempt_id: The identity of the attempt, unique over hosts.
        upstream: The name of the upstream.
        remaining_ms: The time that is left for the upstream.
        retries_left: The retries that the rest of the path may make.
    """

    serial: int
    attempt_id: str
    upstream: str
    remaining_ms: int
    retries_left: int


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt at its upstream."""

    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Give the caller the final outcome.

    Attributes:
        serial: The request.
        outcome: The outcome.
        failure: Why there is no answer, or None.
        answer: The answer, or None.
        retry_after_ms: When the caller may come back, or None.
    """

    serial: int
    outcome: Outcome
    failure: failures.RequestFailure | None
    answer: object | None
    retry_after_ms: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyClaims:
    """Apply a batch of claims in one store call."""

    batch: ClaimBatch


@dataclasses.dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a message to another host, at most once and without a receipt."""

    host_id: str
    message: PeerMessage


Action = SendAttempt | CancelAttempt | Finish | ApplyClaims | SendPeerMessage
