"""Brings the newest accepted revision to a host, and never an older one.

One host in each data centre watches the store; the others hear of a revision
from peers and fetch it from them. The store is read by others only at start
and while they hear from no peer.
"""

from collections.abc import Mapping
import dataclasses
import random

from sapphire_core.configuration import data
from sapphire_core.configuration import holders
from sapphire_core.configuration import spreading_data as messages
from sapphire_core.configuration import watchers
from sapphire_data import failures

# With four each, all but 2% of a data centre learn of a revision at once;
# gossip reaches the others.
NOTIFY_NEAR = 4
NOTIFY_FAR = 1
# Timeouts in a row after which waits grow, because the path is slow and not
# a single source.
QUICK_TRIES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Times of the spreading.

    Attributes:
        boot_wait_ms: How long a host without a configuration collects offers
            before it fetches one, so that it starts with the newest.
        fetch_timeout_min_ms: When a fetch is given up for another source.
        fetch_timeout_max_ms: The same after several were given up.
        penalty_ms: How long a source that failed is not asked again.
        silence_ms: The time without a word from any peer after which a host
            reads the store itself.
        poll_min_ms: The shortest time between such reads.
        poll_max_ms: The longest time between such reads.
        watch_check_ms: The time between a watcher's reads of the head, in
            case its watch has gone silent.
        watch_retry_min_ms: The shortest wait before a watch is opened again.
        watch_retry_max_ms: The longest such wait.
        ask_peer_ms: The time between questions to one peer, which repair
            what gossip lost.
    """

    boot_wait_ms: int = 500
    fetch_timeout_min_ms: int = 250
    fetch_timeout_max_ms: int = 8_000
    penalty_ms: int = 600
    silence_ms: int = 1_500
    poll_min_ms: int = 1_000
    poll_max_ms: int = 30_000
    watch_check_ms: int = 10_000
    watch_retry_min_ms: int = 200
    watch_retry_max_ms: int = 1_500
    ask_peer_ms: int = 5_000


DEFAULT_SETTINGS = Settings()


class Spreading:
    """The state machine of one host.

    Attributes:
        version: The newest revision that the host has.
        newest_heard: The newest revision that any source offered.
        forks: The failures seen so far, oldest first, a bounded number.
    """

    MAX_FORKS = 16

    def __init__(
        self,
        host_id: str,
        data_centre: str,
        dice: random.Random,
        now_ms: int,
        settings: Settings = DEFAULT_SETTINGS,
    ) -> None:
        self.version = data.NO_VERSION
        self.newest_heard = data.NO_VERSION
        self.forks: list[failures.Failure] = []
        self._host_id = host_id
        self._data_centre = data_centre
        self._dice = dice
        self._settings = settings
        self._holders = holders.Holders()
        self._peers: list[str] = []
        self._near: frozenset[str] = frozenset()
        self._fetching: messages.Fetch | None = None
        self._fetch_ends_at_ms = 0
        self._timeouts_in_row = 0
        self._fetch_from_ms = now_ms + settings.boot_wait_ms
        self._heard_at_ms = now_ms
        # Hosts that start together do not read the store together.
        self._read_at_ms = now_ms + dice.randrange(settings.boot_wait_ms)
        self._poll_ms = settings.poll_min_ms
        self._ask_at_ms = now_ms
        self._is_watcher = False
        self._is_watching = False
        self._watch_at_ms = now_ms
        self._watch_retry_ms = settings.watch_retry_min_ms
        self._watch_started_at_ms = now_ms

    @property
    def is_watcher(self) -> bool:
        """Whether this host is to watch the store."""
        return self._is_watcher

    def handle(
        self, event: messages.Event, now_ms: int
    ) -> list[messages.Action]:
        """Takes one event.

        Args:
            event: What happened.
            now_ms: The time in milliseconds.

        Returns:
            What to do, in order.
        """
        actions: list[messages.Action] = []
        match event:
            case messages.ViewChanged():
                self._on_view(event.data_centre_by_host, actions, now_ms)
            case messages.PeerHead():
                self._on_peer_head(event, now_ms)
            case messages.StoreHead():
                self._on_offer(event.version, holders.STORE)
            case messages.StoreReadFailed():
                self._on_read_failed(now_ms)
            case messages.WatchStarted():
                # A change between two watches is seen only by a read.
                self._read_at_ms = now_ms
            case messages.WatchEnded():
                self._on_watch_ended(now_ms)
            case messages.FetchDone():
                self._on_fetched(event, actions, now_ms)
            case messages.FetchFailed():
                banned_until_ms = now_ms + self._settings.penalty_ms
                self._refuse(event.fetch, banned_until_ms)
            case messages.Tick():
                pass
        self._start_due_work(actions, now_ms)
        return actions

    def _on_view(
        self,
        data_centre_by_host: Mapping[str, str],
        actions: list[messages.Action],
        now_ms: int,
    ) -> None:
        """Takes over the live hosts and whether this one is to watch."""
        others = {
            host_id: place
            for host_id, place in data_centre_by_host.items()
            if host_id != self._host_id
        }
        self._peers = sorted(others)
        self._near = frozenset(
            host_id
            for host_id, place in others.items()
            if place == self._data_centre
        )
        live = {**others, self._host_id: self._data_centre}
        was_watcher = self._is_watcher
        self._is_watcher = self._host_id in watchers.choose(live)
        if self._is_watcher and not was_watcher:
            self._watch_at_ms = now_ms
        if was_watcher and not self._is_watcher and self._is_watching:
            self._is_watching = False
            actions.append(messages.StopWatch())

    def _on_peer_head(self, event: messages.PeerHead, now_ms: int) -> None:
        """Takes the word of a peer."""
        if event.host_id == self._host_id:
            return
        self._heard_at_ms = now_ms
        if self.version != data.NO_VERSION:
            self._poll_ms = self._settings.poll_min_ms
        self._on_offer(event.version, event.host_id)

    def _on_offer(self, version: data.Version, source: str) -> None:
        """Remembers that a source has a revision; it may be an old one."""
        if version.revision > self.newest_heard.revision:
            self.newest_heard = version
        if version.revision > self.version.revision:
            self._holders.add(version, source)
            return
        is_same_revision = version.revision == self.version.revision
        if not is_same_revision or version.digest == self.version.digest:
            return
        fork = messages.RevisionForked(self.version, version, source)
        if len(self.forks) < self.MAX_FORKS and fork not in self.forks:
            self.forks.append(fork)

    def _on_read_failed(self, now_ms: int) -> None:
        """Plans another read if the host depends on it."""
        if self._is_watcher:
            wait_ms = self._jittered(self._settings.watch_retry_max_ms)
            self._read_at_ms = min(self._read_at_ms, now_ms + wait_ms)

    def _on_watch_ended(self, now_ms: int) -> None:
        """Plans to open the watch again, later after each failure."""
        self._is_watching = False
        lasted_ms = now_ms - self._watch_started_at_ms
        if lasted_ms >= self._settings.watch_retry_max_ms:
            self._watch_retry_ms = self._settings.watch_retry_min_ms
        self._watch_at_ms = now_ms + self._jittered(self._watch_retry_ms)
        self._watch_retry_ms = min(
            2 * self._watch_retry_ms, self._settings.watch_retry_max_ms
        )

    def _on_fetched(
        self,
        event: messages.FetchDone,
        actions: list[messages.Action],
        now_ms: int,
    ) -> None:
        """Accepts a fetched revision if it is newer than the host's own."""
        version = event.version
        self._timeouts_in_row = 0
        if version.revision < event.fetch.version.revision:
            # The source does not have what it offered.
            self._refuse(event.fetch, now_ms + self._settings.penalty_ms)
        if self._fetching == event.fetch:
            self._fetching = None
        if version.revision <= self.version.revision:
            return
        self.version = version
        if version.revision > self.newest_heard.revision:
            self.newest_heard = version
        self._holders.drop_up_to(version.revision)
        if self._fetching is not None and (
            self._fetching.version.revision <= version.revision
        ):
            self._fetching = None
        actions.append(messages.Prepare(version))
        actions.append(messages.Announce(version))
        told = self._peers_to_notify()
        if told:
            actions.append(messages.Notify(told, version))

    def _peers_to_notify(self) -> tuple[str, ...]:
        """Draws a few peers nearby and at least one elsewhere."""
        near = sorted(self._near)
        far = [peer for peer in self._peers if peer not in self._near]
        told = self._dice.sample(near, min(NOTIFY_NEAR, len(near)))
        told += self._dice.sample(far, min(NOTIFY_FAR, len(far)))
        return tuple(told)

    def _refuse(self, fetch: messages.Fetch, banned_until_ms: int) -> None:
        """Counts a failure of a fetch's source."""
        source = fetch.host_id or holders.STORE
        self._holders.count_failure(fetch.version, source, banned_until_ms)
        if self._fetching == fetch:
            self._fetching = None

    def _fetch_timeout_ms(self) -> int:
        """Returns how long to wait for a fetch before another source."""
        settings = self._settings
        if self.version == data.NO_VERSION:
            # A whole configuration takes longer than its changed parts.
            return settings.fetch_timeout_max_ms // 4
        doublings = max(0, self._timeouts_in_row - QUICK_TRIES)
        wait_ms = settings.fetch_timeout_min_ms << min(doublings, 16)
        return min(wait_ms, settings.fetch_timeout_max_ms)

    def _start_due_work(
        self, actions: list[messages.Action], now_ms: int
    ) -> None:
        """Adds the actions whose time has come."""
        if self._fetching is not None and now_ms >= self._fetch_ends_at_ms:
            self._timeouts_in_row += 1
            self._refuse(self._fetching, now_ms)
        if self._fetching is None and now_ms >= self._fetch_from_ms:
            self._start_fetch(actions, now_ms)
        is_idle = self._is_watcher and not self._is_watching
        if is_idle and now_ms >= self._watch_at_ms:
            self._is_watching = True
            self._watch_started_at_ms = now_ms
            actions.append(messages.StartWatch())
        if self._is_read_due(now_ms):
            actions.append(messages.ReadStoreHead())
            self._plan_next_read(now_ms)
        if now_ms >= self._ask_at_ms and self._peers:
            peer = self._dice.choice(self._peers)
            actions.append(messages.AskPeer(peer))
            wait_ms = self._settings.ask_peer_ms
            if self.version == data.NO_VERSION:
                wait_ms = self._settings.boot_wait_ms // 4
            self._ask_at_ms = now_ms + self._jittered(wait_ms)

    def _start_fetch(self, actions: list[messages.Action], now_ms: int) -> None:
        """Fetches the best offer."""
        chosen = self._holders.choose(self._near, self._dice, now_ms)
        if chosen is None:
            return
        version, source = chosen
        host_id = None if source == holders.STORE else source
        self._fetching = messages.Fetch(version, host_id)
        self._fetch_ends_at_ms = now_ms + self._fetch_timeout_ms()
        actions.append(self._fetching)

    def _is_read_due(self, now_ms: int) -> bool:
        """Says whether to read the head from the store now."""
        if now_ms < self._read_at_ms:
            return False
        if self._is_watcher or self.version == data.NO_VERSION:
            return True
        return now_ms - self._heard_at_ms >= self._settings.silence_ms

    def _plan_next_read(self, now_ms: int) -> None:
        """Sets the time of the next read of the store."""
        if self._is_watcher:
            wait_ms = self._settings.watch_check_ms
        else:
            wait_ms = self._poll_ms
            self._poll_ms = min(2 * wait_ms, self._settings.poll_max_ms)
        self._read_at_ms = now_ms + self._jittered(wait_ms)

    def _jittered(self, wait_ms: int) -> int:
        """Returns a time between half of the given one and all of it."""
        return wait_ms // 2 + self._dice.randrange(wait_ms // 2 + 1)
