"""When a host sends a heartbeat at once, in place of at its interval.

A change, or an upstream that has just become unresponsive, is told at once.
Such news come in bursts, and each host passes them on: without a bound, a burst
makes many heartbeats of each host that say nearly the same.
"""

import dataclasses

# After a heartbeat that was sent at once, what is to be sent at once is
# collected for this time. The platform allows 3 s for a change, of which this
# is spent at each host that passes it on.
NOTICE_INTERVAL_MS = 100


@dataclasses.dataclass(slots=True)
class NoticeSchedule:
    """The heartbeat that is due at once, if any.

    Attributes:
        is_due: Whether one is due.
        is_for_remote: Whether it concerns other data centres too.
        last_ms: When the last one was sent; None before the first.
    """

    is_due: bool = False
    is_for_remote: bool = False
    last_ms: int | None = None

    def request(self, now_ms: int, *, is_for_remote: bool) -> bool:
        """Requests a heartbeat.

        Args:
            now_ms: The current time.
            is_for_remote: Whether it concerns other data centres too.

        Returns:
            Whether it is to be sent now; otherwise after the interval.
        """
        self.is_due = True
        self.is_for_remote |= is_for_remote
        return (
            self.last_ms is None or now_ms - self.last_ms >= NOTICE_INTERVAL_MS
        )

    def record_sent(self, now_ms: int) -> None:
        """Records that the heartbeat was sent.

        Args:
            now_ms: The current time.
        """
        self.is_due = False
        self.is_for_remote = False
        self.last_ms = now_ms
