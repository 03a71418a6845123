"""The hosts that this host knows, and who of them follows the store.

Each call to the store is priced and its rates do not grow with the fleet, so
two hosts follow it and tell the others. Who they are is agreed by no vote:
each host ranks all hosts by a hash of their names and follows the store itself
when it does not hear of two better ones that do. Views that differ make more
followers for a while, never fewer than one in each part of a partition.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import random

import xxhash

from sapphire_core.peers import data

# How many hosts follow the store. One may be turned away by the store, or
# have a connection that went silent, without delay for the others.
FOLLOWERS = 2
# Word of a follower reaches another data centre within 1 s, and all hosts of a
# large fleet within three more beats of 250 ms.
FOLLOWER_LIFE_MS = 1_800
# A host that left out four beats is not asked for anything; beats between data
# centres come once a second.
CONTACT_LIFE_MS = 1_000
FAR_CONTACT_LIFE_MS = 2_500
# A host that is restarted is silent for about 1 s, its start included; one that
# is silent for longer than this has gone.
AWAY_LIFE_MS = 4_000
# While too few hosts follow, one more of the ranking steps in at this pace,
# so that a store that is down for all is not called by all.
STEP_IN_MS = 200
# Beats go to all hosts up to this number, else to as many drawn each time.
MAX_RECEIVERS = 16
# Of these, to other data centres when there are too many hosts.
REMOTE_RECEIVERS = 4


@dataclasses.dataclass(slots=True)
class _Peer:
    """What is known of one host.

    Attributes:
        contact: How it is reached.
        heard_ms: When its last beat came; None if it is only listed.
        beat: Its last beat; None if it is only listed.
    """

    contact: data.Contact
    heard_ms: int | None = None
    beat: data.Heartbeat | None = None


class PeerTable:
    """The hosts that this host knows.

    Args:
        own: How this host is reached.
        rng: Draws the receivers of beats.
    """

    def __init__(self, own: data.Contact, rng: random.Random) -> None:
        self._own = own
        self._rng = rng
        self._peers_by_host: dict[str, _Peer] = {}
        self._follower_heard_ms: dict[str, int] = {}
        self._lacking_since_ms: int | None = None

    def set_host_list(self, contacts: Iterable[data.Contact]) -> None:
        """Takes the list of hosts from the store.

        Hosts that are not listed any more and were not heard are forgotten.

        Args:
            contacts: The hosts.
        """
        by_host = {contact.host: contact for contact in contacts}
        by_host.pop(self._own.host, None)
        for host, contact in by_host.items():
            peer = self._peers_by_host.get(host)
            if peer is None or peer.heard_ms is None:
                self._peers_by_host[host] = _Peer(contact)
        for host, peer in list(self._peers_by_host.items()):
            if host not in by_host and peer.heard_ms is None:
                del self._peers_by_host[host]

    def record_heartbeat(self, beat: data.Heartbeat, now_ms: int) -> bool:
        """Takes a beat.

        Args:
            beat: The beat.
            now_ms: The current time.

        Returns:
            Whether the host is new to this one, or has started anew.
        """
        host = beat.contact.host
        if host == self._own.host:
            return False
        peer = self._peers_by_host.get(host)
        former = peer.beat if peer is not None else None
        if (
            former is not None
            and former.start_id == beat.start_id
            and former.sequence >= beat.sequence
        ):
            return False
        self._peers_by_host[host] = _Peer(beat.contact, now_ms, beat)
        for follower, age_ms in beat.follower_ages_ms.items():
            heard_ms = now_ms - age_ms
            known_ms = self._follower_heard_ms.get(follower, heard_ms)
            self._follower_heard_ms[follower] = max(known_ms, heard_ms)
        if host not in beat.follower_ages_ms:
            # It says of itself that it no longer follows.
            self._follower_heard_ms.pop(host, None)
        return former is None or former.start_id != beat.start_id

    def evict_expired(self, now_ms: int, listed: frozenset[str]) -> None:
        """Forgets hosts that are neither heard nor listed any more.

        Args:
            now_ms: The current time.
            listed: The names of the hosts that the store lists.
        """
        for host, peer in list(self._peers_by_host.items()):
            if host not in listed and not self._is_live(peer, now_ms):
                del self._peers_by_host[host]
        for host, heard_ms in list(self._follower_heard_ms.items()):
            if now_ms - heard_ms > FOLLOWER_LIFE_MS:
                del self._follower_heard_ms[host]

    def host_count(self) -> int:
        """Returns how many hosts there may be, this one included."""
        return len(self._peers_by_host) + 1

    def live_heartbeats(self, now_ms: int) -> list[data.Heartbeat]:
        """Returns the last beats of the hosts heard recently.

        Args:
            now_ms: The current time.
        """
        return [
            peer.beat
            for peer in self._peers_by_host.values()
            if peer.beat is not None and self._is_live(peer, now_ms)
        ]

    def contact(self, host: str) -> data.Contact | None:
        """Returns how a host is reached, None if it is not known."""
        peer = self._peers_by_host.get(host)
        return peer.contact if peer is not None else None

    def follower_ages_ms(self, now_ms: int) -> dict[str, int]:
        """Returns the other hosts that follow the store, and the age of that.

        Args:
            now_ms: The current time.
        """
        return {
            host: now_ms - heard_ms
            for host, heard_ms in self._follower_heard_ms.items()
            if now_ms - heard_ms <= FOLLOWER_LIFE_MS and host != self._own.host
        }

    def must_follow(self, now_ms: int, *, is_leaving: bool) -> bool:
        """Whether this host is to follow the store itself.

        Args:
            now_ms: The current time.
            is_leaving: Whether it was told to stop.
        """
        others = self.follower_ages_ms(now_ms)
        if is_leaving:
            return False
        own_rank = _rank(self._own.host)
        better = sum(1 for host in others if _rank(host) < own_rank)
        if better >= FOLLOWERS:
            self._lacking_since_ms = None
            return False
        if self._lacking_since_ms is None:
            self._lacking_since_ms = now_ms
        ahead = sum(
            1
            for peer in self._peers_by_host.values()
            if peer.beat is not None
            and self._is_live(peer, now_ms)
            and not peer.beat.is_leaving
            and peer.contact.host not in others
            and _rank(peer.contact.host) < own_rank
        )
        # Hosts ahead in the ranking that do not follow get time to step in.
        wait_ms = max(0, better + ahead + 1 - FOLLOWERS) * STEP_IN_MS
        return now_ms - self._lacking_since_ms >= wait_ms

    def is_same_data_centre(self, contact: data.Contact) -> bool:
        """Whether a host stands in this host's data centre.

        Args:
            contact: How the host is reached.
        """
        return contact.data_centre == self._own.data_centre

    def is_near_host_away(self, now_ms: int) -> bool:
        """Whether another host of this data centre is likely to come back.

        Args:
            now_ms: The current time.

        Returns:
            Whether one is leaving, or was heard some seconds ago and not since.
        """
        for peer in self._peers_by_host.values():
            if peer.beat is None or peer.heard_ms is None:
                continue
            if not self.is_same_data_centre(peer.contact):
                continue
            if now_ms - peer.heard_ms > AWAY_LIFE_MS:
                continue
            if peer.beat.is_leaving or not self._is_live(peer, now_ms):
                return True
        return False

    def heartbeat_targets(self) -> list[data.Contact]:
        """Returns the hosts that get this host's next beat."""
        contacts = [peer.contact for peer in self._peers_by_host.values()]
        if len(contacts) <= MAX_RECEIVERS:
            return contacts
        near: list[data.Contact] = []
        far: list[data.Contact] = []
        for contact in contacts:
            (near if self.is_same_data_centre(contact) else far).append(contact)
        far = self._rng.sample(far, min(len(far), REMOTE_RECEIVERS))
        room = MAX_RECEIVERS - len(far)
        return self._rng.sample(near, min(len(near), room)) + far

    def _is_live(self, peer: _Peer, now_ms: int) -> bool:
        """Whether a host was heard recently.

        In a large fleet a host hears each other one in a part of its beats.
        """
        if peer.heard_ms is None:
            return False
        rounds = max(1.0, len(self._peers_by_host) / MAX_RECEIVERS)
        is_same_data_centre = self.is_same_data_centre(peer.contact)
        life_ms = (
            CONTACT_LIFE_MS if is_same_data_centre else FAR_CONTACT_LIFE_MS
        )
        return now_ms - peer.heard_ms <= life_ms * rounds


