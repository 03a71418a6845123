"""Typed failures of authentication."""

import dataclasses

from sapphire_data import failures


@dataclasses.dataclass(frozen=True, slots=True)
class KeyFileFailure(failures.Failure):
    """A key file that cannot be used; the keys in use stay in use.

    Attributes:
        path: The path of the file.
        problem: What is wrong with it, without any part of a secret.
    """

    path: str
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class MalformedEnvelope(failures.Failure):
    """A datagram that holds no sealed envelope.

    Attributes:
        problem: The decoder's report.
    """

    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownKey(failures.Failure):
    """A datagram sealed by a key that is not in the key ring.

    Attributes:
        key_id: The number of the key.
    """

    key_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class BadTag(failures.Failure):
    """A datagram altered, forged, or sealed for another recipient.

    Attributes:
        key_id: The number of the key that it claims.
    """

    key_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class OutsideTimeWindow(failures.Failure):
    """An authentic datagram that is too old, or from too far in the future.

    Attributes:
        sender: The host identity of the sender.
        age_ms: The receiver's wall time minus the sender's; negative where
            the sender's clock is ahead.
    """

    sender: str
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReplayedDatagram(failures.Failure):
    """An authentic datagram whose sequence was seen or is too old to tell.

    Attributes:
        sender: The host identity of the sender.
        sequence: Its sequence.
    """

    sender: str
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class TooManySenders(failures.Failure):
    """A new sender while the replay window holds as many as it may.

    Attributes:
        limit: The number of senders that are remembered.
    """

    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownKind(failures.Failure):
    """An authentic datagram with a body of a type unknown to this version.

    Attributes:
        sender: The host identity of the sender.
        kind: The number of the type.
    """

    sender: str
    kind: int


@dataclasses.dataclass(frozen=True, slots=True)
class TlsFileFailure(failures.Failure):
    """A certificate, key or authority file that cannot be used.

    Attributes:
        path: The path of the file.
        problem: The report of the TLS library.
    """

    path: str
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class RoleRefused(failures.Failure):
    """An authenticated peer whose certificate gives no sufficient role.

    Attributes:
        subject: The common name of the certificate; empty where it has none.
        role: The role of the certificate; empty where it has none.
        required: The roles of which one is needed.
    """

    subject: str
    role: str
    required: tuple[str, ...]
