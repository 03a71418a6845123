"""Decides which revision a host fetches from which source, and when again."""

import random

from sapphire_core.configuration import data
from sapphire_core.configuration import offers
from sapphire_core.configuration import propagation_data as messages

# Timeouts in a row after which waits grow, because the path is slow and not
# a single source.
QUICK_TRIES = 3
# Sources asked at once after a timeout; a host asks one at first.
RETRY_SOURCES = 2
MAX_DOUBLINGS = 16


class FetchScheduler:
    """The offers of newer revisions and the fetch in progress."""

    def __init__(
        self, settings: messages.Settings, dice: random.Random, now_ms: int
    ) -> None:
        self._settings = settings
        self._dice = dice
        self._offers = offers.Offers()
        self._current: messages.Fetch | None = None
        self._ends_at_ms = 0
        self._timeouts_in_row = 0
        self._from_ms = now_ms + settings.boot_wait_ms

    def add_offer(self, version: data.Version, source: str) -> None:
        """Remembers that a source has a newer revision."""
        self._offers.add(version, source)

    def discard_up_to(self, revision: int) -> None:
        """Forgets what is not newer than a revision.

        Args:
            revision: The revision that the host has now.
        """
        self._offers.discard_up_to(revision)
        current = self._current
        if current is not None and current.version.revision <= revision:
            self._current = None

    def handle_done(self, event: messages.FetchDone, now_ms: int) -> None:
        """Takes note that a source answered.

        Args:
            event: What it delivered, perhaps less than it offered.
            now_ms: The time in milliseconds.
        """
        self._timeouts_in_row = 0
        if event.version.revision < event.fetch.version.revision:
            self.handle_failed(event.fetch, now_ms)
        if self._current == event.fetch:
            self._current = None

    def handle_failed(self, fetch: messages.Fetch, now_ms: int) -> None:
        """Ranks a source lower and does not ask it again for a while.

        Args:
            fetch: The fetch that failed.
            now_ms: The time in milliseconds.
        """
        banned_until_ms = now_ms + self._settings.penalty_ms
        self._offers.record_failure(
            fetch.version, fetch.host_id or offers.STORE, banned_until_ms
        )
        if self._current == fetch:
            self._current = None

    def start_due_fetches(
        self, near: frozenset[str], own: data.Version, now_ms: int
    ) -> list[messages.Fetch]:
        """Starts the fetches whose time has come.

        Args:
            near: The peers in the same data centre.
            own: The revision that the host has.
            now_ms: The time in milliseconds.

        Returns:
            The fetches to start, perhaps none.
        """
        if self._current is not None and now_ms >= self._ends_at_ms:
            self._timeouts_in_row += 1
            self._current = None
        if self._current is not None or now_ms < self._from_ms:
            return []
        started: list[messages.Fetch] = []
        for _ in range(RETRY_SOURCES if self._timeouts_in_row else 1):
            chosen = self._offers.select(near, self._dice, now_ms)
            if chosen is None:
                break
            version, source = chosen
            # A source that is being asked ranks after the others from now
            # on, and is not asked twice at this moment.
            self._offers.record_failure(version, source, now_ms + 1)
            host_id = None if source == offers.STORE else source
            started.append(messages.Fetch(version, host_id))
        if started:
            self._current = started[-1]
            self._ends_at_ms = now_ms + self._timeout_ms(own)
        return started

    def _timeout_ms(self, own: data.Version) -> int:
        """Returns how long to wait for a fetch before other sources."""
        settings = self._settings
        if own == data.NO_VERSION:
            # A whole configuration takes longer than its changed parts.
            return settings.fetch_timeout_max_ms // 4
        doublings = max(0, self._timeouts_in_row - QUICK_TRIES)
        wait_ms = settings.fetch_timeout_min_ms << min(doublings, MAX_DOUBLINGS)
        return min(wait_ms, settings.fetch_timeout_max_ms)
