"""A planned stop ends before the platform kills the process."""

import os
import signal
import sys
import time

import testtools
from testtools import matchers

from sapphire_lab.daemon import hanging_host
from sapphire_lab.daemon import process_signalling
from sapphire_node.entry import stop_deadline


class StopDeadlineTest(testtools.TestCase):
    def stop(self, way: hanging_host.Way) -> process_signalling.Ending:
        """Stops a host of which one task hangs."""
        environment = dict(os.environ, PYTHONPATH=os.pathsep.join(sys.path))
        return process_signalling.run_and_signal(
            ("-m", hanging_host.__name__, way.value),
            environment,
            [process_signalling.Moment("event=started", (signal.SIGTERM,))],
        )

    def test_a_stop_ends_whatever_hangs(self) -> None:
        for way in hanging_host.Way:
            started_s = time.monotonic()
            ending = self.stop(way)
            self.assertEqual(stop_deadline.EXIT_OVERDUE, ending.status)
            self.assertThat(
                ending.output, matchers.Contains("event=stop_overdue")
            )
            # The task hangs for longer than this; a busy machine is slower
            # than the deadline, but not by that much.
            self.assertLess(time.monotonic() - started_s, 60)

    def test_the_deadline_is_below_the_shutdown_timeout(self) -> None:
        for shutdown_ms in (500, 2_000, 6_000, 30_000):
            longest_ms = stop_deadline.longest_stop_ms(shutdown_ms)
            self.assertLess(longest_ms, shutdown_ms)
            self.assertGreaterEqual(longest_ms, shutdown_ms // 2)
