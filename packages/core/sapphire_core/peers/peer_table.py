"""The peers that this host knows, from heartbeats and the host list."""

from collections.abc import Iterable
import dataclasses
import random

from sapphire_core.peers import data
from sapphire_core.peers import heartbeat_targets
from sapphire_core.peers import host_counts
from sapphire_core.peers import pull_sources
from sapphire_core.peers import store_followers
from sapphire_core.peers import upstream_reports
from sapphire_core.replication import data as replication_data

HEARTBEAT_INTERVAL_MS = 250
# A host of the same data centre that missed four heartbeats, or three of its
# turns in a large fleet, is not live. Heartbeats to other data centres are
# sent once a second.
PEER_TIMEOUT_MS = 1_000
MISSED_TURNS = 3
# The least number of turns, where three take longer than the contact time.
MIN_MISSED_TURNS = 2
REMOTE_PEER_TIMEOUT_MS = 2_500
# A restarting host sends no heartbeats for about 1 s, its start included. One
# that has sent none for longer than this is not expected back.
RESTART_GRACE_MS = 4_000


@dataclasses.dataclass(slots=True)
class _Peer:
    """What is known of a peer.

    Attributes:
        contact: Where it is reached.
        first_known_ms: When it was first listed or heard.
        last_heartbeat_ms: When its last heartbeat was received; None if it is
            known from the host list only.
        heartbeat: Its last heartbeat; None if it is known from the host list
            only.
    """

    contact: data.Contact
    first_known_ms: int
    last_heartbeat_ms: int | None = None
    heartbeat: data.Heartbeat | None = None


