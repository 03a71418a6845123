import pathlib
import tempfile

import testtools
from testtools import matchers

from sapphire_lab.trust import builders
from sapphire_net.trust import keys


class KeyFileTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "keys.json5"

    def test_file_with_comments_is_read(self) -> None:
        builders.write_key_file(self.path, {3: builders.secret(3)}, 3)
        self.assertThat(
            keys.load_key_ring(self.path).ok,
            matchers.Equals(builders.key_ring(3)),
        )

    def test_failure_of_an_invalid_file_does_not_quote_the_secret(self) -> None:
        secret_hex = "ab" * 40
        for content in (
            "{",
            "[]",
            "\x00\xff",
            f'{{"signing_key": 1, "keys": ["{secret_hex}"]}}',
            f'{{"signing_key": 1, "keys": [{{"id": 1, "secret_hex": '
            f'"{secret_hex}x"}}]}}',
            f'{{"signing_key": 1, "keys": [{{"id": 1, "secret_hex": '
            f'"{secret_hex}" oops}}]}}',
            f'{{"signing_key": 2, "keys": [{{"id": 1, "secret_hex": '
            f'"{secret_hex}"}}]}}',
        ):
            self.path.write_text(content)
            failure = keys.load_key_ring(self.path).error
            self.assertThat(
                failure.problem, matchers.Not(matchers.Contains("abab"))
            )

    def test_watcher_reports_a_change_once(self) -> None:
        watcher = keys.KeyFileWatcher(self.path)
        self.assertThat(watcher.poll().is_error(), matchers.Equals(True))
        builders.write_key_file(self.path, {3: builders.secret(3)}, 3)
        self.assertEqual(builders.key_ring(3), watcher.poll().ok)
        self.assertEqual(None, watcher.poll().ok)
        self.path.write_text("{")
        self.assertThat(watcher.poll().is_error(), matchers.Equals(True))
        builders.write_key_file(self.path, {4: builders.secret(4)}, 4)
        self.assertEqual(builders.key_ring(4), watcher.poll().ok)
