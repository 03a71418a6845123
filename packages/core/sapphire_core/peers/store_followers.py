"""Which hosts follow the store, without a vote.

Each call to the store costs money, and the store's rate limits do not grow with
the fleet. Two hosts therefore follow the store and pass its changes on to the
others. Each host ranks all hosts by a hash of their names and follows the store
itself unless it knows two followers that rank before it. If the hosts' views
differ, there are more followers for a while, but never fewer than one in each
part of a partition.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import xxhash

# How many hosts follow the store. With two, the others get changes without
# delay while the store rejects one follower, or its connection has stalled.
TARGET_FOLLOWERS = 2
# Another data centre learns of a follower within 1 s, and all hosts of a large
# fleet learn of it within three more heartbeats, one each 250 ms.
FOLLOWER_TIMEOUT_MS = 1_800
# While there are too few followers, one more host, in the order of the ranking,
# takes over at each interval. A store that is down for all hosts is then not
# called by all of them.
TAKEOVER_INTERVAL_MS = 200
# Heartbeats name at most this many followers, those that rank first.
MAX_REPORTED_FOLLOWERS = 4
_RANK_COUNT = 2**64


class StoreFollowers:
    """The store followers that a host knows, and whether it must be one.

    Args:
        own_host: The name of this host.
    """

    def __init__(self, own_host: str) -> None:
        self._own_host = own_host
        # When each known store follower last confirmed that it is one.
        self._confirmed_ms_by_host: dict[str, int] = {}
        # Since when too few followers rank before this host; None if enough do.
        self._too_few_since_ms: int | None = None

    def merge(
        self, sender: str, ages_ms: Mapping[str, int], now_ms: int
    ) -> None:
        """Merges the followers that a heartbeat names.

        Args:
            sender: The sender, which names itself if it follows the store.
            ages_ms: How long ago each follower confirmed that it is one.
            now_ms: The current time.
        """
        for host, age_ms in ages_ms.items():
            confirmed_ms = now_ms - age_ms
            known_ms = self._confirmed_ms_by_host.get(host, confirmed_ms)
            self._confirmed_ms_by_host[host] = max(known_ms, confirmed_ms)
        if sender not in ages_ms:
            self._confirmed_ms_by_host.pop(sender, None)

    def evict_expired(self, now_ms: int) -> None:
        """Evicts followers that have not confirmed it for too long.

        Args:
            now_ms: The current time.
        """
        for host, confirmed_ms in list(self._confirmed_ms_by_host.items()):
            if now_ms - confirmed_ms > FOLLOWER_TIMEOUT_MS:
                del self._confirmed_ms_by_host[host]

    def ages_ms(self, now_ms: int) -> dict[str, int]:
        """Returns which peers follow the store, by name.

        Args:
            now_ms: The current time.

        Returns:
            How long ago each of them confirmed that it follows the store.
        """
        return {
            host: now_ms - confirmed_ms
            for host, confirmed_ms in self._confirmed_ms_by_host.items()
            if now_ms - confirmed_ms <= FOLLOWER_TIMEOUT_MS
            and host != self._own_host
        }

    def reported_ages_ms(
        self, now_ms: int, *, is_following: bool
    ) -> dict[str, int]:
        """Returns the followers that the next heartbeat names.

        Those that rank first are enough: a host needs to know two before it.

        Args:
            now_ms: The current time.
            is_following: Whether this host follows the store.
        """
        ages_ms = self.ages_ms(now_ms)
        if is_following:
            ages_ms[self._own_host] = 0
        first = sorted(ages_ms, key=rank)[:MAX_REPORTED_FOLLOWERS]
        if is_following and self._own_host not in first:
            # Receivers take a sender that is not named for no follower.
            first.append(self._own_host)
        return {host: ages_ms[host] for host in first}

    @property
    def rank_fraction(self) -> float:
        """The rank of this host as a number from 0, the first, to 1."""
        return rank(self._own_host) / _RANK_COUNT

    def must_follow(self, candidates: Iterable[str], now_ms: int) -> bool:
        """Whether this host must follow the store itself.

        Args:
            candidates: The peers that may take over.
            now_ms: The current time.
        """
        followers = self.ages_ms(now_ms)
        own_rank = rank(self._own_host)
        followers_before = sum(1 for host in followers if rank(host) < own_rank)
        if followers_before >= TARGET_FOLLOWERS:
            self._too_few_since_ms = None
            return False
        if self._too_few_since_ms is None:
            self._too_few_since_ms = now_ms
        candidates_before = sum(
            1
            for host in candidates
            if host not in followers and rank(host) < own_rank
        )
        # Hosts that rank before this one and do not follow the store yet get
        # time to take over first.
        wait_ms = (
            max(0, followers_before + candidates_before + 1 - TARGET_FOLLOWERS)
            * TAKEOVER_INTERVAL_MS
        )
        return now_ms - self._too_few_since_ms >= wait_ms


def rank(host: str) -> int:
    """Returns the rank of a host by its name; the lowest ranks first.

    Args:
        host: The name.
    """
    return xxhash.xxh64_intdigest(host.encode())
