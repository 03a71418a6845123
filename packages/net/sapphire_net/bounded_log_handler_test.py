import logging
import os

import testtools

from sapphire_net import bounded_log_handler
from sapphire_net import event_log


class BoundedLogHandlerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.handler = bounded_log_handler.BoundedLogHandler(self.writer)
        self.handler.setFormatter(event_log.KeyValueFormatter())

    def write(self, event: str) -> None:
        record = logging.LogRecord(
            "test", logging.INFO, "", 0, event, None, None
        )
        self.handler.emit(record)

    def read(self) -> bytes:
        os.set_blocking(self.reader, False)
        content = b""
        while True:
            try:
                content += os.read(self.reader, 65_536)
            except BlockingIOError:
                return content
            self.handler.write_buffered()

    def test_lines_are_written_in_order(self) -> None:
        for number in range(100):
            self.write(f"event-{number}")
        self.handler.write_buffered()
        events = [line.rpartition(b"=")[2] for line in self.read().splitlines()]
        expected = [f"event-{number}".encode() for number in range(100)]
        self.assertEqual(expected, events)
        os.close(self.writer)

    def test_full_pipe_neither_blocks_nor_grows_the_buffer(self) -> None:
        # Nothing reads the pipe, so that its 64 KiB and then the handler's
        # buffer fill up.
        for _ in range(20):
            for _ in range(1_000):
                self.write("x" * 200)
            self.handler.write_buffered()
        self.assertGreater(self.handler.dropped_line_count, 10_000)
        content = self.read()
        self.assertLess(
            len(content), bounded_log_handler.MAX_BUFFERED_BYTES + 200_000
        )
        self.write("later")
        self.handler.write_buffered()
        output = content + self.read()
        reported_count = sum(
            int(line.rpartition(b"count=")[2])
            for line in output.splitlines()
            if b"log_lines_left_out" in line
        )
        self.assertEqual(self.handler.dropped_line_count, reported_count)
        for line in output.splitlines():
            self.assertIn(b"event=", line)
        os.close(self.writer)

    def test_closed_reader_raises_nothing(self) -> None:
        reader, writer = os.pipe()
        handler = bounded_log_handler.BoundedLogHandler(writer)
        os.close(reader)
        self.handler = handler
        handler.setFormatter(event_log.KeyValueFormatter())
        self.write("unread")
        handler.write_buffered()
        self.write("unread")
        handler.write_buffered()
        os.close(writer)
        os.close(self.writer)
