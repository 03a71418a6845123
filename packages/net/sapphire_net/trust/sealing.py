"""Authenticates the control datagrams between hosts.

A sender seals a datagram: it adds a tag, which is HMAC-SHA-256 over the
recipient's control address and all fields of the envelope. The body is not
encrypted. The receiver opens it: it verifies the tag, the sending time and the
sequence number. The recipient's address is not sent, as both ends know it. So
a datagram recorded on its way to one host is refused by all others.
"""

import dataclasses
import hmac
import struct

from sapphire_data import failures as data_failures
from sapphire_net.trust import failures
from sapphire_net.trust import keys
from sapphire_net.trust import replay
from sapphire_wire import codec
from sapphire_wire import message_kind
from sapphire_wire.gen.envelope import ttypes as envelope_types

DEFAULT_TIME_WINDOW_MS = 30_000
MAX_RECIPIENTS = 32_768
_DIGEST = "sha256"

# The lengths of recipient and sender, key id, message kind, sequence number and
# sending time.
_HEADER = struct.Struct(">HHihqq")

_KINDS_BY_NUMBER = {int(kind): kind for kind in message_kind.MessageKind}

OpenFailure = (
    failures.MalformedEnvelope
    | failures.UnknownKey
    | failures.BadTag
    | failures.OutsideTimeWindow
    | failures.ReplayedDatagram
    | failures.TooManySenders
    | failures.UnknownKind
)


@dataclasses.dataclass(frozen=True, slots=True)
class OpenedDatagram:
    """An authentic, fresh control datagram.

    Attributes:
        sender: The host identity of the sender.
        kind: The message kind of the body.
        sent_ms: The sender's wall time in milliseconds.
        body: The encoded body.
    """

    sender: str
    kind: message_kind.MessageKind
    sent_ms: int
    body: bytes


def recipient_name(address: str, port: int) -> str:
    """Returns the name of a recipient, which both ends compute alike.

    Args:
        address: The IP address of the recipient's control port.
        port: The UDP port.

    Returns:
        The name that the tag covers.
    """
    return f"{address}|{port}"


def _tag(
    secret: bytes, recipient: bytes, sealed: envelope_types.Sealed
) -> bytes:
    """Computes the tag of an envelope.

    The tag covers the lengths of the fields of variable length, so that bytes
    cannot be moved from one field to the next.

    Args:
        secret: The key.
        recipient: The name of the recipient; see `recipient_name`.
        sealed: The envelope; its own tag is ignored.

    Returns:
        The tag.

    Raises:
        struct.error: A field is out of the range of its type.
        UnicodeError: The sender's identity cannot be encoded.
    """
    sender = sealed.sender.encode()
    header = _HEADER.pack(
        len(recipient),
        len(sender),
        sealed.key_id,
        sealed.kind,
        sealed.sequence,
        sealed.sent_ms,
    )
    return hmac.digest(
        secret, header + recipient + sender + sealed.body, _DIGEST
    )


class Sealer:
    """Seals the datagrams that one host process sends."""

    def __init__(self, host_id: str, ring: keys.KeyRing) -> None:
        """Creates a sealer.

        Args:
            host_id: The identity of the host process. It is new at each start,
                so that sequence numbers can start again without being refused
                as replays.
            ring: The key ring.
        """
        self._host_id = host_id
        self._ring = ring
        self._last_sequences_by_recipient: dict[str, int] = {}
        self._sequence_floor = 0

    def replace_ring(self, ring: keys.KeyRing) -> None:
        """Uses the signing key of another key ring from now on."""
        self._ring = ring

    def seal(
        self,
        recipient: str,
        kind: message_kind.MessageKind,
        body: bytes,
        wall_ms: int,
    ) -> bytes:
        """Seals a body for one recipient.

        Args:
            recipient: The name of the recipient; see `recipient_name`.
            kind: The message kind of the body.
            body: The encoded body.
            wall_ms: The wall time in milliseconds.

        Returns:
            The datagram.
        """
        ring = self._ring
        key_id = ring.signing_id
        sealed = envelope_types.Sealed(
            key_id=key_id,
            sender=self._host_id,
            sequence=self._next_sequence(recipient),
            sent_ms=wall_ms,
            kind=kind,
            body=body,
        )
        sealed.tag = _tag(
            ring.secrets_by_id[key_id], recipient.encode(), sealed
        )
        return codec.encode(sealed)

    def _next_sequence(self, recipient: str) -> int:
        """Returns the next sequence number for a recipient."""
        last = self._last_sequences_by_recipient.get(recipient)
        if last is None:
            last = self._sequence_floor
            if len(self._last_sequences_by_recipient) >= MAX_RECIPIENTS:
                # The table of recipients is full and is cleared. Later numbers
                # are above all earlier ones, so that none is used twice for
                # one recipient.
                last = max(self._last_sequences_by_recipient.values())
                self._sequence_floor = last
                self._last_sequences_by_recipient.clear()
        sequence = last + 1
        self._last_sequences_by_recipient[recipient] = sequence
        return sequence


