import contextlib
import io
import os
import pathlib
import sys
import tempfile
from unittest import mock

import pytest
import testtools
from testtools import matchers

from sapphire_lab.known_red import plugin

TEST_FILE = "part/sums_test.py"
OTHER_FILE = "part/other_test.py"
RED_ID = f"{TEST_FILE}::SumTest::test_red"
GREEN_ID = f"{TEST_FILE}::SumTest::test_green"
TESTS = """
import testtools

class SumTest(testtools.TestCase):
    def test_red(self):
        self.assertEqual(3, 1 + 1)

    def test_green(self):
        self.assertEqual(2, 1 + 1)
"""
# These plugins change the state of the process that the outer run uses too.
WITHOUT_GLOBAL_STATE = [
    f"-pno:{name}"
    for name in (
        "capture",
        "logging",
        "faulthandler",
        "unraisableexception",
        "threadexception",
        "hypothesispytest",
    )
]
OTHER_TESTS = """
def test_other():
    pass
"""


class PluginTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.root = pathlib.Path(temporary.name)
        (self.root / "pytest.ini").write_text(
            "[pytest]\npython_files = *_test.py\ntestpaths = part\n"
            "addopts = --import-mode=importlib -p no:cacheprovider "
            "-p sapphire_lab.known_red.plugin\n"
        )
        (self.root / "part").mkdir()
        (self.root / TEST_FILE).write_text(TESTS)
        (self.root / OTHER_FILE).write_text(OTHER_TESTS)

    def _list(self, *ids: str) -> None:
        lines = [f"test: {id_}\n  Seen: a sum is wrong.\n" for id_ in ids]
        text = "".join(lines) + "measure: make measure, issue 3\n"
        (self.root / plugin.LIST_NAME).write_text(text)

    def _run(self, *arguments: str) -> tuple[int, str]:
        """Runs pytest within this process, which takes milliseconds."""
        output = io.StringIO()
        with (
            contextlib.chdir(self.root),
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(output),
            mock.patch.dict(os.environ, PYTEST_ADDOPTS=""),
            mock.patch.dict(sys.modules),
        ):
            status = pytest.main([*WITHOUT_GLOBAL_STATE, *arguments])
        return int(status), output.getvalue()

    def test_a_listed_test_that_fails_is_passed_over_and_printed(self) -> None:
        self._list(RED_ID)
        status, output = self._run()
        self.assertEqual(0, status)
        self.assertThat(output, matchers.Contains("2 passed, 1 xfailed"))
        self.assertThat(output, matchers.Contains(f"\n{RED_ID}\n"))

    def test_a_failing_test_that_is_not_listed_fails_the_run(self) -> None:
        self._list()
        status, output = self._run()
        self.assertEqual(1, status)
        self.assertThat(output, matchers.Contains("1 failed, 2 passed"))

    def test_a_listed_test_that_passes_fails_the_run(self) -> None:
        self._list(RED_ID, GREEN_ID)
        status, output = self._run()
        self.assertEqual(1, status)
        self.assertThat(output, matchers.Contains("its entry must go"))

    def test_a_listed_test_that_does_not_exist_fails_the_run(self) -> None:
        for missing_id in (
            f"{TEST_FILE}::SumTest::test_gone",
            "part/gone_test.py::SumTest::test_red",
        ):
            self._list(RED_ID, missing_id)
            for arguments in ((), ("part",), (TEST_FILE,), ("-k", "green")):
                status, output = self._run(*arguments)
                self.assertNotEqual(0, status)
                self.assertThat(
                    output, matchers.Contains(f"no such test: {missing_id}")
                )

    def test_a_test_that_is_listed_twice_fails_the_run(self) -> None:
        self._list(RED_ID, RED_ID)
        status, output = self._run()
        self.assertNotEqual(0, status)
        self.assertThat(output, matchers.Contains(f"twice: {RED_ID}"))

    def test_a_part_of_the_tests_runs_without_the_listed_ones(self) -> None:
        self._list(RED_ID)
        for arguments in ((OTHER_FILE,), (GREEN_ID,), ("-k", "green")):
            status, output = self._run(*arguments)
            self.assertEqual(0, status)
            self.assertThat(output, matchers.Contains("1 passed"))

    def test_an_option_shows_the_failure_of_a_listed_test(self) -> None:
        self._list(RED_ID)
        status, output = self._run("--runxfail", RED_ID)
        self.assertEqual(1, status)
        self.assertThat(output, matchers.Contains("3 != 2"))
