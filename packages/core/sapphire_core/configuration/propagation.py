"""Brings the newest accepted revision to a host, and never an older one.

One host in each data centre watches the store; the others hear of a revision
from peers and fetch it from them. The store is read by others only at start
and while they hear from no peer.
"""

from collections.abc import Mapping
import random

from sapphire_core.configuration import data
from sapphire_core.configuration import fetch_scheduler
from sapphire_core.configuration import offers
from sapphire_core.configuration import propagation_data as messages
from sapphire_core.configuration import store_followers
from sapphire_data import failures

# Drawn by chance, eight each leave out fewer than 1 host in 1,000;
# questions to peers reach those.
NOTIFY_NEAR = 8
# A watcher stands at the root of the tree, where breadth saves the most time.
NOTIFY_AS_STORE_FOLLOWER = 32
NOTIFY_FAR = 1
ASK_NEAR_SHARE = 0.67


class Propagation:
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
        settings: messages.Settings = messages.DEFAULT_SETTINGS,
    ) -> None:
        self.version = data.NO_VERSION
        self.newest_offered = data.NO_VERSION
        self.forks: list[failures.Failure] = []
        self._host_id = host_id
        self._data_centre = data_centre
        self._dice = dice
        self._settings = settings
        self._fetch_scheduler = fetch_scheduler.FetchScheduler(
            settings, dice, now_ms
        )
        self._peers: list[str] = []
        self._near: frozenset[str] = frozenset()
        self._near_sorted: list[str] = []
        self._heard_at_ms = now_ms
        # Hosts that start together do not read the store together.
        self._read_at_ms = now_ms + dice.randrange(settings.boot_wait_ms)
        self._poll_ms = settings.poll_min_ms
        self._ask_at_ms = now_ms
        self._is_store_follower = False
        self._is_watching = False
        self._watch_at_ms = now_ms
        self._watch_retry_ms = settings.watch_retry_min_ms
        self._watch_started_at_ms = now_ms

    @property
    def is_store_follower(self) -> bool:
        """Whether this host is to watch the store."""
        return self._is_store_follower

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
            case messages.PeerVersionReceived():
                self._on_peer_head(event, now_ms)
            case messages.StoreHeadReceived():
                self._on_offer(event.version, offers.STORE)
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
                self._fetch_scheduler.handle_failed(event.fetch, now_ms)
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
        self._near_sorted = sorted(self._near)
        live = {**others, self._host_id: self._data_centre}
        was_store_follower = self._is_store_follower
        self._is_store_follower = self._host_id in store_followers.select(live)
        if self._is_store_follower and not was_store_follower:
            self._watch_at_ms = now_ms
        if (
            was_store_follower
            and not self._is_store_follower
            and self._is_watching
        ):
            self._is_watching = False
            actions.append(messages.StopWatch())

    def _on_peer_head(
        self, event: messages.PeerVersionReceived, now_ms: int
    ) -> None:
        """Takes the word of a peer."""
        if event.host_id == self._host_id:
            return
        self._heard_at_ms = now_ms
        if self.version != data.NO_VERSION:
            self._poll_ms = self._settings.poll_min_ms
        self._on_offer(event.version, event.host_id)

    def _on_offer(self, version: data.Version, source: str) -> None:
        """Remembers that a source has a revision; it may be an old one."""
        if version.revision > self.newest_offered.revision:
            self.newest_offered = version
        if version.revision > self.version.revision:
            self._fetch_scheduler.add_offer(version, source)
            return
        is_same_revision = version.revision == self.version.revision
        if not is_same_revision or version.digest == self.version.digest:
            return
        fork = messages.RevisionForked(self.version, version, source)
        if len(self.forks) < self.MAX_FORKS and fork not in self.forks:
            self.forks.append(fork)

    def _on_read_failed(self, now_ms: int) -> None:
        """Plans another read if the host depends on it."""
        if self._is_store_follower:
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
        self._fetch_scheduler.handle_done(event, now_ms)
        if version.revision <= self.version.revision:
            return
        self.version = version
        if version.revision > self.newest_offered.revision:
            self.newest_offered = version
        self._fetch_scheduler.discard_up_to(version.revision)
        actions.append(messages.Prepare(version))
        told = self._peers_to_notify()
        if told:
            actions.append(messages.Notify(told, version))

    def _peers_to_notify(self) -> tuple[str, ...]:
        """Draws a few peers nearby and at least one elsewhere."""
        near = self._near_sorted
        far = [peer for peer in self._peers if peer not in self._near]
        count = (
            NOTIFY_AS_STORE_FOLLOWER if self._is_store_follower else NOTIFY_NEAR
        )
        told = self._dice.sample(near, min(count, len(near)))
        told += self._dice.sample(far, min(NOTIFY_FAR, len(far)))
        return tuple(told)

    def _start_due_work(
        self, actions: list[messages.Action], now_ms: int
    ) -> None:
        """Adds the actions whose time has come."""
        actions.extend(
            self._fetch_scheduler.start_due_fetches(
                self._near, self.version, now_ms
            )
        )
        is_idle = self._is_store_follower and not self._is_watching
        if is_idle and now_ms >= self._watch_at_ms:
            self._is_watching = True
            self._watch_started_at_ms = now_ms
            actions.append(messages.StartWatch())
        if self._is_read_due(now_ms):
            actions.append(messages.ReadStoreHead())
            self._plan_next_read(now_ms)
        if now_ms >= self._ask_at_ms and self._peers:
            actions.append(messages.QueryPeer(self._peer_to_ask()))
            wait_ms = self._settings.ask_peer_ms
            self._ask_at_ms = now_ms + self._jittered(wait_ms)

    def _peer_to_ask(self) -> str:
        """Draws a peer, mostly from the same data centre."""
        if self._near and self._dice.random() < ASK_NEAR_SHARE:
            return self._dice.choice(self._near_sorted)
        return self._dice.choice(self._peers)

    def _is_read_due(self, now_ms: int) -> bool:
        """Says whether to read the head from the store now."""
        if now_ms < self._read_at_ms:
            return False
        if self._is_store_follower or self.version == data.NO_VERSION:
            return True
        return now_ms - self._heard_at_ms >= self._settings.peer_timeout_ms

    def _plan_next_read(self, now_ms: int) -> None:
        """Sets the time of the next read of the store."""
        if self._is_store_follower:
            wait_ms = self._settings.watch_check_ms
        else:
            wait_ms = self._poll_ms
            self._poll_ms = min(2 * wait_ms, self._settings.poll_max_ms)
        self._read_at_ms = now_ms + self._jittered(wait_ms)

    def _jittered(self, wait_ms: int) -> int:
        """Returns a time between half of the given one and all of it."""
        return wait_ms // 2 + self._dice.randrange(wait_ms // 2 + 1)
