"""Replay protection: detects datagrams that were received before.

Each sender numbers its datagrams to a recipient. The receiver keeps, for each
sender, the highest sequence number seen and which of the 1,024 up to it were
seen. A sender may be evicted once all its datagrams are outside the time
window: replays of them are then refused because of their age.
"""

import dataclasses
import enum

WINDOW_BITS = 1_024
DEFAULT_MAX_SENDERS = 32_768
_WINDOW_MASK = (1 << WINDOW_BITS) - 1


class ReplayStatus(enum.Enum):
    """The result of checking a datagram against the replay window.

    Attributes:
        FRESH: The datagram was not received before.
        REPLAYED: The datagram was, or may have been, received before.
        FULL: The sender is new and the window can hold no further senders.
    """

    FRESH = "fresh"
    REPLAYED = "replayed"
    FULL = "full"


@dataclasses.dataclass(slots=True)
class _SenderWindow:
    """The sequence numbers seen from one sender.

    Attributes:
        highest: The highest sequence number seen.
        seen_bits: Bit n is set if the sequence number `highest - n` was seen.
        newest_sent_ms: The latest sending time seen, in the sender's wall
            time.
    """

    highest: int
    seen_bits: int
    newest_sent_ms: int


class ReplayWindow:
    """The sequence numbers seen from each sender, in bounded memory.

    Only authenticated datagrams may be checked against it, so that others
    cannot fill its memory.

    Attributes:
        max_senders: The number of senders that it can hold.
    """

    def __init__(self, max_senders: int = DEFAULT_MAX_SENDERS) -> None:
        """Creates an empty window.

        Args:
            max_senders: The number of senders that it can hold.
        """
        self.max_senders = max_senders
        self._windows_by_sender: dict[str, _SenderWindow] = {}
        # The latest sending time of all evicted senders. If the receiver's wall
        # clock is set back, replays from evicted senders are within the time
        # window again, and are refused by this.
        self._evicted_sent_ms = 0

    def __len__(self) -> int:
        return len(self._windows_by_sender)

    def check(
        self, sender: str, sequence: int, sent_ms: int, oldest_ms: int
    ) -> ReplayStatus:
        """Checks a datagram, and records it if it is fresh.

        Args:
            sender: The host identity of the sender.
            sequence: The sequence number of the datagram.
            sent_ms: The sending time, which is within the time window.
            oldest_ms: The start of the time window.

        Returns:
            Whether the datagram is fresh.
        """
        window = self._windows_by_sender.get(sender)
        if window is None:
            return self._add_sender(sender, sequence, sent_ms, oldest_ms)
        shift = sequence - window.highest
        if shift > 0:
            if shift >= WINDOW_BITS:
                window.seen_bits = 1
            else:
                shifted = (window.seen_bits << shift) | 1
                window.seen_bits = shifted & _WINDOW_MASK
            window.highest = sequence
        else:
            bit = 1 << -shift if shift > -WINDOW_BITS else 0
            if not bit or window.seen_bits & bit:
                return ReplayStatus.REPLAYED
            window.seen_bits |= bit
        window.newest_sent_ms = max(window.newest_sent_ms, sent_ms)
        return ReplayStatus.FRESH

    def _add_sender(
        self, sender: str, sequence: int, sent_ms: int, oldest_ms: int
    ) -> ReplayStatus:
        """Records the first datagram of a sender.

        If the window is full, senders outside the time window are evicted.
        """
        if sent_ms <= self._evicted_sent_ms:
            return ReplayStatus.REPLAYED
        if len(self._windows_by_sender) >= self.max_senders:
            self._evict_older_than(oldest_ms)
        if len(self._windows_by_sender) >= self.max_senders:
            return ReplayStatus.FULL
        self._windows_by_sender[sender] = _SenderWindow(
            highest=sequence, seen_bits=1, newest_sent_ms=sent_ms
        )
        return ReplayStatus.FRESH

    def _evict_older_than(self, oldest_ms: int) -> None:
        """Evicts the senders whose datagrams are all before the time window."""
        expired = []
        for sender, window in self._windows_by_sender.items():
            if window.newest_sent_ms >= oldest_ms:
                continue
            expired.append(sender)
        for sender in expired:
            window = self._windows_by_sender.pop(sender)
            self._evicted_sent_ms = max(
                self._evicted_sent_ms, window.newest_sent_ms
            )
