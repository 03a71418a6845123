"""Iterates over the caught signals of a process in an event loop."""

from collections.abc import AsyncIterator
import signal

import anyio

from sapphire_node import process_signals


async def iterate(
    signals: process_signals.ProcessSignals,
) -> AsyncIterator[signal.Signals]:
    """Yields each caught signal, also those caught before, in their order.

    Args:
        signals: The signals of this process.

    Yields:
        The next signal.
    """
    while True:
        number = signals.read_next()
        if number is not None:
            yield number
            continue
        await anyio.wait_readable(signals.descriptor)
