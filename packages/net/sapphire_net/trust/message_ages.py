"""Estimates how long a datagram was on its way, or waited in a socket.

Clocks of hosts differ. The fastest datagram of a sender shows by how much, and
another one is older by the time that it took longer.
"""

import dataclasses

# Baselines of the last one to two epochs count, so that a clock that was set
# is followed after two minutes, and senders that have left are forgotten.
EPOCH_MS = 60_000


@dataclasses.dataclass(slots=True)
class MessageAges:
    """Estimates the ages of the datagrams that one host receives."""

    _epoch_start_ms: int = 0
    _offset_ms_by_sender: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    _last_offset_ms_by_sender: dict[str, int] = dataclasses.field(
        default_factory=dict
    )

    def age_ms(self, sender: str, sent_ms: int, wall_ms: int) -> int:
        """Returns by how much a datagram took longer than the fastest one.

        Args:
            sender: The identity of the host process that sent it.
            sent_ms: When it was sent, by the wall clock of the sender.
            wall_ms: The current time, by the wall clock of this host.

        Returns:
            The age in milliseconds; 0 for the first datagram of a sender.
        """
        offset_ms = wall_ms - sent_ms
        if abs(wall_ms - self._epoch_start_ms) >= EPOCH_MS:
            self._epoch_start_ms = wall_ms
            self._last_offset_ms_by_sender = self._offset_ms_by_sender
            self._offset_ms_by_sender = {}
        least_ms = min(
            offset_ms,
            self._offset_ms_by_sender.get(sender, offset_ms),
            self._last_offset_ms_by_sender.get(sender, offset_ms),
        )
        self._offset_ms_by_sender[sender] = min(
            offset_ms, self._offset_ms_by_sender.get(sender, offset_ms)
        )
        return offset_ms - least_ms
