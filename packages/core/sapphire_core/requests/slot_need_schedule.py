"""How often a host asks others for a slot."""

import dataclasses

MIN_INTERVAL_MS = 400
MAX_INTERVAL_MS = 1_000


@dataclasses.dataclass(slots=True)
class SlotNeedSchedule:
    """The pace of asking; it slows down while nobody lends.

    Attributes:
        next_ms: The other hosts are not asked before this time.
        interval_ms: The time between two times of asking.
        has_borrowed: Whether any host has ever lent a slot.
    """

    next_ms: int = 0
    interval_ms: int = MIN_INTERVAL_MS
    has_borrowed: bool = False

    def record_sent(self, now_ms: int) -> None:
        """Takes in that the other hosts are asked."""
        self.next_ms = now_ms + self.interval_ms
        self.interval_ms = min(MAX_INTERVAL_MS, self.interval_ms * 3 // 2)

    def record_loan(self) -> None:
        """Takes in that one has lent a slot."""
        self.interval_ms = MIN_INTERVAL_MS
        self.has_borrowed = True
