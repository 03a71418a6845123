"""Sleeps for milliseconds, the unit of all durations of this project."""

import anyio

from sapphire_data import clock


async def sleep_ms(duration_ms: int) -> None:
    """Sleeps for a duration.

    Args:
        duration_ms: The duration in milliseconds.
    """
    await anyio.sleep(duration_ms / clock.MS_PER_SECOND)
