"""Runs `report` with text, JSON and HTML output."""

import json
import re
from xml.etree import ElementTree

import testtools

from sapphire_ctl import exit_statuses
from sapphire_data import clock
from sapphire_lab.ctl import command_fixture
from sapphire_lab.slo import builders as slo_builders
from sapphire_wire import api

_Status = exit_statuses.ExitStatus
_BAD_FOR_MS = 300_000


class ReportTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        context = command_fixture.open_fixture()
        self.fixture = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        applied = self.fixture.run(
            "apply",
            self.fixture.write_document(),
            "--bindings",
            self.fixture.write_bindings(),
        )
        self.assertEqual(0, applied.exit_code, applied.stderr)
        self.now_ms = clock.wall_time_ms()

    def _set_host_counts(self, bad_per_thousand: int) -> None:
        """Sets the counts of the host: a thousand requests a minute.

        Args:
            bad_per_thousand: The bad ones of each thousand in the last
                `_BAD_FOR_MS` of half an hour.
        """
        counters = slo_builders.counters_with_failures(
            self.now_ms - 1_800_000,
            self.now_ms,
            self.now_ms - _BAD_FOR_MS,
            bad_per_thousand,
        )
        counters.record_change(
            1, self.now_ms - _BAD_FOR_MS, moves_data_centre=False
        )
        self.fixture.trial_host.slo = slo_builders.host_slo_report(
            counters, "t1", self.now_ms
        )

    def test_burning_objective_names_the_change_and_its_author(self) -> None:
        self._set_host_counts(bad_per_thousand=100)
        outcome = self.fixture.run("report")
        self.assertEqual(0, outcome.exit_code, outcome.stderr)
        self.assertIn("page-fast", outcome.stdout)
        self.assertIn("started by revision 1 apply by ann", outcome.stdout)
        burn = self.fixture.run_json("report")["objectives"][0]
        self.assertEqual(
            ("rota", "requests_answered", "page-fast"),
            (burn["key"]["service"], burn["key"]["objective"], burn["level"]),
        )
        self.assertEqual(
            ["ann"], [mark["author"] for mark in burn["onset"]["suspects"]]
        )

    def test_fail_on_turns_an_alert_into_an_exit_status(self) -> None:
        self._set_host_counts(bad_per_thousand=0)
        for level in ("ticket", "page-fast"):
            outcome = self.fixture.run("report", "--fail-on", level)
            self.assertEqual(_Status.OK, outcome.exit_code)
        self._set_host_counts(bad_per_thousand=100)
        outcome = self.fixture.run("report", "--fail-on", "page-slow", "--json")
        self.assertEqual(_Status.BURNING, outcome.exit_code)
        self.assertEqual(
            [("ObjectiveBurning", "rota", "page-fast")],
            [
                (failure["code"], failure["service"], failure["level"])
                for failure in json.loads(outcome.stdout)["failures"]
            ],
        )

    def test_page_is_self_contained_and_its_plots_are_well_formed(self) -> None:
        self._set_host_counts(bad_per_thousand=100)
        path = self.fixture.directory / "burn.html"
        outcome = self.fixture.run("report", "--html", str(path))
        self.assertEqual(0, outcome.exit_code, outcome.stderr)
        content = path.read_text()
        self.assertNotRegex(content, r"(src|href)=|https?://|@import")
        plots = re.findall(r"<svg.*?</svg>", content, re.DOTALL)
        self.assertEqual(3, len(plots))
        hour = ElementTree.fromstring(plots[0])
        bars = [bar.get("class") for bar in hour.iter("rect")]
        # Five minutes span five or six intervals of a minute.
        self.assertIn(bars.count("bad"), (5, 6))
        marks = [
            line for line in hour.iter("line") if line.get("class") == "mark"
        ]
        self.assertEqual(1, len(marks))

    def test_names_are_escaped_on_the_page(self) -> None:
        hostile = "<script>alert(1)</script>"
        self._set_host_counts(bad_per_thousand=100)
        slo = self.fixture.trial_host.slo
        assert slo is not None
        self.fixture.trial_host.slo = slo.model_copy(
            update={
                "series": tuple(
                    series.model_copy(update={"service": hostile})
                    for series in slo.series
                )
            }
        )
        path = self.fixture.directory / "burn.html"
        self.fixture.run("report", "--html", str(path))
        content = path.read_text()
        self.assertNotIn("<script", content)
        self.assertIn("&lt;script&gt;", content)

    def test_report_without_the_store_has_a_warning(self) -> None:
        self._set_host_counts(bad_per_thousand=100)
        self.fixture.set_faults(is_down=True)
        outcome = self.fixture.run_json("report")
        self.assertEqual(
            ["StoreUnavailable"],
            [warning["code"] for warning in outcome["warnings"]],
        )
        self.assertEqual("page-fast", outcome["objectives"][0]["level"])

    def test_host_without_an_answer_is_listed_by_name(self) -> None:
        self._set_host_counts(bad_per_thousand=0)
        self.fixture.trial_host.members = (
            api.MemberStatus(
                host_id="t2",
                data_centre="salem",
                address="127.0.0.1",
                api_port=1,
                state="alive",
            ),
        )
        outcome = self.fixture.run("report", "--json")
        self.assertEqual(_Status.HOSTS_UNREACHABLE, outcome.exit_code)
        self.assertEqual(
            ["t2"],
            [
                item["target"]["host_id"]
                for item in json.loads(outcome.stdout)["unanswered"]
            ],
        )

    def test_page_that_cannot_be_written_is_a_failure(self) -> None:
        self._set_host_counts(bad_per_thousand=0)
        path = self.fixture.directory / "none" / "burn.html"
        outcome = self.fixture.run("report", "--html", str(path))
        self.assertEqual(_Status.INVALID, outcome.exit_code)
        self.assertIn("UnwritableOutput", outcome.stderr)