class PeerTable:
    """The peers of this host.

    Attributes:
        followers: The store followers among all hosts.

    Args:
        own: Where this host is reached.
        rng: Draws the targets of heartbeats.
        contact_ms: A host that has been silent for longer is not counted.
    """

    def __init__(
        self, own: data.Contact, rng: random.Random, contact_ms: int
    ) -> None:
        self._own = own
        self._contact_ms = contact_ms
        self._targets = heartbeat_targets.HeartbeatTargets(rng)
        self._counts = host_counts.HostCounts(own.data_centre)
        self.followers = store_followers.StoreFollowers(own.host)
        self._peers_by_host: dict[str, _Peer] = {}
        self._has_heard_remote = False
        self._near_timeout_ms = PEER_TIMEOUT_MS
        # For how long a silent near peer is counted.
        self._count_timeout_ms = contact_ms

    def set_host_list(
        self, contacts: Iterable[data.Contact], now_ms: int
    ) -> None:
        """Replaces the host list, as read from the store.

        Peers that are not listed any more and never sent a heartbeat are
        discarded.

        Args:
            contacts: The listed hosts; this one may be among them.
            now_ms: The current time.
        """
        by_host = {contact.host: contact for contact in contacts}
        by_host.pop(self._own.host, None)
        for host, contact in by_host.items():
            peer = self._peers_by_host.get(host)
            if peer is None:
                self._peers_by_host[host] = _Peer(contact, now_ms)
            elif peer.last_heartbeat_ms is None:
                peer.contact = contact
        for host, peer in list(self._peers_by_host.items()):
            if host not in by_host and peer.last_heartbeat_ms is None:
                del self._peers_by_host[host]
        self._update_near_timeout()

    def record_heartbeat(self, heartbeat: data.Heartbeat, now_ms: int) -> bool:
        """Records a heartbeat, unless a newer one of its sender is known.

        Args:
            heartbeat: The heartbeat.
            now_ms: The current time.

        Returns:
            Whether the sender is a new peer, or was restarted.
        """
        host = heartbeat.contact.host
        if host == self._own.host:
            return False
        if not self.is_same_data_centre(heartbeat.contact):
            self._has_heard_remote = True
        peer = self._peers_by_host.get(host)
        previous = peer.heartbeat if peer is not None else None
        if (
            previous is not None
            and previous.start_id == heartbeat.start_id
            and previous.sequence >= heartbeat.sequence
        ):
            return False
        first_known_ms = peer.first_known_ms if peer is not None else now_ms
        self._peers_by_host[host] = _Peer(
            heartbeat.contact, first_known_ms, now_ms, heartbeat
        )
        if peer is None:
            self._update_near_timeout()
        self._counts.merge(heartbeat.live_counts, now_ms)
        self.followers.merge(heartbeat, now_ms)
        return previous is None or previous.start_id != heartbeat.start_id

    def evict_expired(self, now_ms: int, listed: frozenset[str]) -> None:
        """Evicts peers that are neither live nor listed, and old followers.

        Args:
            now_ms: The current time.
            listed: The names of the hosts in the store's host list.
        """
        for host, peer in list(self._peers_by_host.items()):
            if host not in listed and not self._is_live(peer, now_ms):
                del self._peers_by_host[host]
        self._update_near_timeout()
        self.followers.evict_expired(now_ms)

    def host_count(self, now_ms: int) -> int:
        """Returns how many hosts there may be, this one included.

        Args:
            now_ms: The current time.
        """
        self._counts.set_own(self.near_host_count(now_ms), now_ms)
        remote_by_data_centre: dict[str, int] = {}
        for peer in self._peers_by_host.values():
            data_centre = peer.contact.data_centre
            if data_centre == self._own.data_centre:
                continue
            known = remote_by_data_centre.get(data_centre, 0)
            remote_by_data_centre[data_centre] = known + 1
        return self._counts.total(remote_by_data_centre, now_ms)

    def near_host_count(self, now_ms: int) -> int:
        """Returns how many hosts this data centre may have, this one included.

        A host counts until it has been silent for the contact time, or for two
        of its turns if they take longer, also if it is known from the host list
        only.

        Args:
            now_ms: The current time.
        """
        count = 1
        for peer in self._peers_by_host.values():
            if not self.is_same_data_centre(peer.contact):
                continue
            last_known_ms = peer.last_heartbeat_ms
            if last_known_ms is None:
                last_known_ms = peer.first_known_ms
            count += now_ms - last_known_ms <= self._count_timeout_ms
        return count

    def live_counts(self, now_ms: int) -> dict[str, data.LiveCount]:
        """Returns how many hosts of each data centre are live.

        Args:
            now_ms: The current time.
        """
        self._counts.set_own(self.near_host_count(now_ms), now_ms)
        return self._counts.reported(now_ms)

    @property
    def is_large_fleet(self) -> bool:
        """Whether heartbeats are not sent to all peers."""
        return len(self._peers_by_host) > heartbeat_targets.MAX_FANOUT

    def has_live_peer(self, now_ms: int) -> bool:
        """Whether any peer is live.

        Args:
            now_ms: The current time.
        """
        for peer in self._peers_by_host.values():
            if self._is_live(peer, now_ms):
                return True
        return False

    def remote_silence_ms(self, now_ms: int) -> int | None:
        """Returns how long no host of another data centre has been heard.

        A host that has just started counts from when it first knew of one.

        Args:
            now_ms: The current time.

        Returns:
            The time; None if no such host is known.
        """
        heard_ms = [
            peer.first_known_ms
            if peer.last_heartbeat_ms is None
            else peer.last_heartbeat_ms
            for peer in self._peers_by_host.values()
            if not self.is_same_data_centre(peer.contact)
        ]
        return now_ms - max(heard_ms) if heard_ms else None

    def starts_cut_off(self, now_ms: int) -> bool:
        """Whether this host has started where its peers can reach no upstream.

        Args:
            now_ms: The current time.

        Returns:
            Whether a live near peer says so and no host of another data centre
            has been heard since the start.
        """
        if self._has_heard_remote:
            return False
        return any(
            received.is_near and received.heartbeat.is_cut_off
            for received in self.live_heartbeats(now_ms)
        )

    def live_heartbeats(
        self, now_ms: int
    ) -> list[upstream_reports.ReceivedHeartbeat]:
        """Returns the last heartbeat of each live peer.

        Args:
            now_ms: The current time.
        """
        received: list[upstream_reports.ReceivedHeartbeat] = []
        for peer in self._peers_by_host.values():
            if peer.heartbeat is None or peer.last_heartbeat_ms is None:
                continue
            if not self._is_live(peer, now_ms):
                continue
            received.append(
                upstream_reports.ReceivedHeartbeat(
                    peer.heartbeat,
                    now_ms - peer.last_heartbeat_ms,
                    self.is_same_data_centre(peer.contact),
                )
            )
        return received

    def sources_ahead(
        self,
        scope: replication_data.Scope,
        position: replication_data.Position,
        max_era: int,
        now_ms: int,
    ) -> list[pull_sources.Source]:
        """Returns the live peers that have newer changes of a scope.

        Args:
            scope: The scope.
            position: The position of the newest change that this host has.
            max_era: The newest era of which this host takes changes.
            now_ms: The current time.
        """
        sources: list[pull_sources.Source] = []
        for received in self.live_heartbeats(now_ms):
            heartbeat = received.heartbeat
            newest = heartbeat.position(scope)
            if newest is None or not position < newest:
                continue
            if newest.era > max_era:
                continue
            sources.append(
                pull_sources.Source(
                    heartbeat.contact,
                    received.is_near,
                    newest.revision,
                    newest.era,
                )
            )
        return sources

    def contact(self, host: str) -> data.Contact | None:
        """Returns where a peer is reached, None if it is not known."""
        peer = self._peers_by_host.get(host)
        return peer.contact if peer is not None else None

    def must_follow(self, now_ms: int, *, is_leaving: bool) -> bool:
        """Whether this host must follow the store itself.

        Args:
            now_ms: The current time.
            is_leaving: Whether this host is leaving.
        """
        if is_leaving:
            return False
        candidates = [
            host
            for host, peer in self._peers_by_host.items()
            if self._may_take_over(peer, now_ms)
        ]
        return self.followers.must_follow(candidates, now_ms)

    def is_same_data_centre(self, contact: data.Contact) -> bool:
        """Whether a host is in the same data centre as this one.

        Args:
            contact: Where the host is reached.
        """
        return contact.data_centre == self._own.data_centre

    def is_near_host_away(self, now_ms: int) -> bool:
        """Whether a peer of the same data centre is away, probably restarting.

        Args:
            now_ms: The current time.

        Returns:
            Whether a peer is leaving, or has timed out but sent a heartbeat
            within the last `RESTART_GRACE_MS`.
        """
        for peer in self._peers_by_host.values():
            if peer.heartbeat is None or peer.last_heartbeat_ms is None:
                continue
            if not self.is_same_data_centre(peer.contact):
                continue
            if now_ms - peer.last_heartbeat_ms > RESTART_GRACE_MS:
                continue
            if peer.heartbeat.is_leaving or not self._is_live(peer, now_ms):
                return True
        return False

    def near_targets(self) -> list[data.Contact]:
        """Returns the near peers to which the next heartbeat is sent."""
        return self._targets.next_near(self._contacts(is_near=True))

    def remote_targets(
        self, now_ms: int, *, is_follower: bool
    ) -> list[data.Contact]:
        """Returns the remote peers to which the next heartbeat is sent.

        All of them in a small fleet.

        Args:
            now_ms: The current time.
            is_follower: Whether this host follows the store.
        """
        contacts = self._contacts(is_near=False)
        if not self.is_large_fleet:
            return contacts
        return self._targets.draw_remote(
            contacts, self.near_host_count(now_ms), is_follower=is_follower
        )

    def _contacts(self, *, is_near: bool) -> list[data.Contact]:
        """Returns where the near or the remote peers are reached."""
        return [
            peer.contact
            for peer in self._peers_by_host.values()
            if self.is_same_data_centre(peer.contact) == is_near
        ]

    def _may_take_over(self, peer: _Peer, now_ms: int) -> bool:
        """Whether a peer may become a store follower soon.

        A peer that was listed only just now may be live, though it has not
        been heard yet.
        """
        if peer.heartbeat is None:
            return (
                now_ms - peer.first_known_ms
                <= store_followers.FOLLOWER_TIMEOUT_MS
            )
        return self._is_live(peer, now_ms) and not peer.heartbeat.is_leaving

    def _is_live(self, peer: _Peer, now_ms: int) -> bool:
        """Whether a heartbeat of a peer was received within its timeout.

        In a large fleet each near peer hears this host at its turn, so that
        the timeout covers several turns, up to the contact time.
        """
        if peer.last_heartbeat_ms is None:
            return False
        timeout_ms = REMOTE_PEER_TIMEOUT_MS
        if self.is_same_data_centre(peer.contact):
            timeout_ms = self._near_timeout_ms
        return now_ms - peer.last_heartbeat_ms <= timeout_ms

    def _update_near_timeout(self) -> None:
        """Sets after which silence a near peer is not live."""
        near_peer_count = len(self._contacts(is_near=True))
        cycle_ms = (
            heartbeat_targets.cycle_intervals(near_peer_count)
            * HEARTBEAT_INTERVAL_MS
        )
        timeout_ms = min(MISSED_TURNS * cycle_ms, self._contact_ms)
        least_ms = MIN_MISSED_TURNS * cycle_ms
        self._near_timeout_ms = max(PEER_TIMEOUT_MS, timeout_ms, least_ms)
        self._count_timeout_ms = max(self._contact_ms, least_ms)