def aggregate_upstream_reports(
    beats: Iterable[data.Heartbeat], hosts: int
) -> tuple[Mapping[int, float], Mapping[int, int]]:
    """Returns what other hosts have seen of upstreams.

    Args:
        beats: Their last beats, one of each host that was heard.
        hosts: How many other hosts there are; what the unheard have in
            progress is estimated by the mean of the heard.

    Returns:
        The requests in progress by tag, and for how long the upstream is
        silent for some host by tag.
    """
    busy_by_tag: dict[int, float] = {}
    silent_ms_by_tag: dict[int, int] = {}
    heard = 0
    for beat in beats:
        heard += 1
        for report in beat.upstreams:
            busy = busy_by_tag.get(report.tag, 0.0)
            busy_by_tag[report.tag] = busy + report.busy
            silent_ms = silent_ms_by_tag.get(report.tag, 0)
            silent_ms_by_tag[report.tag] = max(silent_ms, report.silent_ms)
    if heard:
        scale = max(1.0, hosts / heard)
        for tag in busy_by_tag:
            busy_by_tag[tag] *= scale
    return busy_by_tag, silent_ms_by_tag


def _rank(host: str) -> int:
    """Returns the place of a host in the ranking; lower is better."""
    return xxhash.xxh64_intdigest(host.encode())
