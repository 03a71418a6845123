"""How often a host tries slots that belong to other hosts."""

import dataclasses

from sapphire_core.requests import backoff

MIN_INTERVAL_MS = 50
MAX_INTERVAL_MS = 4_000


@dataclasses.dataclass(slots=True)
class OpportunisticLimiter:
    """The pace of trials, slower with each shed and quicker with each answer.

    While other hosts need their slots, trials only cause sheds; the pace
    then falls to one trial in about a second.

    Attributes:
        next_ms: The next trial is not made before this time.
    """

    next_ms: int = 0
    _in_flight: int = 0
    _consecutive_sheds: int = 0

    def allows_attempt(self, now_ms: int) -> bool:
        """Whether a trial may be made.

        After a shed one trial is made at a time.
        """
        if now_ms < self.next_ms:
            return False
        return self._in_flight == 0 or self._consecutive_sheds == 0

    def record_sent(self) -> None:
        """Takes in that a trial is made."""
        self._in_flight += 1

    def record_shed(self, now_ms: int) -> None:
        """Takes in a trial that was shed."""
        self._in_flight -= 1
        self._consecutive_sheds += 1
        self.next_ms = now_ms + backoff.delay_ms(
            self._consecutive_sheds, MIN_INTERVAL_MS, MAX_INTERVAL_MS
        )

    def record_end(self, *, is_answered: bool) -> None:
        """Takes in a trial that ended otherwise."""
        self._in_flight -= 1
        if is_answered:
            self._consecutive_sheds = max(0, self._consecutive_sheds - 2)
