"""A token bucket that limits the bytes per second that a host sends."""


class TokenBucket:
    """A token bucket of bytes.

    A message may be sent while any tokens are left, so the bucket may go into
    debt, down to the negative burst size.
    """

    def __init__(self, bytes_per_second: int, burst_bytes: int) -> None:
        self._bytes_per_second = bytes_per_second
        self._burst_bytes = burst_bytes
        self._tokens = float(burst_bytes)
        self._updated_ms = 0

    def has_tokens(self, now_ms: int) -> bool:
        """Refills the bucket and returns whether any tokens are left.

        Args:
            now_ms: The time in milliseconds.
        """
        elapsed_ms = max(0, now_ms - self._updated_ms)
        self._updated_ms = now_ms
        self._tokens += elapsed_ms * self._bytes_per_second / 1_000
        self._tokens = min(self._tokens, float(self._burst_bytes))
        return self._tokens > 0

    def charge(self, size: int) -> None:
        """Removes the tokens for the bytes of a message or an update.

        Args:
            size: The number of bytes.
        """
        self._tokens = max(self._tokens - size, -float(self._burst_bytes))
