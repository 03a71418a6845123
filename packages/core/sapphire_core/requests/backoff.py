"""Exponential backoff with full jitter."""

from typing import Any
from typing import cast

import tenacity

from sapphire_data import clock


def delay_ms(attempt: int, base_ms: int, max_ms: int) -> int:
    """Returns a random delay before an attempt is repeated.

    Args:
        attempt: The number of consecutive failures, from 1.
        base_ms: The upper bound of the delay after the first failure.
        max_ms: The upper bound of every delay.

    Returns:
        The delay in milliseconds, at least 1.
    """
    wait = tenacity.wait_random_exponential(
        multiplier=base_ms / clock.MS_PER_SECOND,
        max=max_ms / clock.MS_PER_SECOND,
    )
    state = tenacity.RetryCallState(cast(Any, None), None, (), {})
    state.attempt_number = attempt
    return max(1, round(wait(state) * clock.MS_PER_SECOND))
