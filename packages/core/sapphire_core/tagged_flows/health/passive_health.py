"""Passive health checks: which upstreams leave opening packets unanswered.

A host sees no packet from an upstream. The caller's next packet on a flow shows
that the upstream selected for it has answered. If that packet does not come,
the upstream, the network path to it or the caller has failed.
"""

import dataclasses

# An upstream answers an opening packet within two network crossings and a
# fraction of a millisecond. Packet loss leaves one opening packet of a thousand
# unanswered, so after a single one the upstream is avoided only briefly. The
# time doubles with each further one in a row, up to the maximum.
INITIAL_AVOID_MS = 300
MAX_AVOID_MS = 2_400
# Peers renew their reports with each heartbeat.
MAX_PEER_AVOID_MS = 600
# Two heartbeats. An upstream that answered this host within this time is not
# avoided on the report of a peer.
RECENT_ANSWER_MS = 500


@dataclasses.dataclass(slots=True)
class _Record:
    """The health of one upstream as observed by this host and its peers.

    Attributes:
        consecutive_unanswered: The number of opening packets in a row that the
            upstream left unanswered.
        avoid_until_ms: Until when this host avoids it.
        peer_avoid_until_ms: Until when this host avoids it on the report of a
            peer.
        last_answered_ms: When it last answered an opening packet.
    """

    consecutive_unanswered: int = 0
    avoid_until_ms: int = 0
    peer_avoid_until_ms: int = 0
    last_answered_ms: int = -MAX_AVOID_MS


class PassiveHealth:
    """Answered and unanswered opening packets by upstream."""

    def __init__(self) -> None:
        self._records_by_id: dict[str, _Record] = {}

    def record_answered(self, upstream_id: str, now_ms: int) -> None:
        """Records that an upstream has answered an opening packet.

        Args:
            upstream_id: The identity of the upstream.
            now_ms: The current time.
        """
        record = self._get_or_create_record(upstream_id)
        record.consecutive_unanswered = 0
        record.avoid_until_ms = 0
        record.peer_avoid_until_ms = 0
        record.last_answered_ms = now_ms

    def record_unanswered(
        self, upstream_id: str, sent_ms: int, now_ms: int
    ) -> None:
        """Records that an upstream left an opening packet unanswered.

        Args:
            upstream_id: The identity of the upstream.
            sent_ms: When the opening packet was sent to it.
            now_ms: The current time.
        """
        record = self._get_or_create_record(upstream_id)
        if record.last_answered_ms >= sent_ms:
            # The upstream has answered another flow since: the packet was lost.
            return
        record.consecutive_unanswered += 1
        avoid_ms = min(
            INITIAL_AVOID_MS << min(record.consecutive_unanswered - 1, 8),
            MAX_AVOID_MS,
        )
        record.avoid_until_ms = now_ms + avoid_ms

    def record_peer_report(
        self, upstream_id: str, avoid_ms: int, now_ms: int
    ) -> None:
        """Records that a peer avoids an unresponsive upstream.

        This host's own observation takes precedence: the report is ignored if
        the upstream has answered this host within `RECENT_ANSWER_MS`.

        Args:
            upstream_id: The identity of the upstream.
            avoid_ms: How much longer the peer avoids it.
            now_ms: The current time.
        """
        record = self._get_or_create_record(upstream_id)
        if now_ms - record.last_answered_ms < RECENT_ANSWER_MS:
            return
        until_ms = now_ms + min(avoid_ms, MAX_PEER_AVOID_MS)
        record.peer_avoid_until_ms = max(record.peer_avoid_until_ms, until_ms)

    def own_avoid_ms(self, upstream_id: str, now_ms: int) -> int:
        """Returns how much longer this host avoids an upstream.

        Reports of peers do not count: hosts that passed on each other's reports
        would renew them for ever.
        """
        record = self._records_by_id.get(upstream_id)
        if record is None:
            return 0
        return max(0, record.avoid_until_ms - now_ms)

    def unanswered(self, upstream_id: str, now_ms: int) -> int:
        """Returns how many opening packets in a row were left unanswered.

        Args:
            upstream_id: The identity of the upstream.
            now_ms: The current time.

        Returns:
            The number; 1 if only a peer reports the upstream as unresponsive,
            0 if the upstream is not avoided.
        """
        record = self._records_by_id.get(upstream_id)
        if record is None:
            return 0
        if (
            now_ms >= record.avoid_until_ms
            and now_ms >= record.peer_avoid_until_ms
        ):
            return 0
        return record.consecutive_unanswered or 1

    def is_avoided(self, upstream_id: str, now_ms: int) -> bool:
        """Whether an upstream is to be selected only as a last resort."""
        record = self._records_by_id.get(upstream_id)
        if record is None:
            return False
        return now_ms < max(record.avoid_until_ms, record.peer_avoid_until_ms)

    def discard(self, upstream_id: str) -> None:
        """Discards the record of an upstream."""
        self._records_by_id.pop(upstream_id, None)

    def _get_or_create_record(self, upstream_id: str) -> _Record:
        """Returns the record of an upstream, a new one if there is none."""
        return self._records_by_id.setdefault(upstream_id, _Record())
