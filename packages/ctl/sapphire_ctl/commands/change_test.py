"""Runs the commands that change the configuration, also with faults."""

import json
import threading
from typing import Any

import testtools

from sapphire_ctl import exit_statuses
from sapphire_lab.config import builders
from sapphire_lab.ctl import command_fixture
from sapphire_wire import api

_Status = exit_statuses.ExitStatus


class ChangeTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        context = command_fixture.open_fixture()
        self.fixture = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)

    def _apply(self, *arguments: str, **changes: Any) -> Any:
        path = self.fixture.write_document(**changes)
        return self.fixture.run_json("apply", path, *arguments)

    def _apply_initial_document(self) -> None:
        outcome = self._apply("--bindings", self.fixture.write_bindings())
        self.assertEqual("ok", outcome["outcome"])

    def _assert_status(self, expected: _Status, *arguments: str) -> Any:
        outcome = self.fixture.run(*arguments, "--json")
        self.assertEqual(expected, outcome.exit_code, outcome.stdout)
        return json.loads(outcome.stdout)

    def _codes(self, outcome: Any) -> list[str]:
        return [failure["code"] for failure in outcome["failures"]]

    def test_change_is_in_force_and_applying_it_again_writes_nothing(
        self,
    ) -> None:
        self._apply_initial_document()
        outcome = self._apply(drained=("rota-1",))
        self.assertEqual(
            (2, True), (outcome["revision"], outcome["is_in_force"])
        )
        self.assertEqual(
            [
                {
                    "path": "services.rota.generation",
                    "before": "1",
                    "after": "2",
                },
                {
                    "path": "services.rota.upstreams.rota-1.intent",
                    "before": "serve",
                    "after": "drain",
                },
            ],
            outcome["plan"]["differences"],
        )
        again = self._apply(drained=("rota-1",))
        self.assertIsNone(again["revision"])
        self.assertEqual(2, self.fixture.run_json("status")["store_revision"])

    def test_all_errors_of_the_input_are_reported_together(self) -> None:
        path = self.fixture.write_file(
            "bad.json5", b'{"data_centres": {"x": {"state": 1}}, "b": 2}'
        )
        missing = str(self.fixture.directory / "none.json5")
        outcome = self._assert_status(
            _Status.INVALID, "apply", path, "--bindings", missing
        )
        self.assertEqual(["UnreadableInput"], self._codes(outcome))
        outcome = self._assert_status(
            _Status.INVALID,
            "apply",
            path,
            "--bindings",
            self.fixture.write_bindings(),
        )
        self.assertEqual(
            ["b", "data_centres.x.state", "services"],
            sorted(failure["path"] for failure in outcome["failures"]),
        )

    def test_plan_counts_flows_opened_there_and_writes_nothing(self) -> None:
        self._apply_initial_document()
        self.fixture.trial_host.upstreams = tuple(
            api.UpstreamStatus(
                service="rota",
                upstream=name,
                data_centre=data_centre,
                flows=flows,
            )
            for name, data_centre, flows in (
                ("rota-1", "tacoma", 70),
                ("rota-2", "salem", 5),
            )
        )
        path = self.fixture.write_document(out=("tacoma",))
        outcome = self._assert_status(_Status.OK, "plan", path)
        self.assertEqual(
            [("plans", 0, 2, 1), ("rota", 70, 3, 2)],
            [
                (
                    effect["service"],
                    effect["flows_opened"],
                    effect["upstreams_before"],
                    effect["upstreams_after"],
                )
                for effect in outcome["plan"]["effects"]
            ],
        )
        self.assertEqual(1, self.fixture.run_json("status")["store_revision"])

    def test_dangerous_change_needs_lose_with_the_lost_name(self) -> None:
        self._apply_initial_document()
        out = ("data-centre", "out")
        self._assert_status(_Status.OK, *out, "salem")
        # Service plans has upstreams in tacoma and salem only.
        refused = self._assert_status(_Status.DANGEROUS, *out, "tacoma")
        self.assertEqual(["DangersNotAcknowledged"], self._codes(refused))
        self.assertEqual("plans", refused["plan"]["dangers"][0]["lost"])
        self._assert_status(_Status.DANGEROUS, *out, "tacoma", "--lose", "rota")
        self._assert_status(_Status.OK, *out, "tacoma", "--lose", "plans")
        last = self._assert_status(
            _Status.DANGEROUS, *out, "spokane", "--lose", "rota"
        )
        self.assertEqual(
            "LastDataCentreOut", last["plan"]["dangers"][-1]["code"]
        )
        self._assert_status(
            _Status.OK, *out, "spokane", "--lose", "rota", "--lose", "spokane"
        )

    def test_document_that_reverts_a_data_centre_out_or_drain_is_refused(
        self,
    ) -> None:
        self._apply_initial_document()
        self._assert_status(_Status.OK, "data-centre", "out", "salem")
        self._assert_status(_Status.OK, "upstream", "drain", "rota-1")
        path = self.fixture.write_document()
        refused = self._assert_status(_Status.DANGEROUS, "apply", path)
        self.assertEqual(
            ["DataCentreBroughtBack", "UpstreamUndrained"],
            [danger["code"] for danger in refused["plan"]["dangers"]],
        )
        self._assert_status(_Status.OK, "data-centre", "in", "salem")
        self._assert_status(_Status.OK, "upstream", "undrain", "rota-1")

    def test_unknown_names_are_not_found(self) -> None:
        self._apply_initial_document()
        for arguments in (
            ("data-centre", "out", "riga"),
            ("upstream", "drain", "rota-9"),
            ("rollback", "9"),
            ("history", "--document", "9"),
            ("status", "--env", "none"),
        ):
            self._assert_status(_Status.NOT_FOUND, *arguments)

    def test_rollback_writes_a_new_revision_with_the_old_bytes(self) -> None:
        self._apply_initial_document()
        first = self.fixture.run("history", "--document", "1").stdout
        self.assertEqual(builders.document_bytes().decode(), first)
        self._apply(out=("tacoma",))
        outcome = self._assert_status(
            _Status.OK, "rollback", "1", "--lose", "tacoma"
        )
        self.assertEqual(3, outcome["revision"])
        third = self.fixture.run("history", "--document", "3").stdout
        self.assertEqual(first, third)
        listed = self.fixture.run_json("history")["revisions"]
        self.assertEqual(
            [(3, "rollback"), (2, "apply"), (1, "apply")],
            [(row["revision"], row["change"]["action"]) for row in listed],
        )

    def test_conflict_lists_the_differences_since_the_seen_revision(
        self,
    ) -> None:
        self._apply_initial_document()
        self._apply(drained=("rota-1",))
        path = self.fixture.write_document(drained=("rota-2",))
        outcome = self._assert_status(
            _Status.CONFLICT, "apply", path, "--seen", "1"
        )
        conflict = outcome["failures"][0]
        self.assertEqual(
            ("WriteConflict", 2, "ann"),
            (
                conflict["code"],
                conflict["current_revision"],
                conflict["author"],
            ),
        )
        self.assertIn(
            "services.rota.upstreams.rota-1.intent",
            [item["path"] for item in conflict["differences"]],
        )

    def test_of_two_concurrent_changes_one_is_applied_and_one_conflicts(
        self,
    ) -> None:
        self._apply_initial_document()
        # Slow store calls make both read revision 1 before either writes.
        self.fixture.set_faults(slow_ms=30)
        names = ("rota-1", "rota-2")
        statuses_by_name: dict[str, int] = {}

        def drain(name: str) -> None:
            outcome = self.fixture.run_without_capture(
                "upstream", "drain", name, "--seen", "1"
            )
            statuses_by_name[name] = outcome

        threads = [
            threading.Thread(target=drain, args=(name,)) for name in names
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(
            [_Status.OK, _Status.CONFLICT], sorted(statuses_by_name.values())
        )
        self.fixture.set_faults()
        self.assertEqual(2, self.fixture.run_json("status")["store_revision"])

    def test_change_is_applied_once_if_the_answer_of_the_store_is_lost(
        self,
    ) -> None:
        self._apply_initial_document()
        self.fixture.lose_head_answer(
            command_fixture.TRIAL_PREFIX, then_down=False
        )
        outcome = self._apply(drained=("rota-1",))
        self.assertEqual(
            ("ok", 2, True),
            (
                outcome["outcome"],
                outcome["revision"],
                outcome["was_answer_lost"],
            ),
        )
        self.assertEqual(2, self.fixture.run_json("status")["store_revision"])

    def test_unconfirmed_write_is_reported_as_outcome_unknown(self) -> None:
        self._apply_initial_document()
        self.fixture.lose_head_answer(
            command_fixture.TRIAL_PREFIX, then_down=True
        )
        outcome = self._assert_status(
            _Status.OUTCOME_UNKNOWN, "upstream", "drain", "rota-1"
        )
        self.assertEqual(["WriteUnconfirmed"], self._codes(outcome))
        self.fixture.set_faults()
        # The first write took effect, so the second has nothing to change.
        again = self._assert_status(_Status.OK, "upstream", "drain", "rota-1")
        self.assertIsNone(again["revision"])
        self.assertEqual(2, self.fixture.run_json("status")["store_revision"])

    def test_status_shows_hosts_while_the_store_is_down(self) -> None:
        self._apply_initial_document()
        self.fixture.set_faults(is_down=True)
        outcome = self._assert_status(
            _Status.STORE_UNAVAILABLE, "upstream", "drain", "rota-1"
        )
        self.assertIsNone(outcome["revision"])
        status = self._assert_status(_Status.STORE_UNAVAILABLE, "status")
        self.assertIsNone(status["store_revision"])
        self.assertEqual(1, status["hosts"][0]["active_revision"])

    def test_hosts_without_the_accepted_change_are_listed(
        self,
    ) -> None:
        self._apply_initial_document()
        self.fixture.trial_host.max_active_revision = 1
        outcome = self._apply("--wait-ms", "300", drained=("rota-1",))
        self.assertEqual(
            (2, False, "not_in_force"),
            (outcome["revision"], outcome["is_in_force"], outcome["outcome"]),
        )
        status = self._assert_status(_Status.NOT_IN_FORCE, "status")
        self.assertEqual(
            [("t1", 1, 2)],
            [
                (
                    item["host"],
                    item["active_revision"],
                    status["newest_revision"],
                )
                for item in status["failures"]
            ],
        )
        self.fixture.trial_host.invalid_response = b"{}"
        status = self._assert_status(_Status.HOSTS_UNREACHABLE, "status")
        self.assertFalse(status["is_in_force"])

    def test_first_document_needs_bindings(self) -> None:
        outcome = self._assert_status(
            _Status.INVALID, "apply", self.fixture.write_document()
        )
        self.assertEqual(["NoBindings"], self._codes(outcome))

    def test_apply_is_refused_where_promotion_is_required(self) -> None:
        outcome = self._assert_status(
            _Status.REFUSED,
            "apply",
            self.fixture.write_document(),
            "--env",
            "production",
        )
        self.assertEqual(["PromotionRequired"], self._codes(outcome))
