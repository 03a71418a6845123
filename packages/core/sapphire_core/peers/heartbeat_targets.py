"""Selects the peers to which heartbeats are sent.

In a small fleet every host sends to all others. In a large one each host goes
through the peers of its data centre in turns, so that each of them hears it at
a fixed interval, and the hosts of a data centre together send to each other
data centre at a rate that does not grow with their number.
"""

import collections
from collections.abc import Sequence
from collections.abc import Set
import random

from sapphire_core.peers import data

# A heartbeat is sent to at most this number of peers of the same data centre;
# a fleet in which no host has more peers is small.
MAX_FANOUT = 16
# How many heartbeats all hosts of a data centre together send to each other
# data centre in one interval.
REMOTE_SENDS_PER_INTERVAL = 1


class HeartbeatTargets:
    """The turns in which peers get heartbeats.

    Args:
        rng: Shuffles the turns and draws remote peers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        # The near peers in the order of their turns, the next one first.
        self._turns: collections.deque[str] = collections.deque()

    def next_near(self, contacts: Sequence[data.Contact]) -> list[data.Contact]:
        """Returns the near peers whose turn it is.

        Args:
            contacts: All known peers of the same data centre.
        """
        if len(contacts) <= MAX_FANOUT:
            return list(contacts)
        by_host = {contact.host: contact for contact in contacts}
        self._update_turns(by_host.keys())
        selected: list[data.Contact] = []
        for _ in range(MAX_FANOUT):
            selected.append(by_host[self._turns[0]])
            self._turns.rotate(-1)
        return selected

    def _update_turns(self, hosts: Set[str]) -> None:
        """Removes peers that are gone, and gives new ones random turns."""
        known = set(self._turns)
        if known == hosts:
            return
        kept = [host for host in self._turns if host in hosts]
        for host in sorted(hosts - known):
            kept.insert(self._rng.randrange(len(kept) + 1), host)
        self._turns = collections.deque(kept)

    def draw_remote(
        self,
        contacts: Sequence[data.Contact],
        near_host_count: int,
        *,
        is_follower: bool,
    ) -> list[data.Contact]:
        """Draws the remote peers that get a heartbeat in this interval.

        Args:
            contacts: All known peers of other data centres.
            near_host_count: How many hosts this data centre has.
            is_follower: Whether this host follows the store; then it sends to
                each data centre in each interval.
        """
        by_data_centre: dict[str, list[data.Contact]] = {}
        for contact in contacts:
            by_data_centre.setdefault(contact.data_centre, []).append(contact)
        share = min(1.0, REMOTE_SENDS_PER_INTERVAL / max(near_host_count, 1))
        drawn: list[data.Contact] = []
        for group in by_data_centre.values():
            if is_follower or self._rng.random() < share:
                drawn.append(self._rng.choice(group))
        return drawn


def cycle_intervals(near_peer_count: int) -> int:
    """Returns after how many intervals each near peer got a heartbeat.

    Args:
        near_peer_count: The number of peers of the same data centre.
    """
    return max(1, -(-near_peer_count // MAX_FANOUT))
