"""Log lines to a descriptor that never makes the program wait.

Lines wait in memory up to a bound. When the reader is slower than the
writers, lines above the bound are left out and counted, and the next line
that fits says how many.
"""

import collections
import contextlib
import logging
import os

from sapphire_net import pauses

# At 250 bytes a line this holds about 2,000 lines, several seconds of them.
MAX_BUFFERED_BYTES = 524_288
FLUSH_INTERVAL_MS = 50
# One write of this size fits an empty pipe of any system.
MAX_WRITE_BYTES = 32_768


class BoundedLogHandler(logging.Handler):
    """Keeps formatted lines until a flush writes them.

    Args:
        descriptor: Where lines go; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self.dropped_line_count = 0
        self._left_out_unsaid = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Takes one record.

        Args:
            record: The record.
        """
        line = (self.format(record) + "\n").encode("utf-8", "replace")
        if self._waiting_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped_line_count += 1
            self._left_out_unsaid += 1
            return
        self._append(line)

    def write_buffered(self) -> None:
        """Writes as many waiting lines as the reader takes."""
        if self._left_out_unsaid and self._waiting_bytes < MAX_WRITE_BYTES:
            count, self._left_out_unsaid = self._left_out_unsaid, 0
            summary = f"event=log_lines_left_out level=warning count={count}\n"
            self._append(summary.encode())
        while self._lines:
            chunk = self._next_chunk()
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody reads any more; there is no one to tell.
                self._lines.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written < len(chunk):
                self._lines.appendleft(chunk[written:])
                return

    def _append(self, line: bytes) -> None:
        """Adds a line to those that wait."""
        self._lines.append(line)
        self._waiting_bytes += len(line)

    def _next_chunk(self) -> bytes:
        """Takes lines for one write."""
        lines: list[bytes] = []
        size = 0
        while self._lines and size < MAX_WRITE_BYTES:
            line = self._lines.popleft()
            lines.append(line)
            size += len(line)
        return b"".join(lines)

    async def run(self) -> None:
        """Writes lines at intervals until cancelled, then the rest."""
        try:
            while True:
                self.write_buffered()
                await pauses.sleep_ms(FLUSH_INTERVAL_MS)
        finally:
            with contextlib.suppress(OSError):
                self.write_buffered()
