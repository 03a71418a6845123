"""Bounds on the transfer of bodies: their progress, and how many at a time."""

import math

import anyio

from sapphire_data import clock

# A response that has begun may pause for this long between two of its bytes.
STALL_TIMEOUT_MS = 1_000
# A response that arrives more slowly than this on average has failed, even if
# it never pauses.
MIN_TRANSFER_BYTES_PER_MS = 32
# Smaller bodies leave a server at once and take no transfer slot.
MIN_LARGE_BODY_BYTES = 8_192


class TransferDeadline:
    """The deadline of a response, which moves on while its bytes arrive.

    A response has to begin within a timeout. From then on its size and the rate
    of the link decide how long it takes, so only a pause or an average rate
    below `MIN_TRANSFER_BYTES_PER_MS` ends it.

    Args:
        scope: The cancel scope of the call; its deadline is moved.
        timeout_ms: How long the first byte may take.
    """

    def __init__(self, scope: anyio.CancelScope, timeout_ms: int) -> None:
        self._scope = scope
        self._first_byte_due_s = anyio.current_time() + (
            timeout_ms / clock.MS_PER_SECOND
        )
        self._received_bytes = 0

    def record_bytes(self, count: int) -> None:
        """Records that further bytes of the response have arrived.

        Args:
            count: How many.
        """
        self._received_bytes += count
        earned_ms = self._received_bytes / MIN_TRANSFER_BYTES_PER_MS
        rate_due_s = self._first_byte_due_s + earned_ms / clock.MS_PER_SECOND
        stall_due_s = anyio.current_time() + (
            STALL_TIMEOUT_MS / clock.MS_PER_SECOND
        )
        self._scope.deadline = min(rate_due_s, stall_due_s)

    def describe_timeout(self, timeout_ms: int) -> str:
        """Returns why the call has timed out.

        Args:
            timeout_ms: How long the first byte had.
        """
        if self._received_bytes == 0:
            return f"no response within {timeout_ms} ms"
        return f"response stalled after {self._received_bytes} bytes"


class TransferSlots:
    """Bounds how many large bodies a server sends at a time.

    On a narrow link, transfers side by side all end late. A request above the
    bound gets `UNAVAILABLE` at once, so that its client can ask another server.

    Args:
        limit: How many large bodies may be sent at a time.
    """

    def __init__(self, limit: float) -> None:
        self._limit = limit
        self._used = 0

    def try_acquire(self, body_bytes: int) -> bool:
        """Takes a slot for a body, if it needs one.

        Args:
            body_bytes: The length of the body.

        Returns:
            Whether the body may be sent; then `release` has to be called.
        """
        if body_bytes < MIN_LARGE_BODY_BYTES:
            return True
        if self._used >= self._limit:
            return False
        self._used += 1
        return True

    def release(self, body_bytes: int) -> None:
        """Gives back the slot of a body that was sent, or could not be sent.

        Args:
            body_bytes: The length of the body.
        """
        if body_bytes >= MIN_LARGE_BODY_BYTES:
            self._used -= 1


UNLIMITED_TRANSFERS = TransferSlots(math.inf)


def timeout_s(body_bytes: int) -> float:
    """Returns how long a body may take, in seconds."""
    timeout_ms = STALL_TIMEOUT_MS + body_bytes / MIN_TRANSFER_BYTES_PER_MS
    return timeout_ms / clock.MS_PER_SECOND
