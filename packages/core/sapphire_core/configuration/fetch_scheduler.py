"""Decides which revision a host fetches, from which source, and when."""

import random

from sapphire_core.configuration import data
from sapphire_core.configuration import offers
from sapphire_core.configuration import propagation_data as messages

# More timeouts in a row than this point to a slow network path rather than to
# one slow source, so the timeout then doubles with each of them.
TIMEOUTS_BEFORE_BACKOFF = 3
# Sources asked at once after a timeout; the first fetch asks one.
RETRY_SOURCES = 2
MAX_DOUBLINGS = 16


class FetchScheduler:
    """The offers of newer revisions and the fetch in progress."""

    def __init__(
        self, settings: messages.Settings, rng: random.Random, now_ms: int
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._offers = offers.Offers()
        self._current: messages.Fetch | None = None
        self._times_out_at_ms = 0
        self._timeouts_in_row = 0
        self._first_fetch_at_ms = now_ms + settings.boot_wait_ms

    def add_offer(self, version: data.Version, source: str) -> None:
        """Records that a source has a newer revision.

        Args:
            version: The version that the source offers.
            source: The peer, or `offers.STORE`.
        """
        self._offers.add(version, source)

    def discard_up_to(self, revision: int) -> None:
        """Discards offers and the current fetch unless they are newer.

        Args:
            revision: The revision that the host has now.
        """
        self._offers.discard_up_to(revision)
        current = self._current
        if current is not None and current.version.revision <= revision:
            self._current = None

    def handle_done(self, event: messages.FetchDone, now_ms: int) -> None:
        """Resets the count of timeouts and ends the fetch if it is current.

        A source that delivered an older revision than it offered counts as
        failed.

        Args:
            event: The fetch and the version that it brought.
            now_ms: The time in milliseconds.
        """
        self._timeouts_in_row = 0
        if event.version.revision < event.fetch.version.revision:
            self.handle_failed(event.fetch, now_ms)
        if self._current == event.fetch:
            self._current = None

    def handle_failed(self, fetch: messages.Fetch, now_ms: int) -> None:
        """Ranks the offer lower and backs off from it for a while.

        Args:
            fetch: The fetch that failed.
            now_ms: The time in milliseconds.
        """
        retry_at_ms = now_ms + self._settings.fetch_backoff_ms
        self._offers.record_failure(
            fetch.version, fetch.host_id or offers.STORE, retry_at_ms
        )
        if self._current == fetch:
            self._current = None

    def start_due_fetches(
        self, local_peers: frozenset[str], own: data.Version, now_ms: int
    ) -> list[messages.Fetch]:
        """Starts fetches if none is running or the running one timed out.

        Args:
            local_peers: The peers in the same data centre.
            own: The version that the host has.
            now_ms: The time in milliseconds.

        Returns:
            The fetches to start, perhaps none.
        """
        if self._current is not None and now_ms >= self._times_out_at_ms:
            self._timeouts_in_row += 1
            self._current = None
        if self._current is not None or now_ms < self._first_fetch_at_ms:
            return []
        started: list[messages.Fetch] = []
        for _ in range(RETRY_SOURCES if self._timeouts_in_row else 1):
            selected = self._offers.select(local_peers, self._rng, now_ms)
            if selected is None:
                break
            version, source = selected
            # Counting the fetch as a failure until it succeeds ranks this
            # offer after the others; the backoff of 1 ms keeps this loop
            # from selecting it twice.
            self._offers.record_failure(version, source, now_ms + 1)
            host_id = None if source == offers.STORE else source
            started.append(messages.Fetch(version, host_id))
        if started:
            self._current = started[-1]
            self._times_out_at_ms = now_ms + self._timeout_ms(own)
        return started

    def _timeout_ms(self, own: data.Version) -> int:
        """Returns how long a fetch may take before other sources are asked."""
        settings = self._settings
        if own == data.NO_VERSION:
            # A host without a configuration fetches a whole one, which takes
            # longer than the changed parts.
            return settings.fetch_timeout_max_ms // 4
        doublings = max(0, self._timeouts_in_row - TIMEOUTS_BEFORE_BACKOFF)
        wait_ms = settings.fetch_timeout_min_ms << min(doublings, MAX_DOUBLINGS)
        return min(wait_ms, settings.fetch_timeout_max_ms)
