"""How many hosts there are, from counts of each data centre.

In a large fleet a host hears the peers of its own data centre regularly, those
of others rarely. Each host counts the live hosts of its own data centre, and
heartbeats spread the newest count of each.
"""

from collections.abc import Mapping

from sapphire_core.peers import data

# A data centre that is cut off or dark for less than this still counts: its
# hosts may send to the same upstreams as soon as it is back.
REMOTE_COUNT_TTL_MS = 15_000


class HostCounts:
    """The newest known count of each data centre.

    Args:
        own_data_centre: The data centre of this host.
    """

    def __init__(self, own_data_centre: str) -> None:
        self._own_data_centre = own_data_centre
        # The number of live hosts and when it was counted.
        self._counts: dict[str, tuple[int, int]] = {}
        self._first_known_ms: dict[str, int] = {}

    def set_own(self, hosts: int, now_ms: int) -> None:
        """Sets the count of this host's data centre.

        Args:
            hosts: The live hosts, this one included.
            now_ms: The current time.
        """
        self._counts[self._own_data_centre] = (hosts, now_ms)

    def merge(self, counts: Mapping[str, data.LiveCount], now_ms: int) -> None:
        """Merges the counts that a peer knows; newer ones replace older ones.

        Args:
            counts: The counts by data centre.
            now_ms: The current time.
        """
        for data_centre, count in counts.items():
            if data_centre == self._own_data_centre:
                continue
            counted_ms = now_ms - count.age_ms
            known = self._counts.get(data_centre)
            if known is None or counted_ms > known[1]:
                self._counts[data_centre] = (count.hosts, counted_ms)

    def reported(self, now_ms: int) -> dict[str, data.LiveCount]:
        """Returns the counts that are recent enough to be passed on.

        Args:
            now_ms: The current time.
        """
        return {
            data_centre: data.LiveCount(hosts, now_ms - counted_ms)
            for data_centre, (hosts, counted_ms) in self._counts.items()
            if now_ms - counted_ms <= REMOTE_COUNT_TTL_MS
        }

    def total(
        self, known_hosts_by_data_centre: Mapping[str, int], now_ms: int
    ) -> int:
        """Returns how many hosts there may be in all data centres.

        Args:
            known_hosts_by_data_centre: How many hosts of each data centre are
                listed or heard. These count for a data centre without any
                recent count, until it has been silent for too long.
            now_ms: The current time.
        """
        total = sum(count.hosts for count in self.reported(now_ms).values())
        for data_centre, hosts in known_hosts_by_data_centre.items():
            first_known_ms = self._first_known_ms.setdefault(
                data_centre, now_ms
            )
            if data_centre in self._counts:
                continue
            if now_ms - first_known_ms <= REMOTE_COUNT_TTL_MS:
                total += hosts
        return total
