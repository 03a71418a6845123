import os
import pathlib
import signal
import tempfile

import anyio
import testtools
from testtools import matchers

from sapphire_lab.daemon import daemon_fixture
from sapphire_lab.daemon import process_signalling
from sapphire_node import process_signals
from sapphire_node import signal_stream

ROOT = pathlib.Path(__file__).parents[3]
# Modules in the order in which their imports end: the first one after the
# handlers are installed, some later ones, and the last one.
EARLY_MODULES = (
    "re",
    "anyio",
    "typer",
    "sapphire_node.daemon",
    "sapphire_node.main",
)


class ProcessSignalsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.signals = process_signals.ProcessSignals()
        self.addCleanup(self.signals.close)

    def test_signals_before_the_event_loop_are_read_in_their_order(
        self,
    ) -> None:
        sent = [signal.SIGHUP, signal.SIGTERM, signal.SIGHUP]
        for number in sent[:2]:
            os.kill(os.getpid(), number)
        self.assertTrue(self.signals.is_stop_requested())

        async def read() -> list[signal.Signals]:
            stream = signal_stream.iterate(self.signals)
            received = [await anext(stream), await anext(stream)]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_third)
                received.append(await anext(stream))
            return received

        async def send_third() -> None:
            os.kill(os.getpid(), sent[2])

        for use_uvloop in (False, True):
            with self.subTest(use_uvloop=use_uvloop):
                received = anyio.run(
                    read, backend_options={"use_uvloop": use_uvloop}
                )
                self.assertEqual(sent, received)
            for number in sent[:2]:
                os.kill(os.getpid(), number)

    def test_a_reload_is_no_stop(self) -> None:
        os.kill(os.getpid(), signal.SIGHUP)
        self.assertFalse(self.signals.is_stop_requested())
        self.assertEqual(signal.SIGHUP, self.signals.read_next())
        self.assertIsNone(self.signals.read_next())

    def test_more_signals_than_the_pipe_holds_do_not_block(self) -> None:
        for _ in range(70_000):
            self.signals._record(signal.SIGHUP, None)
        self.assertEqual(signal.SIGHUP, self.signals.read_next())


class StartTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        files = daemon_fixture.create_host_files(
            pathlib.Path(temporary.name),
            "127.71.5.1",
            daemon_fixture.UNREACHABLE_STORE_URL,
        )
        self.arguments = (
            *("-m", "sapphire_node"),
            *("run", str(files.settings_file)),
        )

    def _run(
        self, *moments: process_signalling.Moment
    ) -> process_signalling.Ending:
        environment = dict(
            os.environ, PYTHONPATH=process_signalling.python_path(ROOT)
        )
        return process_signalling.run_and_signal(
            self.arguments, environment, moments
        )

    def test_a_stop_during_the_start_ends_with_status_0(self) -> None:
        for module in EARLY_MODULES:
            ending = self._run(
                process_signalling.Moment(module, (signal.SIGTERM,))
            )
            self.assertEqual((module, 0), (module, ending.status))
            self.assertThat(
                ending.output, matchers.Contains("event=stopped_before_start")
            )

    def test_a_reload_during_the_start_is_kept_and_ends_nothing(self) -> None:
        hangups = (signal.SIGHUP, signal.SIGHUP)
        ending = self._run(
            process_signalling.Moment(EARLY_MODULES[0], hangups),
            process_signalling.Moment(
                "event=signal_ignored", (signal.SIGTERM,)
            ),
        )
        self.assertEqual(0, ending.status)
        self.assertThat(ending.output, matchers.Contains("event=host_started"))

    def test_stops_right_after_the_start_end_with_status_0(self) -> None:
        stops = (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM)
        ending = self._run(
            process_signalling.Moment("event=host_started", stops)
        )
        self.assertEqual(0, ending.status)
