"""A log handler that never blocks and whose buffer is bounded.

Lines are buffered in memory and written at intervals. When the reader of the
descriptor is slower than the program logs, lines above the bound are dropped
and counted, and a summary line reports the count once there is room again.
"""

import collections
import contextlib
import logging
import os

from sapphire_net import pauses

# At 250 bytes a line, the buffer holds about 2,000 lines, which are logged in
# several seconds.
MAX_BUFFERED_BYTES = 524_288
FLUSH_INTERVAL_MS = 100
# A write of this size fits into an empty pipe on any system.
MAX_WRITE_BYTES = 32_768


class BoundedLogHandler(logging.Handler):
    """Buffers formatted lines and writes them without blocking.

    Attributes:
        dropped_line_count: The lines dropped because the buffer was full.

    Args:
        descriptor: The file descriptor that lines are written to; it is made
            non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self.dropped_line_count = 0
        self._unreported_drops = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Formats a record and buffers its line, or drops it.

        Args:
            record: The record.
        """
        line = (self.format(record) + "\n").encode("utf-8", "replace")
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped_line_count += 1
            self._unreported_drops += 1
            return
        self._append(line)

    def write_buffered(self) -> None:
        """Writes buffered lines until the descriptor would block."""
        if self._unreported_drops and self._buffered_bytes < MAX_WRITE_BYTES:
            count, self._unreported_drops = self._unreported_drops, 0
            summary = f"event=log_lines_left_out level=warning count={count}\n"
            self._append(summary.encode())
        while self._lines:
            chunk = self._next_chunk()
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # The descriptor has no reader any more, so that this error
                # can't be reported either.
                self._lines.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(chunk):
                self._lines.appendleft(chunk[written:])
                return

    def _append(self, line: bytes) -> None:
        """Adds a line to the buffer."""
        self._lines.append(line)
        self._buffered_bytes += len(line)

    def _next_chunk(self) -> bytes:
        """Removes and returns the lines of one write."""
        lines: list[bytes] = []
        size = 0
        while self._lines and size < MAX_WRITE_BYTES:
            line = self._lines.popleft()
            lines.append(line)
            size += len(line)
        return b"".join(lines)

    async def run(self) -> None:
        """Writes buffered lines at intervals until cancelled.

        The lines that are still buffered then are written once more, without
        waiting for the reader.
        """
        try:
            while True:
                self.write_buffered()
                await pauses.sleep_ms(FLUSH_INTERVAL_MS)
        finally:
            with contextlib.suppress(OSError):
                self.write_buffered()
