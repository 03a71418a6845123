"""The peers that this host knows, and which hosts follow the store.

Each call to the store costs money, and the store's rate limits do not grow with
the fleet. Two hosts therefore follow the store and pass its changes on to the
others. They are chosen without a vote: each host ranks all hosts by a hash of
their names and follows the store itself unless it knows two followers that rank
before it. If the hosts' views differ, there are more followers for a while, but
never fewer than one in each part of a partition.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import random

import xxhash

from sapphire_core.peers import data
from sapphire_core.peers import pull_sources
from sapphire_core.replication import data as replication_data

# How many hosts follow the store. With two, the others get changes without
# delay while the store rejects one follower, or its connection has stalled.
TARGET_FOLLOWERS = 2
# Another data centre learns of a follower within 1 s, and all hosts of a large
# fleet learn of it within three more heartbeats, one each 250 ms.
FOLLOWER_TIMEOUT_MS = 1_800
# A host of the same data centre that missed four heartbeats is not live.
# Heartbeats to other data centres are sent once a second.
PEER_TIMEOUT_MS = 1_000
REMOTE_PEER_TIMEOUT_MS = 2_500
# A restarting host sends no heartbeats for about 1 s, its start included. One
# that has sent none for longer than this is not expected back.
RESTART_GRACE_MS = 4_000
# While there are too few followers, one more host, in the order of the ranking,
# takes over at each interval. A store that is down for all hosts is then not
# called by all of them.
TAKEOVER_INTERVAL_MS = 200
# A heartbeat is sent to all peers up to this number, else to a random sample of
# this size.
MAX_FANOUT = 16
# How many hosts of other data centres a sample has at most.
REMOTE_FANOUT = 4


@dataclasses.dataclass(slots=True)
class _Peer:
    """What is known of a peer.

    Attributes:
        contact: Where it is reached.
        last_heartbeat_ms: When its last heartbeat was received; None if it is
            known from the host list only.
        heartbeat: Its last heartbeat; None if it is known from the host list
            only.
    """

    contact: data.Contact
    last_heartbeat_ms: int | None = None
    heartbeat: data.Heartbeat | None = None


class PeerTable:
    """The peers of this host, from heartbeats and the store's host list.

    Args:
        own: Where this host is reached.
        rng: Draws the targets of heartbeats.
    """

    def __init__(self, own: data.Contact, rng: random.Random) -> None:
        self._own = own
        self._rng = rng
        self._peers_by_host: dict[str, _Peer] = {}
        # When each known store follower last confirmed that it is one.
        self._follower_confirmed_ms: dict[str, int] = {}
        # Since when too few followers rank before this host; None if enough do.
        self._too_few_since_ms: int | None = None

    def set_host_list(self, contacts: Iterable[data.Contact]) -> None:
        """Replaces the host list, as read from the store.

        Peers that are not listed any more and never sent a heartbeat are
        discarded.

        Args:
            contacts: The listed hosts; this one may be among them.
        """
        by_host = {contact.host: contact for contact in contacts}
        by_host.pop(self._own.host, None)
        for host, contact in by_host.items():
            peer = self._peers_by_host.get(host)
            if peer is None or peer.last_heartbeat_ms is None:
                self._peers_by_host[host] = _Peer(contact)
        for host, peer in list(self._peers_by_host.items()):
            if host not in by_host and peer.last_heartbeat_ms is None:
                del self._peers_by_host[host]

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
        peer = self._peers_by_host.get(host)
        previous = peer.heartbeat if peer is not None else None
        if (
            previous is not None
            and previous.start_id == heartbeat.start_id
            and previous.sequence >= heartbeat.sequence
        ):
            return False
        self._peers_by_host[host] = _Peer(heartbeat.contact, now_ms, heartbeat)
        for follower, age_ms in heartbeat.follower_ages_ms.items():
            confirmed_ms = now_ms - age_ms
            known_ms = self._follower_confirmed_ms.get(follower, confirmed_ms)
            self._follower_confirmed_ms[follower] = max(known_ms, confirmed_ms)
        if host not in heartbeat.follower_ages_ms:
            # The sender itself no longer follows the store.
            self._follower_confirmed_ms.pop(host, None)
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
        for host, confirmed_ms in list(self._follower_confirmed_ms.items()):
            if now_ms - confirmed_ms > FOLLOWER_TIMEOUT_MS:
                del self._follower_confirmed_ms[host]

    def host_count(self) -> int:
        """Returns how many hosts there may be, this one included."""
        return len(self._peers_by_host) + 1

    def live_heartbeats(self, now_ms: int) -> list[data.Heartbeat]:
        """Returns the last heartbeat of each live peer.

        Args:
            now_ms: The current time.
        """
        return [
            peer.heartbeat
            for peer in self._peers_by_host.values()
            if peer.heartbeat is not None and self._is_live(peer, now_ms)
        ]

    def sources_ahead(
        self, scope: replication_data.Scope, revision: int, now_ms: int
    ) -> list[pull_sources.Source]:
        """Returns the live peers that have newer changes of a scope.

        Args:
            scope: The scope.
            revision: The revision of the newest change that this host has.
            now_ms: The current time.
        """
        return [
            pull_sources.Source(
                heartbeat.contact, self.is_same_data_centre(heartbeat.contact)
            )
            for heartbeat in self.live_heartbeats(now_ms)
            if heartbeat.revisions.get(scope, 0) > revision
        ]

    def contact(self, host: str) -> data.Contact | None:
        """Returns where a peer is reached, None if it is not known."""
        peer = self._peers_by_host.get(host)
        return peer.contact if peer is not None else None

    def follower_ages_ms(self, now_ms: int) -> dict[str, int]:
        """Returns which peers follow the store, by name.

        Args:
            now_ms: The current time.

        Returns:
            How long ago each of them confirmed that it follows the store.
        """
        return {
            host: now_ms - confirmed_ms
            for host, confirmed_ms in self._follower_confirmed_ms.items()
            if now_ms - confirmed_ms <= FOLLOWER_TIMEOUT_MS
            and host != self._own.host
        }

    def must_follow(self, now_ms: int, *, is_leaving: bool) -> bool:
        """Whether this host must follow the store itself.

        Args:
            now_ms: The current time.
            is_leaving: Whether this host is leaving.
        """
        followers = self.follower_ages_ms(now_ms)
        if is_leaving:
            return False
        own_rank = _rank(self._own.host)
        followers_before = sum(
            1 for host in followers if _rank(host) < own_rank
        )
        if followers_before >= TARGET_FOLLOWERS:
            self._too_few_since_ms = None
            return False
        if self._too_few_since_ms is None:
            self._too_few_since_ms = now_ms
        candidates_before = sum(
            1
            for peer in self._peers_by_host.values()
            if peer.heartbeat is not None
            and self._is_live(peer, now_ms)
            and not peer.heartbeat.is_leaving
            and peer.contact.host not in followers
            and _rank(peer.contact.host) < own_rank
        )
        # Hosts that rank before this one and do not follow the store yet get
        # time to take over first.
        wait_ms = (
            max(0, followers_before + candidates_before + 1 - TARGET_FOLLOWERS)
            * TAKEOVER_INTERVAL_MS
        )
        return now_ms - self._too_few_since_ms >= wait_ms

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

    def heartbeat_targets(self) -> list[data.Contact]:
        """Returns the peers to which the next heartbeat is sent."""
        contacts = [peer.contact for peer in self._peers_by_host.values()]
        if len(contacts) <= MAX_FANOUT:
            return contacts
        local: list[data.Contact] = []
        remote: list[data.Contact] = []
        for contact in contacts:
            (local if self.is_same_data_centre(contact) else remote).append(
                contact
            )
        remote = self._rng.sample(remote, min(len(remote), REMOTE_FANOUT))
        local_fanout = MAX_FANOUT - len(remote)
        return self._rng.sample(local, min(len(local), local_fanout)) + remote

    def _is_live(self, peer: _Peer, now_ms: int) -> bool:
        """Whether a heartbeat of a peer was received within its timeout.

        In a large fleet each heartbeat is sent to a sample of the hosts, so
        that the timeout grows with the number of hosts.
        """
        if peer.last_heartbeat_ms is None:
            return False
        rounds = max(1.0, len(self._peers_by_host) / MAX_FANOUT)
        is_local = self.is_same_data_centre(peer.contact)
        timeout_ms = PEER_TIMEOUT_MS if is_local else REMOTE_PEER_TIMEOUT_MS
        return now_ms - peer.last_heartbeat_ms <= timeout_ms * rounds


def aggregate_upstream_reports(
    heartbeats: Iterable[data.Heartbeat], peer_count: int
) -> tuple[Mapping[int, float], Mapping[int, int]]:
    """Returns what all peers together have observed of upstreams.

    Args:
        heartbeats: The last heartbeat of each live peer.
        peer_count: The number of all peers. For those without a heartbeat, the
            mean of the others' in-flight requests is assumed.

    Returns:
        The in-flight requests of the peers, and the longest time for which a
        peer still avoids the upstream; both by the tag of the upstream.
    """
    in_flight_by_tag: dict[int, float] = {}
    avoid_ms_by_tag: dict[int, int] = {}
    reporting_peers = 0
    for heartbeat in heartbeats:
        reporting_peers += 1
        for report in heartbeat.upstreams:
            in_flight = in_flight_by_tag.get(report.tag, 0.0)
            in_flight_by_tag[report.tag] = in_flight + report.busy
            avoid_ms = avoid_ms_by_tag.get(report.tag, 0)
            avoid_ms_by_tag[report.tag] = max(avoid_ms, report.silent_ms)
    if reporting_peers:
        scale = max(1.0, peer_count / reporting_peers)
        for tag in in_flight_by_tag:
            in_flight_by_tag[tag] *= scale
    return in_flight_by_tag, avoid_ms_by_tag


def _rank(host: str) -> int:
    """Returns the rank of a host by its name; the lowest ranks first."""
    return xxhash.xxh64_intdigest(host.encode())
