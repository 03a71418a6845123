"""The rate limit of opportunistic attempts.

An opportunistic attempt uses a slot that is assigned to another host and was
not lent; the upstream sheds it if all its slots are in use.
"""

import dataclasses

from sapphire_core.requests import backoff

MIN_INTERVAL_MS = 50
MAX_INTERVAL_MS = 4_000


@dataclasses.dataclass(slots=True)
class OpportunisticLimiter:
    """Backs off after each shed, and recovers with each answer.

    While other hosts use their slots, opportunistic attempts only cause
    sheds; the backoff then lets through about one attempt per second.

    Attributes:
        next_ms: The next attempt is not made before this time.
    """

    next_ms: int = 0
    _in_flight: int = 0
    _backoff_step: int = 0

    def allows_attempt(self, now_ms: int) -> bool:
        """Whether an opportunistic attempt may be made.

        After a shed, only one is in flight at a time.
        """
        if now_ms < self.next_ms:
            return False
        return self._in_flight == 0 or self._backoff_step == 0

    def record_sent(self) -> None:
        """Counts an opportunistic attempt that is being sent."""
        self._in_flight += 1

    def record_shed(self, now_ms: int) -> None:
        """Raises the backoff after an opportunistic attempt that was shed."""
        self._in_flight -= 1
        self._backoff_step += 1
        self.next_ms = now_ms + backoff.delay_ms(
            self._backoff_step, MIN_INTERVAL_MS, MAX_INTERVAL_MS
        )

    def record_end(self, *, is_answered: bool) -> None:
        """Records the end of an opportunistic attempt that was not shed.

        Args:
            is_answered: Whether it was answered; an answer lowers the backoff
                by two steps.
        """
        self._in_flight -= 1
        if is_answered:
            self._backoff_step = max(0, self._backoff_step - 2)
