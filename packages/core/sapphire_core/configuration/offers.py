"""Remembers which sources offer a revision that is newer than our own."""

import dataclasses
import random

from sapphire_core.configuration import data

STORE = "store"
MAX_SOURCES = 16
MAX_VERSIONS = 8


@dataclasses.dataclass(slots=True)
class _Offer:
    """How often an offer did not hold, and until when it is not taken."""

    tries: int = 0
    banned_until_ms: int = 0


class Offers:
    """The offers of newer revisions, by revision and source."""

    def __init__(self) -> None:
        self._offers: dict[data.Version, dict[str, _Offer]] = {}

    def add(self, version: data.Version, source: str) -> None:
        """Remembers an offer; the newest few revisions are kept.

        Args:
            version: The revision.
            source: The peer, or `STORE`.
        """
        offers = self._offers.setdefault(version, {})
        if source == STORE or len(offers) < MAX_SOURCES:
            offers.setdefault(source, _Offer())
        if len(self._offers) > MAX_VERSIONS:
            oldest = min(self._offers, key=lambda known: known.revision)
            del self._offers[oldest]

    def record_failure(
        self, version: data.Version, source: str, banned_until_ms: int
    ) -> None:
        """Ranks an offer lower because it did not hold.

        Args:
            version: The revision.
            source: The peer, or `STORE`.
            banned_until_ms: Before this time it is not taken again.
        """
        offer = self._offers.get(version, {}).get(source)
        if offer is None:
            return
        offer.tries += 1
        offer.banned_until_ms = banned_until_ms

    def discard_up_to(self, revision: int) -> None:
        """Forgets the offers that are not newer than a revision."""
        for version in list(self._offers):
            if version.revision <= revision:
                del self._offers[version]

    def select(
        self, near: frozenset[str], dice: random.Random, now_ms: int
    ) -> tuple[data.Version, str] | None:
        """Chooses what to fetch from where.

        Offers that failed less often go first, so that a source that can't
        be reached does not hold up an older revision; then newer revisions;
        then near peers before others and the store last.

        Args:
            near: The peers in the same data centre.
            dice: Spreads the load over equal sources.
            now_ms: The time in milliseconds.

        Returns:
            The revision and its source; none if there is no offer.
        """
        best: list[tuple[data.Version, str]] = []
        best_rank: tuple[int, int, int] | None = None
        for version, offers in self._offers.items():
            for source, offer in offers.items():
                if now_ms < offer.banned_until_ms:
                    continue
                distance = _distance(source, near)
                rank = (offer.tries, -version.revision, distance)
                if best_rank is None or rank < best_rank:
                    best_rank = rank
                    best = []
                if rank == best_rank:
                    best.append((version, source))
        return dice.choice(best) if best else None


def _distance(source: str, near: frozenset[str]) -> int:
    """Returns how far a source is, for ranking."""
    if source == STORE:
        return 2
    return 0 if source in near else 1
