"""Remembers which sources offer a revision that is newer than our own."""

import random

from sapphire_core.configuration import data

STORE = "store"
MAX_HOLDERS = 16
MAX_VERSIONS = 8
MAX_PENALTIES = 64


class Holders:
    """The offers of newer revisions, by revision and source."""

    def __init__(self) -> None:
        self._sources_by_version: dict[data.Version, set[str]] = {}
        self._penalty_ends_at_ms: dict[tuple[data.Version, str], int] = {}

    def add(self, version: data.Version, source: str, now_ms: int) -> None:
        """Remembers an offer; the newest few revisions are kept.

        An offer that failed a moment ago is not taken, so that a source
        that can't be reached does not hold up an older revision.

        Args:
            version: The revision.
            source: The peer, or `STORE`.
            now_ms: The time in milliseconds.
        """
        if now_ms < self._penalty_ends_at_ms.get((version, source), now_ms):
            return
        sources = self._sources_by_version.setdefault(version, set())
        if source == STORE or len(sources) < MAX_HOLDERS:
            sources.add(source)
        if len(self._sources_by_version) > MAX_VERSIONS:
            oldest = min(self._sources_by_version, key=_revision)
            del self._sources_by_version[oldest]

    def refuse(self, version: data.Version, source: str, until_ms: int) -> None:
        """Forgets an offer that did not hold.

        Args:
            version: The revision.
            source: The peer, or `STORE`.
            until_ms: When the same offer may be taken again.
        """
        if len(self._penalty_ends_at_ms) >= MAX_PENALTIES:
            self._penalty_ends_at_ms.clear()
        self._penalty_ends_at_ms[version, source] = until_ms
        sources = self._sources_by_version.get(version)
        if sources is None:
            return
        sources.discard(source)
        if not sources:
            del self._sources_by_version[version]

    def drop_up_to(self, revision: int) -> None:
        """Forgets the offers that are not newer than a revision."""
        for version in list(self._sources_by_version):
            if version.revision <= revision:
                del self._sources_by_version[version]

    def newest(self) -> data.Version:
        """Returns the newest revision that is offered."""
        if not self._sources_by_version:
            return data.NO_VERSION
        return max(self._sources_by_version, key=_revision)

    def choose(
        self, version: data.Version, near: frozenset[str], dice: random.Random
    ) -> str | None:
        """Chooses a source of a revision.

        Args:
            version: The revision.
            near: The peers in the same data centre.
            dice: Spreads the load over the sources.

        Returns:
            A near peer if one offers it, else another peer, else the store;
            none if the offer is gone.
        """
        sources = self._sources_by_version.get(version, set())
        peers = sorted(sources - {STORE})
        near_peers = [peer for peer in peers if peer in near]
        if near_peers:
            return dice.choice(near_peers)
        if peers:
            return dice.choice(peers)
        return STORE if STORE in sources else None


def _revision(version: data.Version) -> int:
    """Returns the revision of a version."""
    return version.revision
