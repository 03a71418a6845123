"""Runs of `promote`, and what it refuses."""

import json
from typing import Any

import testtools

from sapphire_ctl import exit_statuses
from sapphire_data import clock
from sapphire_lab.config import builders
from sapphire_lab.ctl import command_fixture
from sapphire_lab.slo import builders as slo_builders

_Status = exit_statuses.ExitStatus


class PromoteTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        context = command_fixture.open_fixture()
        self.bench = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        self.bindings = self.bench.write_bindings()
        self._apply_in_trial()
        self._count(bad=0)

    def _apply_in_trial(self, **changes: Any) -> None:
        outcome = self.bench.run(
            "apply",
            self.bench.write_document(**changes),
            "--bindings",
            self.bindings,
        )
        self.assertEqual(0, outcome.exit_code, outcome.stderr)

    def _count(self, bad: int) -> None:
        """Lets the trial's host report a thousand requests a minute."""
        now_ms = clock.wall_time_ms()
        counted = slo_builders.counters_with_failures(
            now_ms - 600_000, now_ms, now_ms - 300_000, bad
        )
        self.bench.trial_host.slo = slo_builders.host_slo_report(
            counted, "t1", now_ms
        )

    def _promote(self, expected: _Status, *arguments: str) -> Any:
        outcome = self.bench.run(
            "promote",
            *arguments,
            "--env",
            "production",
            "--bindings",
            self.bindings,
            "--json",
        )
        self.assertEqual(expected, outcome.exit_code, outcome.stdout)
        return json.loads(outcome.stdout)

    def _assert_not_proven(self, problem: str, *arguments: str) -> None:
        outcome = self._promote(_Status.REFUSED, *arguments)
        texts = [failure["problem"] for failure in outcome["failures"]]
        self.assertTrue(any(problem in text for text in texts), texts)
        production = self.bench.run_json("status", "--env", "production")
        self.assertEqual(0, production["store_revision"])

    def test_promoted_bytes_are_those_of_the_trial(self) -> None:
        outcome = self._promote(_Status.OK)
        self.assertEqual(
            (1, True), (outcome["revision"], outcome["is_in_force"])
        )
        bytes_in_force = self.bench.run(
            "history", "--document", "1", "--env", "production"
        ).stdout
        self.assertEqual(builders.document_bytes().decode(), bytes_in_force)
        digest = self.bench.run_json("history")["revisions"][0]["change"][
            "document_digest"
        ]
        self.assertEqual(digest, outcome["plan"]["digest_after"])

    def test_what_the_trial_has_not_proven_is_refused(self) -> None:
        self._assert_not_proven("is not the one in force", "0000")
        self._count(bad=200)
        self._assert_not_proven("requests_answered burns at level page-fast")
        self.bench.trial_host.slo = None
        self._assert_not_proven("did not tell its counts")
        self._assert_not_proven("0 events of 10")
        self._count(bad=0)
        self._apply_in_trial(drained=("rota-1",))
        self.bench.trial_host.max_active_revision = 1
        self._assert_not_proven("another document is in force")
        self.bench.trial_host.invalid_response = b"[]"
        self._assert_not_proven("did not answer")

    def test_document_that_is_too_young_is_refused(self) -> None:
        path = self.bench.directory / "settings.json5"
        text = path.read_text()
        path.write_text(
            text.replace('"min_proof_ms": 0', '"min_proof_ms": 3600000')
        )
        self._assert_not_proven("of 3600000 ms")

    def test_revision_of_the_same_document_makes_it_no_younger(self) -> None:
        # An operator wrote it an hour ago, and a host cut the history just
        # now.
        path = self.bench.directory / "settings.json5"
        text = path.read_text()
        path.write_text(
            text.replace('"min_proof_ms": 0', '"min_proof_ms": 3000000')
        )
        self.bench.republish_head(
            command_fixture.TRIAL_PREFIX, age_ms=3_600_000
        )
        outcome = self._promote(_Status.OK)
        self.assertEqual(1, outcome["revision"])

    def test_trial_itself_takes_no_promotion(self) -> None:
        outcome = self.bench.run("promote", "--env", "trial")
        self.assertEqual(_Status.REFUSED, outcome.exit_code)
        self.assertIn("NoPromotionSource", outcome.stderr)

    def test_promotion_does_not_bring_a_data_centre_back(self) -> None:
        self._promote(_Status.OK)
        out = self.bench.run(
            "data-centre", "out", "salem", "--env", "production"
        )
        self.assertEqual(0, out.exit_code, out.stderr)
        self._apply_in_trial(drained=("rota-1",))
        refused = self._promote(_Status.DANGEROUS)
        self.assertEqual(
            [("DataCentreBroughtBack", "salem")],
            [
                (danger["code"], danger["lost"])
                for danger in refused["plan"]["dangers"]
            ],
        )
        self._promote(_Status.OK, "--lose", "salem")

    def test_store_that_is_down_refuses_nothing_wrongly(self) -> None:
        self.bench.set_faults(is_down=True)
        self._promote(_Status.STORE_UNAVAILABLE)
