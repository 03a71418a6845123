"""Typed failures of authentication."""

import dataclasses

from sapphire_data import failures


@dataclasses.dataclass(frozen=True, slots=True)
class KeyFileFailure(failures.Failure):
    """A key file that cannot be used; the keys read before stay in use.

    Attributes:
        path: The path of the file.
        problem: What is wrong with the file, without any part of a secret.
    """

    path: str
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class MalformedEnvelope(failures.Failure):
    """A datagram that is no valid envelope.

    Attributes:
        problem: The error of the decoder.
    """

    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownKey(failures.Failure):
    """A datagram sealed with a key that is not in the key ring.

    Attributes:
        key_id: The id of the key.
    """

    key_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class BadTag(failures.Failure):
    """A datagram that was altered, forged, or sealed for another recipient.

    Attributes:
        key_id: The id of the key that the datagram names.
    """

    key_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class OutsideTimeWindow(failures.Failure):
    """An authentic datagram whose sending time is outside the time window.

    Attributes:
        sender: The host identity of the sender.
        age_ms: The receiver's wall time minus the sender's; negative where
            the sender's clock is ahead.
    """

    sender: str
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReplayedDatagram(failures.Failure):
    """An authentic datagram whose sequence number may have been seen before.

    Attributes:
        sender: The host identity of the sender.
        sequence: The sequence number.
    """

    sender: str
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class TooManySenders(failures.Failure):
    """A datagram of a new sender while the replay window is full.

    Attributes:
        limit: The number of senders that the replay window can hold.
    """

    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownKind(failures.Failure):
    """An authentic datagram whose message kind is unknown to this version.

    Attributes:
        sender: The host identity of the sender.
        kind: The number of the message kind.
    """

    sender: str
    kind: int


@dataclasses.dataclass(frozen=True, slots=True)
class TlsFileFailure(failures.Failure):
    """A certificate, key or authority file that cannot be used.

    Attributes:
        path: The path of the file.
        problem: The error of the TLS library.
    """

    path: str
    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class RoleRefused(failures.Failure):
    """An authenticated TLS peer whose certificate has no permitted role.

    Attributes:
        subject: The common name of the certificate; empty where it has none.
        role: The role of the certificate; empty where it has none.
        required: The permitted roles.
    """

    subject: str
    role: str
    required: tuple[str, ...]
