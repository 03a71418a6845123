"""The suspected hosts of the own data centre and when they count as dead."""

from sapphire_core.membership import data
from sapphire_data import records


class Suspicions:
    """A deadline for each suspected host.

    Every host of the data centre that hears of a suspicion runs the deadline,
    so that the death of the first suspecting host does not lose it.
    """

    def __init__(self, suspicion_ms: int) -> None:
        self._suspicion_ms = suspicion_ms
        self._deadline_ms_by_id: dict[str, int] = {}

    def on_change(self, entry: data.MemberEntry, now_ms: int) -> None:
        """Follows a change of the entry of a host.

        Args:
            entry: The new entry.
            now_ms: The time in milliseconds.
        """
        host_id = entry.host.host_id
        if entry.state is not records.MemberState.SUSPECT:
            self._deadline_ms_by_id.pop(host_id, None)
            return
        self._deadline_ms_by_id[host_id] = now_ms + self._suspicion_ms

    def due(self, now_ms: int) -> list[str]:
        """Returns the hosts whose deadline is over.

        Args:
            now_ms: The time in milliseconds.
        """
        return [
            host_id
            for host_id, deadline_ms in self._deadline_ms_by_id.items()
            if deadline_ms <= now_ms
        ]

    def extend(self, host_id: str, delay_ms: int) -> None:
        """Gives a host more time.

        Args:
            host_id: A suspected host.
            delay_ms: The additional time in milliseconds.
        """
        if host_id in self._deadline_ms_by_id:
            self._deadline_ms_by_id[host_id] += delay_ms

    def extend_all(self, delay_ms: int) -> None:
        """Gives all hosts more time, after a pause of this host.

        Args:
            delay_ms: The additional time in milliseconds.
        """
        for host_id in self._deadline_ms_by_id:
            self._deadline_ms_by_id[host_id] += delay_ms
