"""Selects the peer from which a host pulls changes that it lacks.

A change spreads as a tree: the first hosts that have it serve a few peers at a
time, and each of these serves others. A peer that is busy says so at once and
is left alone for a short time, a peer that failed for a longer one. Peers of
the same data centre come first, since traffic between data centres is slower
and paid for by the byte.
"""

from collections.abc import Iterable
import dataclasses
import enum
import random

from sapphire_core.peers import data

# About one transfer of a large configuration over a narrow link.
BUSY_BACKOFF_MIN_MS = 100
BUSY_BACKOFF_MAX_MS = 300
FAILURE_BACKOFF_MS = 1_000
# A host that names revisions which it does not have is left alone for longer
# than a change takes to arrive from any other.
CONTRADICTION_BACKOFF_MS = 60_000


class PullOutcome(enum.Enum):
    """What became of a pull.

    Attributes:
        PULLED: The peer sent the changes.
        BUSY: The peer serves as many others as it can.
        FAILED: The peer sent no valid response.
        CONTRADICTED: The peer's replica does not have the revision that its
            heartbeat named, so the heartbeat was wrong or forged.
    """

    PULLED = "pulled"
    BUSY = "busy"
    FAILED = "failed"
    CONTRADICTED = "contradicted"


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """A peer that has changes which this host lacks.

    Attributes:
        contact: Where the peer is reached.
        is_near: Whether it is in the same data centre as this host.
        revision: The newest revision that it names.
        era: The era that this revision belongs to.
    """

    contact: data.Contact
    is_near: bool
    revision: int
    era: int = 0


class PullSources:
    """Which peers may be asked, from the outcomes of earlier pulls.

    Args:
        rng: Spreads the pulls of many hosts over their sources.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        # Peers that are not to be asked before a given time.
        self._retry_ms_by_host: dict[str, int] = {}

    def select(self, sources: Iterable[Source], now_ms: int) -> Source | None:
        """Selects the peer to pull from.

        Args:
            sources: The peers that have the changes.
            now_ms: The current time.

        Returns:
            A peer, near ones first; None if each of them is left alone now.
        """
        near: list[Source] = []
        remote: list[Source] = []
        for source in sources:
            retry_ms = self._retry_ms_by_host.get(source.contact.host)
            if retry_ms is not None and now_ms < retry_ms:
                continue
            (near if source.is_near else remote).append(source)
        for group in (near, remote):
            if group:
                return self._rng.choice(group)
        return None

    def record_outcome(
        self, host: str, outcome: PullOutcome, now_ms: int
    ) -> None:
        """Records what became of a pull from a peer.

        Args:
            host: The name of the peer.
            outcome: What became of it.
            now_ms: The current time.
        """
        if outcome is PullOutcome.PULLED:
            self._retry_ms_by_host.pop(host, None)
            return
        backoff_ms = FAILURE_BACKOFF_MS
        if outcome is PullOutcome.CONTRADICTED:
            backoff_ms = CONTRADICTION_BACKOFF_MS
        if outcome is PullOutcome.BUSY:
            backoff_ms = self._rng.randint(
                BUSY_BACKOFF_MIN_MS, BUSY_BACKOFF_MAX_MS
            )
        self._retry_ms_by_host[host] = now_ms + backoff_ms

    def evict_expired(self, now_ms: int) -> None:
        """Forgets peers that may be asked again.

        Args:
            now_ms: The current time.
        """
        for host, retry_ms in list(self._retry_ms_by_host.items()):
            if now_ms >= retry_ms:
                del self._retry_ms_by_host[host]
