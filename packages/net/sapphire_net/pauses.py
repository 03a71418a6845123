"""Waiting for a time in milliseconds, the unit of all times here."""

import anyio

from sapphire_data import clock


async def sleep_ms(duration_ms: int) -> None:
    """Waits for a time in milliseconds.

    Args:
        duration_ms: The time.
    """
    await anyio.sleep(duration_ms / clock.MS_PER_SECOND)
