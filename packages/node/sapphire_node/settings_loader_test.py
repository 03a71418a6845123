import pathlib
import tempfile

import testtools
from testtools import matchers

from sapphire_lab.daemon import daemon_fixture
from sapphire_lab.trust import certificates
from sapphire_node import settings_loader
from sapphire_wire import settings
from sapphire_wire import validation

EXAMPLE = (
    pathlib.Path(__file__).parents[3] / "docs/operations/host-example.json5"
)


class SettingsLoaderTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.files = daemon_fixture.create_host_files(
            pathlib.Path(temporary.name),
            "127.71.3.1",
            daemon_fixture.UNREACHABLE_STORE_URL,
            authority=certificates.CertificateAuthority("trial"),
        )

    def test_example_of_the_operators_page_is_valid(self) -> None:
        parsed, errors = validation.parse(
            settings.Settings, EXAMPLE.read_bytes(), str(EXAMPLE)
        )
        self.assertEqual([], errors)
        assert parsed is not None
        defaults = settings.PortSettings()
        self.assertEqual(defaults, parsed.ports)

    def test_settings_are_loaded_with_their_files(self) -> None:
        loaded, errors = settings_loader.load(self.files.settings_file)
        self.assertEqual([], errors)
        assert loaded is not None
        self.assertEqual(1, loaded.ring.signing_id)
        self.assertIsNotNone(loaded.api_tls)

    def test_all_files_that_cannot_be_used_are_reported_at_once(self) -> None:
        assert self.files.tls_files is not None
        self.files.tls_files.authorities.unlink()
        self.files.key_file.write_text("{")
        loaded, errors = settings_loader.load(self.files.settings_file)
        self.assertIsNone(loaded)
        codes = [error.code for error in errors]
        self.assertThat(
            codes, matchers.Equals(["KeyFileFailure", "TlsFileFailure"])
        )

    def test_missing_settings_are_a_typed_failure(self) -> None:
        missing = self.files.directory / "missing.json5"
        loaded, errors = settings_loader.load(missing)
        self.assertIsNone(loaded)
        self.assertEqual(["UnreadableInput"], [item.code for item in errors])
