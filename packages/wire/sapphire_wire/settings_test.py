import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from sapphire_data import failures
from sapphire_wire import settings
from sapphire_wire import validation

GOOD = b"""{
  // The data centre of this host.
  data_centre: "tacoma",
  address: "127.0.0.1",
  store: {endpoints: ["http://127.0.0.1:2379"]},
  trust: {key_ring_file: "keys.json"},
}"""


class SettingsTest(testtools.TestCase):
    def parse(
        self, text: bytes
    ) -> tuple[settings.Settings | None, list[failures.Failure]]:
        return validation.parse(settings.Settings, text, "host.json")

    def test_comments_and_defaults_are_accepted(self) -> None:
        parsed, errors = self.parse(GOOD)
        self.assertEqual([], errors)
        assert parsed is not None
        self.assertThat(parsed.ports.control, matchers.Equals(7400))

    def test_every_error_is_reported_at_once_with_its_path(self) -> None:
        parsed, errors = self.parse(
            b"""{data_centre: "Tacoma!", address: "localhost", colour: 1,
            ports: {api: 70000}, seeds: [{address: "127.0.0.1"}],
            store: {endpoints: []}, trust: {key_ring_file: "k"}}"""
        )
        self.assertIs(None, parsed)
        paths = [
            error.path
            for error in errors
            if isinstance(error, failures.InvalidField)
        ]
        for path in (
            "data_centre",
            "colour",
            "ports.api",
            "seeds[0].control_port",
            "store.endpoints",
        ):
            self.expectThat(paths, matchers.Contains(path))
        bound = [
            error.expected
            for error in errors
            if isinstance(error, failures.InvalidField)
            and error.path == "ports.api"
        ]
        self.assertThat(bound, matchers.Equals(["a number of at most 65535"]))

    def test_duplicate_keys_are_rejected(self) -> None:
        parsed, errors = self.parse(b"{address: 1, address: 2}")
        self.assertIs(None, parsed)
        self.assertIsInstance(errors[0], failures.UnreadableInput)

    def test_api_on_a_reachable_address_requires_tls(self) -> None:
        parsed, errors = self.parse(GOOD.replace(b"127.0.0.1", b"192.0.2.1", 1))
        self.assertIs(None, parsed)
        self.assertThat(
            validation.describe(errors)[0], matchers.Contains("trust.tls")
        )

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(strategies.binary(max_size=80))
    def test_arbitrary_bytes_are_typed_failures(self, data: bytes) -> None:
        parsed, errors = self.parse(data)
        self.assertIs(None, parsed)
        self.assertNotEqual([], errors)
