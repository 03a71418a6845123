"""A budget that bounds retries to a share of first attempts."""

import dataclasses

from sapphire_data import clock

MAX_TOKENS = 10.0
REFILL_LIMIT = 3.0
REFILL_PER_SECOND = 0.5


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Tokens for retries; each first attempt earns a share of one.

    A small trickle keeps a host able to retry that sends almost nothing.

    Attributes:
        share: The tokens that a first attempt earns.
        tokens: The tokens at hand.
        updated_ms: When the trickle was last added.
    """

    share: float
    tokens: float = REFILL_LIMIT
    updated_ms: int = 0

    def record_first_attempt(self) -> None:
        """Adds the share of a first attempt."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.share)

    def refill(self, now_ms: int) -> None:
        """Adds the trickle of the time since the last call.

        Args:
            now_ms: The time in milliseconds.
        """
        passed_s = (now_ms - self.updated_ms) / clock.MS_PER_SECOND
        self.updated_ms = now_ms
        if self.tokens >= REFILL_LIMIT:
            return
        refilled = self.tokens + passed_s * REFILL_PER_SECOND
        self.tokens = min(REFILL_LIMIT, refilled)

    def spend(self, tokens: float) -> bool:
        """Takes tokens if there are enough.

        Args:
            tokens: The tokens that the retry costs.

        Returns:
            Whether the retry is allowed.
        """
        if self.tokens < tokens:
            return False
        self.tokens -= tokens
        return True

    def refund(self, tokens: float) -> None:
        """Gives back tokens for a retry that was not needed."""
        self.tokens = min(MAX_TOKENS, self.tokens + tokens)
