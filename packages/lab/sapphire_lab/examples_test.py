import contextlib
import io
import runpy

import testtools
from testtools import matchers

from sapphire_lab.slopes import repository

MAX_LINES = 30
_EXAMPLES = repository.ROOT / "examples"
_EXPECTED_BY_NAME = {
    "configuration_merge": "PoolGeneration(number=2, upstreams=('rota-1',))",
    "flow_routing": "Forward(upstream=Upstream(name='rota-",
    "membership_pair": "['h1', 'h2']",
    "request_engine": "NOT_RUN",
    "retry_budget_share": "99 retries for 1,000 first attempts",
    "slo_burn": " 9.99",
    "watchers": "['h3', 'h5', 'h7']",
}


class ExamplesTest(testtools.TestCase):
    def test_each_example_is_short_and_prints_expected_output(self) -> None:
        paths = {path.stem: path for path in _EXAMPLES.glob("*.py")}
        self.assertEqual(sorted(_EXPECTED_BY_NAME), sorted(paths))
        for name, path in paths.items():
            lines = len(path.read_text().splitlines())
            self.assertThat(lines, matchers.LessThan(MAX_LINES))
            output = io.StringIO()
            with contextlib.redirect_stdout(output):
                runpy.run_path(str(path), run_name="__main__")
            self.assertIn(_EXPECTED_BY_NAME[name], output.getvalue())

    def test_api_page_names_each_example(self) -> None:
        page = (repository.ROOT / "docs" / "API.md").read_text()
        for name in _EXPECTED_BY_NAME:
            self.assertIn(f"examples/{name}.py", page)
