"""Selects peers that a newly started host asks for the current slow starts.

The configuration does not say which upstreams are cold. A host that treated
them as warm would overload them with new flows of the buckets that it is a
replica host of.
"""

from collections.abc import Collection

QUERY_INTERVAL_MS = 500
REQUIRED_ANSWERS = 2
QUERY_TIMEOUT_MS = 10_000


class SlowStartQuery:
    """The slow start queries of one host, from its first configuration on."""

    def __init__(self) -> None:
        """Creates the state before the first configuration."""
        self._started_ms: int | None = None
        self._queried_ms: int | None = None
        self._answered_host_ids: set[str] = set()

    def start(self, now_ms: int) -> None:
        """Begins to query peers; later calls have no effect.

        Args:
            now_ms: The monotonic time.
        """
        if self._started_ms is None:
            self._started_ms = now_ms

    def record_answer(self, host_id: str) -> None:
        """Records that a host has answered.

        Args:
            host_id: The identity of the host.
        """
        self._answered_host_ids.add(host_id)

    def hosts_to_query(
        self, peers: Collection[str], now_ms: int
    ) -> tuple[str, ...]:
        """Returns the hosts to query now.

        Two answers are required, because a peer may itself have started only
        shortly before and not know any slow starts yet.

        Args:
            peers: The identities of the other live hosts.
            now_ms: The monotonic time.

        Returns:
            Hosts that have not answered; none if no query is due.
        """
        if self._started_ms is None:
            return ()
        if now_ms - self._started_ms > QUERY_TIMEOUT_MS:
            return ()
        missing_answers = REQUIRED_ANSWERS - len(self._answered_host_ids)
        if missing_answers <= 0:
            return ()
        if (
            self._queried_ms is not None
            and now_ms - self._queried_ms < QUERY_INTERVAL_MS
        ):
            return ()
        unanswered = sorted(set(peers) - self._answered_host_ids)
        if not unanswered:
            return ()
        self._queried_ms = now_ms
        # Each query starts at another peer, so that hosts which do not answer
        # do not keep the other peers from being queried.
        start = now_ms // QUERY_INTERVAL_MS % len(unanswered)
        rotated = unanswered[start:] + unanswered[:start]
        return tuple(rotated[:missing_answers])
