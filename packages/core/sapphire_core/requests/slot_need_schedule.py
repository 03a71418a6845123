"""When a host asks other hosts for a slot."""

import dataclasses

MIN_INTERVAL_MS = 400
MAX_INTERVAL_MS = 1_000


@dataclasses.dataclass(slots=True)
class SlotNeedSchedule:
    """The interval between `SlotNeed` messages; grows while no peer lends.

    Attributes:
        next_ms: The next message is not sent before this time.
        interval_ms: The time between the next message and the one after it.
        has_borrowed: Whether any host has ever lent a slot.
    """

    next_ms: int = 0
    interval_ms: int = MIN_INTERVAL_MS
    has_borrowed: bool = False

    def record_sent(self, now_ms: int) -> None:
        """Schedules the next message after one that is being sent."""
        self.next_ms = now_ms + self.interval_ms
        self.interval_ms = min(MAX_INTERVAL_MS, self.interval_ms * 3 // 2)

    def record_loan(self) -> None:
        """Resets the interval after a peer has lent a slot."""
        self.interval_ms = MIN_INTERVAL_MS
        self.has_borrowed = True
