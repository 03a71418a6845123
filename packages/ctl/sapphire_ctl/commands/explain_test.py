import json
import pathlib
import tempfile

import testtools
from typer import testing

from sapphire_ctl import main

FLOW = "100.64.0.7:40001-198.18.0.1:443"
START_MS = 1_781_870_000_000


def line(offset_ms: int, event: str, **fields: object) -> str:
    pairs = " ".join(f"{key}={value}" for key, value in fields.items())
    return f"time_ms={START_MS + offset_ms} level=info event={event} {pairs}\n"


class ExplainTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)

    def explain(
        self, logs: dict[str, str], flow: str = FLOW
    ) -> tuple[int, dict[str, object]]:
        """Returns the exit status and the JSON of the command."""
        paths: list[str] = []
        for name, content in logs.items():
            path = self.directory / f"{name}.log"
            path.write_text(content)
            paths.append(str(path))
        result = testing.CliRunner().invoke(
            main.app, ["explain", flow, *paths, "--json"]
        )
        return result.exit_code, json.loads(result.stdout)

    def events(self, answer: dict[str, object]) -> list[tuple[str, str]]:
        timeline = answer["timeline"]
        assert isinstance(timeline, list)
        return [(entry["host"], entry["event"]) for entry in timeline]

    def test_lines_of_several_hosts_are_joined_by_time(self) -> None:
        status, answer = self.explain(
            {
                "edge-1": line(0, "opened", flow=FLOW, upstream="i-1")
                + line(
                    45, "opened_again", flow=FLOW, upstream="i-2", silent="i-1"
                )
                + line(50, "opened", flow="100.64.0.9:1-198.18.0.1:443"),
                "edge-2": line(30, "upstream_removed", upstream="i-1")
                + line(60, "closed", flow=FLOW, upstream="i-2"),
                "edge-3": line(31, "upstream_removed", upstream="i-1"),
            }
        )
        self.assertEqual(0, status)
        self.assertEqual(
            [
                ("edge-1", "opened"),
                ("edge-2", "upstream_removed"),
                ("edge-1", "opened_again"),
                ("edge-2", "closed"),
            ],
            self.events(answer),
        )
        self.assertIn("answered late", str(answer["verdict"]))

    def test_verdicts_of_unanswered_broken_and_late_flows(self) -> None:
        cases = {
            "unanswered": "never answered while opening",
            "upstream_gone": "ended while open",
            "gives_way": "answered late",
        }
        for event, meaning in cases.items():
            log = line(0, "opened", flow=FLOW) + line(9, event, flow=FLOW)
            _, answer = self.explain({"edge-1": log})
            self.assertIn(meaning, str(answer["verdict"]))

    def test_what_a_host_says_of_itself_is_in_the_timeline(self) -> None:
        log = (
            line(0, "opened", flow=FLOW)
            + line(5, "link_full", waiting=26)
            + line(7, "cut_off")
        )
        _, answer = self.explain({"edge-1": log, "edge-2": line(6, "cut_off")})
        self.assertEqual(
            [
                ("edge-1", "opened"),
                ("edge-1", "link_full"),
                ("edge-1", "cut_off"),
            ],
            self.events(answer),
        )

    def test_host_is_taken_from_the_prefix_of_a_log_collector(self) -> None:
        log = "  0.2668 edge-7 " + line(0, "opened", flow=FLOW)
        _, answer = self.explain({"all": log})
        self.assertEqual([("edge-7", "opened")], self.events(answer))

    def test_lines_that_are_no_log_events_are_skipped(self) -> None:
        noise = 'Traceback "unclosed\nevent=opened flow=x\n\x00\n'
        log = noise + line(0, "opened", flow=FLOW)
        status, answer = self.explain({"edge-1": log})
        self.assertEqual(0, status)
        self.assertEqual([("edge-1", "opened")], self.events(answer))

    def test_flow_that_is_in_no_log_is_not_found(self) -> None:
        status, _ = self.explain({"edge-1": line(0, "started")})
        self.assertEqual(12, status)
