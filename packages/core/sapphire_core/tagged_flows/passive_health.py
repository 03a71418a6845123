"""Which upstreams leave opening packets unanswered.

A host sees no packet of an upstream. The caller's next packet on a flow
shows that the upstream chosen for it has answered; its absence shows that
the upstream, the way to it or the caller is silent.
"""

import dataclasses

# An opening packet is answered within two crossings of the network and a
# fraction of a millisecond at the upstream; a lost packet makes one of a
# thousand openings silent, so one silent opening keeps flows away briefly.
FIRST_AVOID_MS = 300
MAX_AVOID_MS = 2_400
# A peer's word is renewed with each of its beats.
PEER_AVOID_MS = 600
# An upstream that answered this host within two beats is not silent.
PEER_DOUBT_MS = 500


@dataclasses.dataclass(slots=True)
class _Record:
    """What was seen of one upstream.

    Attributes:
        unanswered: Openings in a row that found no answer.
        avoid_until_ms: Until when it is used only if there is no other.
        peers_until_ms: Until when a peer avoids it.
        answered_ms: When it last answered an opening.
    """

    unanswered: int = 0
    avoid_until_ms: int = 0
    peers_until_ms: int = 0
    answered_ms: int = -MAX_AVOID_MS


class PassiveHealth:
    """The record of answered and unanswered openings by upstream."""

    def __init__(self) -> None:
        self._records_by_id: dict[str, _Record] = {}

    def note_answered(self, upstream_id: str, now_ms: int) -> None:
        """Notes that an upstream has answered an opening.

        Args:
            upstream_id: The upstream.
            now_ms: The current time.
        """
        record = self._record(upstream_id)
        record.unanswered = 0
        record.avoid_until_ms = 0
        record.peers_until_ms = 0
        record.answered_ms = now_ms

    def note_unanswered(
        self, upstream_id: str, sent_ms: int, now_ms: int
    ) -> None:
        """Notes that an upstream has not answered an opening.

        Args:
            upstream_id: The upstream.
            sent_ms: When the opening was sent to it.
            now_ms: The current time.
        """
        record = self._record(upstream_id)
        if record.answered_ms >= sent_ms:
            # It answered another flow meanwhile: the packet was lost.
            return
        record.unanswered += 1
        pause_ms = min(
            FIRST_AVOID_MS << min(record.unanswered - 1, 8), MAX_AVOID_MS
        )
        record.avoid_until_ms = now_ms + pause_ms

    def note_peer(self, upstream_id: str, silent_ms: int, now_ms: int) -> None:
        """Notes that a peer avoids an upstream for its silence.

        What this host saw itself counts for more: an upstream that answered
        it since then is not avoided.

        Args:
            upstream_id: The upstream.
            silent_ms: For how much longer the peer avoids it.
            now_ms: The current time.
        """
        record = self._record(upstream_id)
        if now_ms - record.answered_ms < PEER_DOUBT_MS:
            return
        until_ms = now_ms + min(silent_ms, PEER_AVOID_MS)
        record.peers_until_ms = max(record.peers_until_ms, until_ms)

    def own_silent_ms(self, upstream_id: str, now_ms: int) -> int:
        """Returns for how much longer this host avoids an upstream."""
        record = self._records_by_id.get(upstream_id)
        if record is None:
            return 0
        return max(0, record.avoid_until_ms - now_ms)

    def is_avoided(self, upstream_id: str, now_ms: int) -> bool:
        """Whether an upstream is to be used only if there is no other."""
        record = self._records_by_id.get(upstream_id)
        if record is None:
            return False
        return now_ms < max(record.avoid_until_ms, record.peers_until_ms)

    def unanswered(self, upstream_id: str) -> int:
        """Returns how many openings in a row found no answer, at least one.

        One stands for the word of a peer.
        """
        record = self._records_by_id.get(upstream_id)
        return max(record.unanswered, 1) if record is not None else 1

    def forget(self, upstream_id: str) -> None:
        """Drops the record of an upstream."""
        self._records_by_id.pop(upstream_id, None)

    def _record(self, upstream_id: str) -> _Record:
        """Returns the record of an upstream, a new one if there is none."""
        return self._records_by_id.setdefault(upstream_id, _Record())