class Opener:
    """Opens the datagrams that one host receives."""

    def __init__(
        self,
        own_name: str,
        ring: keys.KeyRing,
        time_window_ms: int = DEFAULT_TIME_WINDOW_MS,
        max_senders: int = replay.DEFAULT_MAX_SENDERS,
    ) -> None:
        """Creates an opener.

        Args:
            own_name: The name of this host as recipient; see
                `recipient_name`.
            ring: The key ring.
            time_window_ms: The largest permitted difference between the
                sending time and the receiver's wall time.
            max_senders: The number of senders that the replay window can
                hold.
        """
        self._recipient = own_name.encode()
        self._ring = ring
        self._time_window_ms = time_window_ms
        self._replays = replay.ReplayWindow(max_senders)

    def replace_ring(self, ring: keys.KeyRing) -> None:
        """Uses the keys of another key ring from now on."""
        self._ring = ring

    def open(self, data: bytes, wall_ms: int) -> OpenedDatagram | OpenFailure:
        """Verifies a datagram and returns its body.

        The result is a plain union: this is done for each packet, and an
        `expression.Result` would cost as much as the verification itself.

        Args:
            data: The datagram as received; it may hold arbitrary bytes.
            wall_ms: The wall time in milliseconds.

        Returns:
            The authentic datagram, or why it is refused.
        """
        sealed = codec.decode_or_failure(envelope_types.Sealed, data)
        if isinstance(sealed, data_failures.UnreadableInput):
            return failures.MalformedEnvelope(sealed.problem)
        secret = self._ring.secrets_by_id.get(sealed.key_id)
        if secret is None:
            return failures.UnknownKey(sealed.key_id)
        if not self._is_authentic(sealed, secret):
            return failures.BadTag(sealed.key_id)
        failure = self._check_freshness(sealed, wall_ms)
        if failure is not None:
            return failure
        kind = _KINDS_BY_NUMBER.get(sealed.kind)
        if kind is None:
            return failures.UnknownKind(sealed.sender, sealed.kind)
        return OpenedDatagram(sealed.sender, kind, sealed.sent_ms, sealed.body)

    def _is_authentic(
        self, sealed: envelope_types.Sealed, secret: bytes
    ) -> bool:
        """Returns whether the tag matches the other fields."""
        try:
            expected = _tag(secret, self._recipient, sealed)
        except (struct.error, UnicodeError):
            return False
        return hmac.compare_digest(expected, sealed.tag)

    def _check_freshness(
        self, sealed: envelope_types.Sealed, wall_ms: int
    ) -> OpenFailure | None:
        """Returns why an authentic datagram is not fresh, if it is not."""
        age_ms = wall_ms - sealed.sent_ms
        if abs(age_ms) > self._time_window_ms:
            return failures.OutsideTimeWindow(sealed.sender, age_ms)
        status = self._replays.check(
            sealed.sender,
            sealed.sequence,
            sealed.sent_ms,
            wall_ms - self._time_window_ms,
        )
        if status is replay.ReplayStatus.REPLAYED:
            return failures.ReplayedDatagram(sealed.sender, sealed.sequence)
        if status is replay.ReplayStatus.FULL:
            return failures.TooManySenders(self._replays.max_senders)
        return None
