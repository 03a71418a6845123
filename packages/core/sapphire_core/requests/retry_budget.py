"""A token bucket that limits retries to a share of first attempts."""

import dataclasses

from sapphire_data import clock

MAX_TOKENS = 10.0
REFILL_LIMIT = 3.0
REFILL_PER_SECOND = 0.5


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Tokens for retries; each first attempt adds a share of one token.

    A slow refill over time, up to `REFILL_LIMIT`, lets a host retry that
    sends almost no requests.

    Attributes:
        share: The tokens that a first attempt adds.
        tokens: The tokens available.
        updated_ms: When tokens were last refilled.
    """

    share: float
    tokens: float = REFILL_LIMIT
    updated_ms: int = 0

    def record_first_attempt(self) -> None:
        """Adds the tokens for a first attempt, up to `MAX_TOKENS`."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.share)

    def refill(self, now_ms: int) -> None:
        """Adds tokens for the time since the last call.

        Args:
            now_ms: The time in milliseconds.
        """
        elapsed_s = (now_ms - self.updated_ms) / clock.MS_PER_SECOND
        self.updated_ms = now_ms
        if self.tokens >= REFILL_LIMIT:
            return
        refilled = self.tokens + elapsed_s * REFILL_PER_SECOND
        self.tokens = min(REFILL_LIMIT, refilled)

    def spend(self, tokens: float) -> bool:
        """Spends tokens if enough are available.

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
        """Returns tokens that were spent on a retry that was not needed."""
        self.tokens = min(MAX_TOKENS, self.tokens + tokens)
