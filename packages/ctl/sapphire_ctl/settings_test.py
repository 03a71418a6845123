import pathlib
import tempfile

import testtools

from sapphire_ctl import settings
from sapphire_data import failures

_EXAMPLE = (
    pathlib.Path(__file__).parents[3]
    / "docs/operations/sapphirectl-example.json5"
)


class SettingsTest(testtools.TestCase):
    def _errors(self, content: str) -> list[failures.Failure]:
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "settings.json5"
            path.write_text(content)
            _, errors = settings.load(path)
        return errors

    def test_documented_example_is_valid(self) -> None:
        model, errors = settings.load(_EXAMPLE)
        self.assertEqual([], errors)
        assert model is not None
        self.assertEqual("trial", settings.select_environment(model, None).ok)
        unknown = settings.select_environment(model, "none").error
        self.assertEqual(("production", "trial"), unknown.known)

    def test_all_errors_are_reported_together_with_their_paths(self) -> None:
        errors = self._errors(
            "{environments: {trial: {prefix: 'a', store: {endpoints: []},"
            " hosts: ['entry-1:7001', '10.0.0.1:0', '[::1]:70000'], x: 1}}}"
        )
        paths = [getattr(error, "path", "") for error in errors]
        trial = "environments.trial"
        self.assertEqual(
            [
                f"{trial}.hosts[0]",
                f"{trial}.hosts[1]",
                f"{trial}.hosts[2]",
                f"{trial}.prefix",
                f"{trial}.store.endpoints",
                f"{trial}.x",
            ],
            sorted(paths),
        )

    def test_references_to_invalid_environments_are_errors(self) -> None:
        trial = (
            "{trial: {prefix: '/a/', store: {endpoints: ['http://10.0.0.1:1']},"
            " promotes_from: '%s'}}"
        )
        for content in (
            "{default_environment: 'b', environments: %s}" % (trial % "trial"),
            "{environments: %s}" % (trial % "none"),
            "{environments: %s}" % (trial % "trial"),
        ):
            self.assertEqual(1, len(self._errors(content)), content)

    def test_missing_file_is_a_typed_failure(self) -> None:
        model, errors = settings.load(pathlib.Path("/nonexistent/settings"))
        self.assertIsNone(model)
        self.assertIsInstance(errors[0], failures.UnreadableInput)
