"""Refusal of datagrams that a receiver has already seen.

Each sender numbers its datagrams to a recipient. The receiver remembers, for
each sender, the highest number and which of the 1,024 below it were seen. A
sender is forgotten once all its datagrams are outside the time window, for
then the window refuses a replay without it.
"""

import dataclasses
import enum

WINDOW_BITS = 1_024
DEFAULT_MAX_SENDERS = 32_768
_WINDOW_MASK = (1 << WINDOW_BITS) - 1


class ReplayStatus(enum.Enum):
    """What the replay window says of a datagram."""

    FRESH = "fresh"
    REPLAYED = "replayed"
    FULL = "full"


@dataclasses.dataclass(slots=True)
class _SenderWindow:
    """What is remembered of one sender.

    Attributes:
        highest: The highest sequence seen.
        seen_bits: Bit n is set when the sequence `highest - n` was seen.
        newest_sent_ms: The latest sending time seen, the sender's wall time.
    """

    highest: int
    seen_bits: int
    newest_sent_ms: int


class ReplayWindow:
    """The sequences seen from each sender, in bounded memory.

    Only authenticated datagrams may reach it, so that outsiders cannot fill
    it.
    """

    def __init__(self, max_senders: int = DEFAULT_MAX_SENDERS) -> None:
        """Creates an empty window.

        Args:
            max_senders: The number of senders that are remembered at most.
        """
        self.max_senders = max_senders
        self._windows_by_sender: dict[str, _SenderWindow] = {}
        # A receiver whose wall clock is set back must not accept again what
        # a forgotten sender sent.
        self._forgotten_sent_ms = 0

    def __len__(self) -> int:
        return len(self._windows_by_sender)

    def check(
        self, sender: str, sequence: int, sent_ms: int, oldest_ms: int
    ) -> ReplayStatus:
        """Records a datagram and says whether it is fresh.

        Args:
            sender: The host identity of the sender.
            sequence: The sequence of the datagram.
            sent_ms: The sending time, within the time window.
            oldest_ms: The start of the time window.

        Returns:
            The verdict; only a fresh datagram is recorded.
        """
        window = self._windows_by_sender.get(sender)
        if window is None:
            return self._admit(sender, sequence, sent_ms, oldest_ms)
        shift = sequence - window.highest
        if shift > 0:
            if shift >= WINDOW_BITS:
                window.seen_bits = 1
            else:
                moved = (window.seen_bits << shift) | 1
                window.seen_bits = moved & _WINDOW_MASK
            window.highest = sequence
        else:
            bit = 1 << -shift if shift > -WINDOW_BITS else 0
            if not bit or window.seen_bits & bit:
                return ReplayStatus.REPLAYED
            window.seen_bits |= bit
        window.newest_sent_ms = max(window.newest_sent_ms, sent_ms)
        return ReplayStatus.FRESH

    def _admit(
        self, sender: str, sequence: int, sent_ms: int, oldest_ms: int
    ) -> ReplayStatus:
        """Records the first datagram of a sender."""
        if sent_ms <= self._forgotten_sent_ms:
            return ReplayStatus.REPLAYED
        if len(self._windows_by_sender) >= self.max_senders:
            self._forget_before(oldest_ms)
        if len(self._windows_by_sender) >= self.max_senders:
            return ReplayStatus.FULL
        self._windows_by_sender[sender] = _SenderWindow(
            highest=sequence, seen_bits=1, newest_sent_ms=sent_ms
        )
        return ReplayStatus.FRESH

    def _forget_before(self, oldest_ms: int) -> None:
        """Forgets the senders whose datagrams are all too old by now."""
        expired = []
        for sender, window in self._windows_by_sender.items():
            if window.newest_sent_ms >= oldest_ms:
                continue
            expired.append(sender)
        for sender in expired:
            window = self._windows_by_sender.pop(sender)
            self._forgotten_sent_ms = max(
                self._forgotten_sent_ms, window.newest_sent_ms
            )
