"""Deadlines after which suspected hosts are declared dead."""

from sapphire_core.membership import data
from sapphire_data import records


class Suspicions:
    """The deadline of each suspected host of the own data centre.

    Every host that receives a suspicion runs a deadline of its own, so the
    suspicion is not lost if the host that raised it crashes.
    """

    def __init__(self, suspicion_ms: int) -> None:
        self._suspicion_ms = suspicion_ms
        self._deadline_ms_by_id: dict[str, int] = {}

    def update(self, entry: data.MemberEntry, now_ms: int) -> None:
        """Starts or removes the deadline of a host whose entry has changed.

        Args:
            entry: The new entry of the host.
            now_ms: The time in milliseconds.
        """
        host_id = entry.host.host_id
        if entry.state is not records.MemberState.SUSPECT:
            self._deadline_ms_by_id.pop(host_id, None)
            return
        self._deadline_ms_by_id[host_id] = now_ms + self._suspicion_ms

    def expired(self, now_ms: int) -> list[str]:
        """Returns the hosts whose deadline has passed.

        Args:
            now_ms: The time in milliseconds.
        """
        return [
            host_id
            for host_id, deadline_ms in self._deadline_ms_by_id.items()
            if deadline_ms <= now_ms
        ]

    def extend(self, host_id: str, delay_ms: int) -> None:
        """Extends the deadline of a host, if it is suspected.

        Args:
            host_id: The host.
            delay_ms: The additional time in milliseconds.
        """
        if host_id in self._deadline_ms_by_id:
            self._deadline_ms_by_id[host_id] += delay_ms

    def extend_all(self, delay_ms: int) -> None:
        """Extends all deadlines, after a stall of this process.

        Args:
            delay_ms: The additional time in milliseconds.
        """
        for host_id in self._deadline_ms_by_id:
            self._deadline_ms_by_id[host_id] += delay_ms
