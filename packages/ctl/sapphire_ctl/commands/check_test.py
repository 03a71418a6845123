import json
import pathlib
import tempfile

import testtools
from typer import testing

from sapphire_ctl import main
from sapphire_lab.config import builders


class CheckTest(testtools.TestCase):
    def _check(self, content: bytes, *arguments: str) -> tuple[int, str]:
        result = testing.CliRunner().invoke(
            main.app, ["check", "-", *arguments], input=content
        )
        return result.exit_code, result.stdout

    def test_document_is_read_from_standard_input(self) -> None:
        status, text = self._check(builders.document_bytes())
        self.assertEqual(0, status)
        self.assertIn("valid: document ", text)

    def test_errors_of_all_inputs_are_reported_together(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            bindings = pathlib.Path(name) / "bindings.json5"
            bindings.write_text('{"services": 1, "upstreams": {}}')
            settings = pathlib.Path(name) / "settings.json5"
            settings.write_text("{environments: {}}")
            status, text = self._check(
                b'{"data_centres": {}, "services": {"A": {}}}',
                "--json",
                "--bindings",
                str(bindings),
                "--settings",
                str(settings),
            )
        self.assertEqual(3, status)
        paths = [failure["path"] for failure in json.loads(text)["failures"]]
        self.assertEqual(
            ["environments", "services", "services.A", "services.A.pool"],
            sorted(paths),
        )

    def test_document_name_without_address_in_bindings_is_an_error(
        self,
    ) -> None:
        with tempfile.TemporaryDirectory() as name:
            bindings = pathlib.Path(name) / "bindings.json5"
            bindings.write_text('{"services": {}, "upstreams": {}}')
            status, text = self._check(
                builders.document_bytes(), "--json", "--bindings", str(bindings)
            )
        self.assertEqual(3, status)
        self.assertIn("services.rota", text)

    def test_arbitrary_bytes_are_an_error(self) -> None:
        for content in (b"", b"\xff\x00", b"[" * 5_000, b"null"):
            status, _ = self._check(content)
            self.assertEqual(3, status)
