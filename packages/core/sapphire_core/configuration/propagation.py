"""Brings the newest accepted revision to a host, and never an older one.

In each data centre at least one host, a store follower, watches the store.
The other hosts learn of a revision from peers and fetch it from them; they
read the store only at start and while no peer sends them its version.
"""

from collections.abc import Mapping
import random

from sapphire_core.configuration import data
from sapphire_core.configuration import fetch_scheduler
from sapphire_core.configuration import offers
from sapphire_core.configuration import propagation_data as messages
from sapphire_core.configuration import store_followers
from sapphire_data import failures

# If each host notifies eight random local peers, fewer than 1 host in 1,000
# gets no notice; periodic queries reach those.
LOCAL_FANOUT = 8
# Notices of a revision start at the store followers, where a larger fan-out
# saves the most time.
STORE_FOLLOWER_FANOUT = 32
REMOTE_FANOUT = 1
LOCAL_QUERY_SHARE = 0.67


class Propagation:
    """The state machine that propagates revisions, as one host runs it.

    Attributes:
        version: The newest revision that the host has.
        newest_offered: The newest revision that any source offered.
        forks: The distinct `RevisionForked` failures so far, oldest first, at
            most `MAX_FORKS`.
    """

    MAX_FORKS = 16

    def __init__(
        self,
        host_id: str,
        data_centre: str,
        rng: random.Random,
        now_ms: int,
        settings: messages.Settings = messages.DEFAULT_SETTINGS,
    ) -> None:
        self.version = data.NO_VERSION
        self.newest_offered = data.NO_VERSION
        self.forks: list[failures.Failure] = []
        self._host_id = host_id
        self._data_centre = data_centre
        self._rng = rng
        self._settings = settings
        self._fetch_scheduler = fetch_scheduler.FetchScheduler(
            settings, rng, now_ms
        )
        self._peers: list[str] = []
        self._local_peers: frozenset[str] = frozenset()
        self._local_peers_sorted: list[str] = []
        self._last_peer_message_ms = now_ms
        # The random delay keeps hosts that start together from all reading
        # the store at the same time.
        self._read_at_ms = now_ms + rng.randrange(settings.boot_wait_ms)
        self._poll_ms = settings.poll_min_ms
        self._query_at_ms = now_ms
        self._is_store_follower = False
        self._is_watching = False
        self._watch_at_ms = now_ms
        self._watch_retry_ms = settings.watch_retry_min_ms
        self._watch_started_at_ms = now_ms

    @property
    def is_store_follower(self) -> bool:
        """Whether this host must watch the store."""
        return self._is_store_follower

    def handle(
        self, event: messages.Event, now_ms: int
    ) -> list[messages.Action]:
        """Updates the state from one event and starts the work that is due.

        Args:
            event: What happened.
            now_ms: The time in milliseconds.

        Returns:
            The actions for the caller to carry out, in order.
        """
        actions: list[messages.Action] = []
        match event:
            case messages.ViewChanged():
                self._apply_view(event.data_centre_by_host, actions, now_ms)
            case messages.PeerVersionReceived():
                self._handle_peer_version(event, now_ms)
            case messages.StoreHeadReceived():
                self._handle_offer(event.version, offers.STORE)
            case messages.StoreReadFailed():
                self._handle_read_failed(now_ms)
            case messages.WatchStarted():
                # The watch doesn't report changes from before it started;
                # only a read shows them.
                self._read_at_ms = now_ms
            case messages.WatchEnded():
                self._handle_watch_ended(now_ms)
            case messages.FetchDone():
                self._handle_fetched(event, actions, now_ms)
            case messages.FetchFailed():
                self._fetch_scheduler.handle_failed(event.fetch, now_ms)
            case messages.Tick():
                pass
        self._start_due_work(actions, now_ms)
        return actions

    def _apply_view(
        self,
        data_centre_by_host: Mapping[str, str],
        actions: list[messages.Action],
        now_ms: int,
    ) -> None:
        """Replaces the live peers; selects the store followers again."""
        data_centre_by_peer = {
            host_id: data_centre
            for host_id, data_centre in data_centre_by_host.items()
            if host_id != self._host_id
        }
        self._peers = sorted(data_centre_by_peer)
        self._local_peers = frozenset(
            host_id
            for host_id, data_centre in data_centre_by_peer.items()
            if data_centre == self._data_centre
        )
        self._local_peers_sorted = sorted(self._local_peers)
        live = {**data_centre_by_peer, self._host_id: self._data_centre}
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

    def _handle_peer_version(
        self, event: messages.PeerVersionReceived, now_ms: int
    ) -> None:
        """Records that a peer responds, and the version that it offers."""
        if event.host_id == self._host_id:
            return
        self._last_peer_message_ms = now_ms
        if self.version != data.NO_VERSION:
            self._poll_ms = self._settings.poll_min_ms
        self._handle_offer(event.version, event.host_id)

    def _handle_offer(self, version: data.Version, source: str) -> None:
        """Records a newer revision for fetching, and detects forks."""
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

    def _handle_read_failed(self, now_ms: int) -> None:
        """Brings the next read forward if this host is a store follower."""
        if self._is_store_follower:
            wait_ms = self._jittered(self._settings.watch_retry_max_ms)
            self._read_at_ms = min(self._read_at_ms, now_ms + wait_ms)

    def _handle_watch_ended(self, now_ms: int) -> None:
        """Schedules another watch, with exponential backoff and jitter."""
        self._is_watching = False
        lasted_ms = now_ms - self._watch_started_at_ms
        if lasted_ms >= self._settings.watch_retry_max_ms:
            self._watch_retry_ms = self._settings.watch_retry_min_ms
        self._watch_at_ms = now_ms + self._jittered(self._watch_retry_ms)
        self._watch_retry_ms = min(
            2 * self._watch_retry_ms, self._settings.watch_retry_max_ms
        )

    def _handle_fetched(
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
        notified = self._peers_to_notify()
        if notified:
            actions.append(messages.Notify(notified, version))

    def _peers_to_notify(self) -> tuple[str, ...]:
        """Returns random peers: several local ones and a remote one."""
        local = self._local_peers_sorted
        remote = [peer for peer in self._peers if peer not in self._local_peers]
        count = (
            STORE_FOLLOWER_FANOUT if self._is_store_follower else LOCAL_FANOUT
        )
        notified = self._rng.sample(local, min(count, len(local)))
        notified += self._rng.sample(remote, min(REMOTE_FANOUT, len(remote)))
        return tuple(notified)

    def _start_due_work(
        self, actions: list[messages.Action], now_ms: int
    ) -> None:
        """Appends the fetches, watch, store read and query that are due."""
        actions.extend(
            self._fetch_scheduler.start_due_fetches(
                self._local_peers, self.version, now_ms
            )
        )
        needs_watch = self._is_store_follower and not self._is_watching
        if needs_watch and now_ms >= self._watch_at_ms:
            self._is_watching = True
            self._watch_started_at_ms = now_ms
            actions.append(messages.StartWatch())
        if self._is_read_due(now_ms):
            actions.append(messages.ReadStoreHead())
            self._schedule_next_read(now_ms)
        if now_ms >= self._query_at_ms and self._peers:
            actions.append(messages.QueryPeer(self._peer_to_query()))
            wait_ms = self._settings.query_peer_ms
            self._query_at_ms = now_ms + self._jittered(wait_ms)

    def _peer_to_query(self) -> str:
        """Returns a random peer, mostly from the same data centre."""
        if self._local_peers and self._rng.random() < LOCAL_QUERY_SHARE:
            return self._rng.choice(self._local_peers_sorted)
        return self._rng.choice(self._peers)

    def _is_read_due(self, now_ms: int) -> bool:
        """Returns whether to read the head from the store now.

        A store follower and a host without a configuration read whenever
        the time for it has come, other hosts only if no peer has sent its
        version for `peer_timeout_ms`.
        """
        if now_ms < self._read_at_ms:
            return False
        if self._is_store_follower or self.version == data.NO_VERSION:
            return True
        return (
            now_ms - self._last_peer_message_ms
            >= self._settings.peer_timeout_ms
        )

    def _schedule_next_read(self, now_ms: int) -> None:
        """Sets the time of the next read; polls slower after each one."""
        if self._is_store_follower:
            wait_ms = self._settings.watch_check_ms
        else:
            wait_ms = self._poll_ms
            self._poll_ms = min(2 * wait_ms, self._settings.poll_max_ms)
        self._read_at_ms = now_ms + self._jittered(wait_ms)

    def _jittered(self, wait_ms: int) -> int:
        """Returns a random wait between half of the given one and all of it."""
        return wait_ms // 2 + self._rng.randrange(wait_ms // 2 + 1)
