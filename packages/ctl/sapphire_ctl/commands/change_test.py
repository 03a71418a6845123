"""Runs of the commands that change the configuration, with their failures."""

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
        self.bench = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)

    def _apply(self, *arguments: str, **changes: Any) -> Any:
        path = self.bench.write_document(**changes)
        return self.bench.run_json("apply", path, *arguments)

    def _apply_first(self) -> None:
        outcome = self._apply("--bindings", self.bench.write_bindings())
        self.assertEqual("ok", outcome["outcome"])

    def _assert_status(self, expected: _Status, *arguments: str) -> Any:
        outcome = self.bench.run(*arguments, "--json")
        self.assertEqual(expected, outcome.exit_code, outcome.stdout)
        return json.loads(outcome.stdout)

    def _codes(self, outcome: Any) -> list[str]:
        return [failure["code"] for failure in outcome["failures"]]

    def test_change_is_in_force_and_applying_it_again_does_nothing(
        self,
    ) -> None:
        self._apply_first()
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
        self.assertEqual(2, self.bench.run_json("status")["store_revision"])

    def test_all_errors_of_the_input_come_at_once(self) -> None:
        path = self.bench.write_file(
            "bad.json5", b'{"data_centres": {"x": {"state": 1}}, "b": 2}'
        )
        missing = str(self.bench.directory / "none.json5")
        outcome = self._assert_status(
            _Status.INVALID, "apply", path, "--bindings", missing
        )
        self.assertEqual(["UnreadableInput"], self._codes(outcome))
        outcome = self._assert_status(
            _Status.INVALID,
            "apply",
            path,
            "--bindings",
            self.bench.write_bindings(),
        )
        self.assertEqual(
            ["b", "data_centres.x.state", "services"],
            sorted(failure["path"] for failure in outcome["failures"]),
        )

    def test_plan_shows_flows_given_up_and_changes_nothing(self) -> None:
        self._apply_first()
        self.bench.trial_host.upstreams = tuple(
            api.UpstreamStatus(
                service="rota", upstream=name, data_centre=place, flows=flows
            )
            for name, place, flows in (
                ("rota-1", "tacoma", 70),
                ("rota-2", "salem", 5),
            )
        )
        path = self.bench.write_document(out=("tacoma",))
        outcome = self._assert_status(_Status.OK, "plan", path)
        self.assertEqual(
            [("plans", 0, 2, 1), ("rota", 70, 3, 2)],
            [
                (
                    effect["service"],
                    effect["flows_given_up"],
                    effect["upstreams_before"],
                    effect["upstreams_after"],
                )
                for effect in outcome["plan"]["effects"]
            ],
        )
        self.assertEqual(1, self.bench.run_json("status")["store_revision"])

    def test_dangerous_change_needs_the_name_of_what_is_lost(self) -> None:
        self._apply_first()
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

    def test_document_does_not_bring_back_what_operators_took_out(
        self,
    ) -> None:
        self._apply_first()
        self._assert_status(_Status.OK, "data-centre", "out", "salem")
        self._assert_status(_Status.OK, "upstream", "drain", "rota-1")
        path = self.bench.write_document()
        refused = self._assert_status(_Status.DANGEROUS, "apply", path)
        self.assertEqual(
            ["DataCentreBroughtBack", "UpstreamUndrained"],
            [danger["code"] for danger in refused["plan"]["dangers"]],
        )
        self._assert_status(_Status.OK, "data-centre", "in", "salem")
        self._assert_status(_Status.OK, "upstream", "undrain", "rota-1")

    def test_unknown_names_are_not_found(self) -> None:
        self._apply_first()
        for arguments in (
            ("data-centre", "out", "riga"),
            ("upstream", "drain", "rota-9"),
            ("rollback", "9"),
            ("history", "--document", "9"),
            ("status", "--env", "none"),
        ):
            self._assert_status(_Status.NOT_FOUND, *arguments)

    def test_rollback_is_a_new_revision_with_the_old_bytes(self) -> None:
        self._apply_first()
        first = self.bench.run("history", "--document", "1").stdout
        self.assertEqual(builders.document_bytes().decode(), first)
        self._apply(out=("tacoma",))
        outcome = self._assert_status(
            _Status.OK, "rollback", "1", "--lose", "tacoma"
        )
        self.assertEqual(3, outcome["revision"])
        third = self.bench.run("history", "--document", "3").stdout
        self.assertEqual(first, third)
        listed = self.bench.run_json("history")["revisions"]
        self.assertEqual(
            [(3, "rollback"), (2, "apply"), (1, "apply")],
            [(row["revision"], row["change"]["action"]) for row in listed],
        )

    def test_change_from_an_old_revision_shows_what_the_other_changed(
        self,
    ) -> None:
        self._apply_first()
        self._apply(drained=("rota-1",))
        path = self.bench.write_document(drained=("rota-2",))
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

    def test_racing_operators_have_one_winner_and_lose_nothing(self) -> None:
        self._apply_first()
        # Slow calls make both read revision 1 before either writes.
        self.bench.set_faults(slow_ms=30)
        names = ("rota-1", "rota-2")
        statuses_by_name: dict[str, int] = {}

        def drain(name: str) -> None:
            outcome = self.bench.run_without_capture(
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
        self.bench.set_faults()
        self.assertEqual(2, self.bench.run_json("status")["store_revision"])

    def test_lost_answer_is_recognised_and_applied_once(self) -> None:
        self._apply_first()
        self.bench.lose_head_answer(
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
        self.assertEqual(2, self.bench.run_json("status")["store_revision"])

    def test_unknown_outcome_is_not_reported_as_failed(self) -> None:
        self._apply_first()
        self.bench.lose_head_answer(
            command_fixture.TRIAL_PREFIX, then_down=True
        )
        outcome = self._assert_status(
            _Status.OUTCOME_UNKNOWN, "upstream", "drain", "rota-1"
        )
        self.assertEqual(["WriteUnconfirmed"], self._codes(outcome))
        self.bench.set_faults()
        # The change took effect, so that a second try has nothing to do.
        again = self._assert_status(_Status.OK, "upstream", "drain", "rota-1")
        self.assertIsNone(again["revision"])
        self.assertEqual(2, self.bench.run_json("status")["store_revision"])

    def test_store_that_is_down_costs_changes_but_not_the_view(self) -> None:
        self._apply_first()
        self.bench.set_faults(is_down=True)
        outcome = self._assert_status(
            _Status.STORE_UNAVAILABLE, "upstream", "drain", "rota-1"
        )
        self.assertIsNone(outcome["revision"])
        view = self._assert_status(_Status.STORE_UNAVAILABLE, "status")
        self.assertIsNone(view["store_revision"])
        self.assertEqual(1, view["hosts"][0]["active_revision"])

    def test_accepted_change_that_a_host_lacks_is_said_host_by_host(
        self,
    ) -> None:
        self._apply_first()
        self.bench.trial_host.max_active_revision = 1
        outcome = self._apply("--wait-ms", "300", drained=("rota-1",))
        self.assertEqual(
            (2, False, "not_in_force"),
            (outcome["revision"], outcome["is_in_force"], outcome["outcome"]),
        )
        view = self._assert_status(_Status.NOT_IN_FORCE, "status")
        self.assertEqual(
            [("t1", 1, 2)],
            [
                (item["host"], item["active_revision"], view["newest_revision"])
                for item in view["failures"]
            ],
        )
        self.bench.trial_host.invalid_response = b"{}"
        view = self._assert_status(_Status.HOSTS_UNREACHABLE, "status")
        self.assertFalse(view["is_in_force"])

    def test_first_document_needs_bindings(self) -> None:
        outcome = self._assert_status(
            _Status.INVALID, "apply", self.bench.write_document()
        )
        self.assertEqual(["NoBindings"], self._codes(outcome))

    def test_production_takes_no_document_of_its_own(self) -> None:
        outcome = self._assert_status(
            _Status.REFUSED,
            "apply",
            self.bench.write_document(),
            "--env",
            "production",
        )
        self.assertEqual(["PromotionRequired"], self._codes(outcome))
