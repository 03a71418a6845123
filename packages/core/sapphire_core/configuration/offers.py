"""The offers of newer revisions, and the selection of one to fetch.

A source, a peer or the store, offers a revision when it says that it has it.
"""

import dataclasses
import random

from sapphire_core.configuration import data

STORE = "store"
MAX_SOURCES = 16
MAX_VERSIONS = 8


@dataclasses.dataclass(slots=True)
class _Offer:
    """How often fetching an offer failed, and until when it backs off."""

    failure_count: int = 0
    retry_at_ms: int = 0


class Offers:
    """The offers of newer revisions, by version and source."""

    def __init__(self) -> None:
        self._offers: dict[data.Version, dict[str, _Offer]] = {}

    def add(self, version: data.Version, source: str) -> None:
        """Records an offer; only the newest few versions are kept.

        Args:
            version: The version that the source offers.
            source: The peer, or `STORE`.
        """
        offers = self._offers.setdefault(version, {})
        if source == STORE or len(offers) < MAX_SOURCES:
            offers.setdefault(source, _Offer())
        if len(self._offers) > MAX_VERSIONS:
            oldest = min(self._offers, key=lambda known: known.revision)
            del self._offers[oldest]

    def record_failure(
        self, version: data.Version, source: str, retry_at_ms: int
    ) -> None:
        """Ranks an offer lower and excludes it for a while.

        Args:
            version: The version that the source offered.
            source: The peer, or `STORE`.
            retry_at_ms: Before this time the offer is not selected again.
        """
        offer = self._offers.get(version, {}).get(source)
        if offer is None:
            return
        offer.failure_count += 1
        offer.retry_at_ms = retry_at_ms

    def discard_up_to(self, revision: int) -> None:
        """Discards the offers that are not newer than a revision."""
        for version in list(self._offers):
            if version.revision <= revision:
                del self._offers[version]

    def select(
        self, local_peers: frozenset[str], rng: random.Random, now_ms: int
    ) -> tuple[data.Version, str] | None:
        """Selects the version to fetch and its source.

        Offers with fewer failures come first, so that a newest revision
        whose only source is unreachable does not delay an older one from
        another source. Next, newer revisions come before older ones, then
        local peers before remote ones, and the store last.

        Args:
            local_peers: The peers in the same data centre.
            rng: Draws among offers of equal rank, to spread the load.
            now_ms: The time in milliseconds.

        Returns:
            The version and its source; None if all offers are excluded for
            now or there are none.
        """
        best: list[tuple[data.Version, str]] = []
        best_rank: tuple[int, int, int] | None = None
        for version, offers in self._offers.items():
            for source, offer in offers.items():
                if now_ms < offer.retry_at_ms:
                    continue
                distance = _distance(source, local_peers)
                rank = (offer.failure_count, -version.revision, distance)
                if best_rank is None or rank < best_rank:
                    best_rank = rank
                    best = []
                if rank == best_rank:
                    best.append((version, source))
        return rng.choice(best) if best else None


def _distance(source: str, local_peers: frozenset[str]) -> int:
    """Returns the rank of a source by its distance; lower is nearer."""
    if source == STORE:
        return 2
    return 0 if source in local_peers else 1
