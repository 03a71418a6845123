import json
import logging
import pathlib
import socket
import tempfile

import testtools
from testtools import matchers
from typer import testing

from sapphire_lab.daemon import daemon_fixture
from sapphire_node import main
from sapphire_node import process_signals


class MainTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.files = daemon_fixture.create_host_files(
            pathlib.Path(temporary.name),
            "127.71.4.1",
            daemon_fixture.UNREACHABLE_STORE_URL,
        )
        root = logging.getLogger()
        self.addCleanup(setattr, root, "handlers", root.handlers)
        self.addCleanup(root.setLevel, root.level)
        self.signals = process_signals.ProcessSignals()
        self.addCleanup(self.signals.close)

    def _invoke(self, *arguments: str) -> tuple[int, str]:
        path = str(self.files.settings_file)
        result = testing.CliRunner().invoke(
            main.app, [*arguments, path], obj=self.signals
        )
        return result.exit_code, result.output

    def test_check_of_valid_settings(self) -> None:
        self.assertEqual((0, ""), self._invoke("check"))

    def test_check_lists_every_error_with_its_path(self) -> None:
        settings = json.loads(self.files.settings_file.read_text())
        settings["ports"]["api"] = 70_000
        settings["unknown"] = 1
        self.files.settings_file.write_text(json.dumps(settings))
        status, output = self._invoke("check", "--json")
        self.assertEqual(2, status)
        paths = [error["path"] for error in json.loads(output)["errors"]]
        self.assertThat(
            sorted(paths), matchers.Equals(["ports.api", "unknown"])
        )
        self.assertEqual(2, self._invoke("run")[0])

    def test_port_in_use_fails_the_start(self) -> None:
        for name, kind in (
            ("fabric", socket.SOCK_DGRAM),
            ("api", socket.SOCK_STREAM),
        ):
            with socket.socket(socket.AF_INET, kind) as taken:
                taken.bind((self.files.address, self.files.ports[name]))
                if kind == socket.SOCK_STREAM:
                    taken.listen()
                status, output = self._invoke("run")
            self.assertEqual(1, status)
            self.assertThat(output, matchers.Contains("event=listener_failed"))
