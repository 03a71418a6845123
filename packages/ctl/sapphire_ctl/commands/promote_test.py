"""Runs `promote`, also with documents that it refuses."""

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
        self.fixture = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        self.bindings = self.fixture.write_bindings()
        self._apply_in_trial()
        self._set_host_counts(bad_per_thousand=0)

    def _apply_in_trial(self, **changes: Any) -> None:
        outcome = self.fixture.run(
            "apply",
            self.fixture.write_document(**changes),
            "--bindings",
            self.bindings,
        )
        self.assertEqual(0, outcome.exit_code, outcome.stderr)

    def _set_host_counts(self, bad_per_thousand: int) -> None:
        """Sets the counts of the trial host: a thousand requests a minute.

        Args:
            bad_per_thousand: The bad ones of each thousand in the last five
                of ten minutes.
        """
        now_ms = clock.wall_time_ms()
        counters = slo_builders.counters_with_failures(
            now_ms - 600_000, now_ms, now_ms - 300_000, bad_per_thousand
        )
        self.fixture.trial_host.slo = slo_builders.host_slo_report(
            counters, "t1", now_ms
        )

    def _promote(self, expected: _Status, *arguments: str) -> Any:
        outcome = self.fixture.run(
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
        production = self.fixture.run_json("status", "--env", "production")
        self.assertEqual(0, production["store_revision"])

    def test_promoted_document_equals_that_of_the_trial_byte_for_byte(
        self,
    ) -> None:
        outcome = self._promote(_Status.OK)
        self.assertEqual(
            (1, True), (outcome["revision"], outcome["is_in_force"])
        )
        bytes_in_force = self.fixture.run(
            "history", "--document", "1", "--env", "production"
        ).stdout
        self.assertEqual(builders.document_bytes().decode(), bytes_in_force)
        digest = self.fixture.run_json("history")["revisions"][0]["change"][
            "document_digest"
        ]
        self.assertEqual(digest, outcome["plan"]["digest_after"])

    def test_document_not_proven_in_the_trial_is_refused(self) -> None:
        self._assert_not_proven("is not the one in force", "0000")
        self._set_host_counts(bad_per_thousand=200)
        self._assert_not_proven("requests_answered burns at level page-fast")
        self.fixture.trial_host.slo = None
        self._assert_not_proven("did not report its counts")
        self._assert_not_proven("0 events of 10")
        self._set_host_counts(bad_per_thousand=0)
        self._apply_in_trial(drained=("rota-1",))
        self.fixture.trial_host.max_active_revision = 1
        self._assert_not_proven("another document is in force")
        self.fixture.trial_host.invalid_response = b"[]"
        self._assert_not_proven("did not answer")

    def test_document_in_force_for_too_short_a_time_is_refused(self) -> None:
        path = self.fixture.directory / "settings.json5"
        text = path.read_text()
        path.write_text(
            text.replace('"min_proof_ms": 0', '"min_proof_ms": 3600000')
        )
        self._assert_not_proven("of 3600000 ms")

    def test_age_counts_from_the_first_revision_with_the_document(self) -> None:
        # An operator wrote it an hour ago; a host has just written a revision
        # with the same document, as when it truncates the history.
        path = self.fixture.directory / "settings.json5"
        text = path.read_text()
        path.write_text(
            text.replace('"min_proof_ms": 0', '"min_proof_ms": 3000000')
        )
        self.fixture.republish_head(
            command_fixture.TRIAL_PREFIX, age_ms=3_600_000
        )
        outcome = self._promote(_Status.OK)
        self.assertEqual(1, outcome["revision"])

    def test_promotion_to_an_environment_without_source_is_refused(
        self,
    ) -> None:
        outcome = self.fixture.run("promote", "--env", "trial")
        self.assertEqual(_Status.REFUSED, outcome.exit_code)
        self.assertIn("NoPromotionSource", outcome.stderr)

    def test_promotion_that_brings_a_data_centre_back_needs_lose(self) -> None:
        self._promote(_Status.OK)
        out = self.fixture.run(
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

    def test_unavailable_store_is_not_reported_as_unproven_document(
        self,
    ) -> None:
        self.fixture.set_faults(is_down=True)
        self._promote(_Status.STORE_UNAVAILABLE)
