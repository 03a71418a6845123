"""Whom a host that has just started asks for the start ramps under way.

The configuration does not say which upstreams are cold, and a host that took
them for warm would, as a keeper, give them more than they bear.
"""

from collections.abc import Collection

QUERY_INTERVAL_MS = 500
REQUIRED_ANSWERS = 2
QUERY_TIMEOUT_MS = 10_000


class SlowStartQuery:
    """The questions of one host, from its first configuration on."""

    def __init__(self) -> None:
        """Starts before the first configuration."""
        self._started_ms: int | None = None
        self._asked_ms: int | None = None
        self._answered: set[str] = set()

    def start(self, now_ms: int) -> None:
        """Begins to ask; only the first call counts.

        Args:
            now_ms: The monotonic time.
        """
        if self._started_ms is None:
            self._started_ms = now_ms

    def record_answer(self, host_id: str) -> None:
        """Notes that a host has answered.

        Args:
            host_id: The host.
        """
        self._answered.add(host_id)

    def hosts_to_query(
        self, peers: Collection[str], now_ms: int
    ) -> tuple[str, ...]:
        """Returns the hosts to ask now.

        Two answers are wanted, because a peer may have started just before.

        Args:
            peers: The other live hosts.
            now_ms: The monotonic time.

        Returns:
            Hosts that have not answered, none where nothing is due.
        """
        if self._started_ms is None:
            return ()
        if now_ms - self._started_ms > QUERY_TIMEOUT_MS:
            return ()
        wanted = REQUIRED_ANSWERS - len(self._answered)
        if wanted <= 0:
            return ()
        if (
            self._asked_ms is not None
            and now_ms - self._asked_ms < QUERY_INTERVAL_MS
        ):
            return ()
        open_peers = sorted(set(peers) - self._answered)
        if not open_peers:
            return ()
        self._asked_ms = now_ms
        # The start moves on with each repeat, so that a host which does not
        # answer is not asked for ever.
        start = now_ms // QUERY_INTERVAL_MS % len(open_peers)
        turned = open_peers[start:] + open_peers[:start]
        return tuple(turned[:wanted])
