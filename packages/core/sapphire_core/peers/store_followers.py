"""Which hosts follow the store, without a vote.

Each call to the store costs money, and the store's rate limits do not grow with
the fleet. Two hosts therefore follow the store and pass its changes on to the
others. Each host ranks all hosts by a hash of their names and follows the store
itself unless it knows two followers that rank before it. If the hosts' views
differ, there are more followers for a while, but never fewer than one in each
part of a partition.

A follower claims no more than it knows: when the store last answered it. From
the age of this answer other hosts conclude that the follower is cut off, while
its own call is still waiting. Heartbeats pass claims on. The time of the answer
by the follower's own clock names a claim, so a relay cannot renew it.
"""

from collections.abc import Iterable
import dataclasses

import xxhash

from sapphire_core.peers import data

# How many hosts follow the store. With two, the others get changes without
# delay while the store rejects one follower, or its connection has stalled.
TARGET_FOLLOWERS = 2
# After an answer, the next one arrives within about 1 s, and all hosts of a
# large fleet know of it within three more heartbeats, one each 250 ms.
FOLLOWER_TIMEOUT_MS = 1_800
# While there are too few followers, one more host, in the order of the ranking,
# takes over at each interval. A store that is down for all hosts is then not
# called by all of them.
TAKEOVER_INTERVAL_MS = 200
# Heartbeats name at most this many followers, those that rank first.
MAX_REPORTED_FOLLOWERS = 4
# For how long a claim that has timed out is known as such. Hosts of earlier
# versions may still pass it on, without the time of its answer.
CLAIM_RETENTION_MS = 60_000
_RANK_COUNT = 2**64


@dataclasses.dataclass(frozen=True, slots=True)
class _Claim:
    """The claim of a store follower, in the time of this host.

    Attributes:
        confirmed_ms: When the store answered the follower.
        answered_ms: The same by the follower's own clock; None if unknown.
    """

    confirmed_ms: int
    answered_ms: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class _Withdrawal:
    """A host has said itself that it does not follow the store.

    Attributes:
        received_ms: When it was heard.
        answered_ms: When the store last answered the host, by the host's own
            clock; None if unknown.
    """

    received_ms: int
    answered_ms: int | None

    def covers(self, claim: _Claim) -> bool:
        """Whether a claim was made before the withdrawal.

        Without the time of an answer, each claim may have been.
        """
        if claim.answered_ms is None or self.answered_ms is None:
            return True
        return claim.answered_ms <= self.answered_ms


class StoreFollowers:
    """The store followers that a host knows, and whether it must be one.

    Args:
        own_host: The name of this host.
    """

    def __init__(self, own_host: str) -> None:
        self._own_host = own_host
        # The newest claim of each host, also of those that have timed out.
        self._claims_by_host: dict[str, _Claim] = {}
        # Withdrawals younger than the timeout of the claims that they cover.
        self._withdrawals_by_host: dict[str, _Withdrawal] = {}
        # Since when too few followers rank before this host; None if enough do.
        self._too_few_since_ms: int | None = None

    def merge(self, heartbeat: data.Heartbeat, now_ms: int) -> None:
        """Merges the claims that a heartbeat carries.

        Args:
            heartbeat: The heartbeat; newer than any other of its sender.
            now_ms: The current time.
        """
        sender = heartbeat.contact.host
        if sender in heartbeat.followers:
            self._withdrawals_by_host.pop(sender, None)
        else:
            self._claims_by_host.pop(sender, None)
            self._withdrawals_by_host[sender] = _Withdrawal(
                now_ms, heartbeat.answered_ms
            )
        for host, told in heartbeat.followers.items():
            if host == self._own_host:
                continue
            claim = _Claim(now_ms - told.age_ms, told.answered_ms)
            if host == sender or not self._is_outdated(host, claim, now_ms):
                self._merge_claim(host, claim)

    def _is_outdated(self, host: str, claim: _Claim, now_ms: int) -> bool:
        """Whether a claim that a relay carries may have ended before."""
        withdrawal = self._withdrawals_by_host.get(host)
        if (
            withdrawal is not None
            and now_ms - withdrawal.received_ms <= FOLLOWER_TIMEOUT_MS
            and withdrawal.covers(claim)
        ):
            return True
        # A relay of an earlier version leaves out the time of the answer, so
        # the claim may be as old as the known one.
        known = self._claims_by_host.get(host)
        return (
            known is not None
            and known.answered_ms is not None
            and claim.answered_ms is None
        )

    def _merge_claim(self, host: str, claim: _Claim) -> None:
        """Merges one claim of a peer.

        Each datagram adds its time under way to the age of the answer, so of
        two copies of a claim the one that looks older is right.
        """
        known = self._claims_by_host.get(host)
        if known is None:
            self._claims_by_host[host] = claim
            return
        is_copy = claim.answered_ms == known.answered_ms is not None
        is_older = claim.confirmed_ms < known.confirmed_ms
        if is_copy == is_older:
            self._claims_by_host[host] = claim

    def evict_expired(self, now_ms: int) -> None:
        """Evicts claims and withdrawals that no longer matter.

        Args:
            now_ms: The current time.
        """
        for host, claim in list(self._claims_by_host.items()):
            if now_ms - claim.confirmed_ms > CLAIM_RETENTION_MS:
                del self._claims_by_host[host]
        for host, withdrawal in list(self._withdrawals_by_host.items()):
            if now_ms - withdrawal.received_ms > FOLLOWER_TIMEOUT_MS:
                del self._withdrawals_by_host[host]

    def claims(self, now_ms: int) -> dict[str, data.FollowerClaim]:
        """Returns the claims of the peers that follow the store, by host.

        Args:
            now_ms: The current time.
        """
        return {
            host: data.FollowerClaim(
                now_ms - claim.confirmed_ms, claim.answered_ms
            )
            for host, claim in self._claims_by_host.items()
            if now_ms - claim.confirmed_ms <= FOLLOWER_TIMEOUT_MS
        }

    def reported_claims(
        self, now_ms: int, own_claim: data.FollowerClaim | None
    ) -> dict[str, data.FollowerClaim]:
        """Returns the claims that the next heartbeat carries, by host.

        Those that rank first are enough: a host needs to know two before it.

        Args:
            now_ms: The current time.
            own_claim: The claim of this host; None if it does not follow the
                store.
        """
        claims = self.claims(now_ms)
        if own_claim is not None:
            claims[self._own_host] = own_claim
        first = sorted(claims, key=rank)[:MAX_REPORTED_FOLLOWERS]
        if own_claim is not None and self._own_host not in first:
            # Receivers take a sender that is not named for no follower.
            first.append(self._own_host)
        return {host: claims[host] for host in first}

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
        followers = self.claims(now_ms)
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
            if host not in self._claims_by_host and rank(host) < own_rank
        )
        # Hosts that rank before this one and do not follow the store yet get
        # time to take over first. Those whose claim has timed out do not: the
        # store has stopped answering them.
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
