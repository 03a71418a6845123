import io
import logging

import testtools
from testtools import matchers

from sapphire_net import event_log


class EventLogTest(testtools.TestCase):
    def write(self, **fields: object) -> str:
        stream = io.StringIO()
        handler = logging.StreamHandler(stream)
        handler.setFormatter(event_log.KeyValueFormatter())
        logger = logging.Logger("test")
        logger.addHandler(handler)
        event_log.log(logger, logging.INFO, "flow_dropped", **fields)
        return stream.getvalue()

    def test_plain_values_are_not_quoted(self) -> None:
        line = self.write(host="h-1", count=3, fresh=True)
        self.assertThat(
            line,
            matchers.EndsWith(
                "event=flow_dropped host=h-1 count=3 fresh=true\n"
            ),
        )

    def test_newlines_and_quotes_in_values_are_escaped(self) -> None:
        line = self.write(path='a "b"\nlevel=error c=d', empty="")
        self.assertThat(line.count("\n"), matchers.Equals(1))
        self.assertThat(
            line,
            matchers.Contains(r'path="a \"b\"\nlevel=error c=d" empty=""'),
        )

    def test_unicode_line_separators_are_escaped(self) -> None:
        line = self.write(name="a\u2028b\x85c")
        self.assertThat(len(line.splitlines()), matchers.Equals(1))
