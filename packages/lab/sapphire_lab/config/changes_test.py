from typing import Any

import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from sapphire_core.configuration import dangers
from sapphire_lab.config import builders
from sapphire_lab.config import fakes
from sapphire_net.store import change_failures
from sapphire_net.store import changes
from sapphire_net.store import publication
from sapphire_net.store import stored_configuration

ALL_DATA_CENTRES = ("salem", "spokane", "tacoma")


def intent(author: str = "ann", **document: Any) -> changes.Intent:
    """Returns an intent to apply a document of the default pools.

    Args:
        author: The operator.
        **document: Arguments of `builders.document_bytes`.
    """
    return changes.Intent(
        document=builders.document_bytes(**document),
        bindings=builders.bindings_bytes(),
        author=author,
        acknowledged=ALL_DATA_CENTRES,
    )


async def read_and_apply(environment: Any, change: changes.Intent) -> Any:
    """Applies an intent to the configuration in force."""
    snapshot = (await stored_configuration.read_snapshot(environment)).ok
    return await changes.apply(environment, snapshot, change)


def run(coroutine: Any) -> Any:
    """Runs a coroutine that calls a fake store to its end."""
    return fakes.SteppedTask(coroutine).finish()


class ApplyTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = fakes.FakeStore()
        self.environment = fakes.fake_environment(self.store)

    def snapshot(self) -> stored_configuration.Snapshot:
        """Returns the configuration in force, as read from the store."""
        snapshot: stored_configuration.Snapshot = run(
            stored_configuration.read_snapshot(self.environment)
        ).ok
        return snapshot

    def test_applied_document_is_in_force_with_its_history(self) -> None:
        first = run(read_and_apply(self.environment, intent()))
        second = run(
            read_and_apply(self.environment, intent(drained=("rota-1",)))
        )
        self.assertThat(first.ok.was_answer_lost, matchers.Equals(False))
        self.assertThat(second.ok.stored.revision, matchers.Equals(2))
        heads = run(changes.read_history(self.environment)).ok
        revisions = [head.version.revision for head in heads]
        self.assertThat(revisions, matchers.Equals([1, 2]))
        service = self.snapshot().configuration.services_by_name["rota"]
        self.assertThat(len(service.generations), matchers.Equals(2))

    def test_second_of_two_racing_changes_gets_the_first_in_a_conflict(
        self,
    ) -> None:
        run(read_and_apply(self.environment, intent()))
        snapshot = self.snapshot()
        run(
            changes.apply(
                self.environment, snapshot, intent("bob", out=("salem",))
            )
        )
        second = run(changes.apply(self.environment, snapshot, intent("ann")))
        conflict = second.error
        self.assertIsInstance(conflict, change_failures.WriteConflict)
        self.assertThat(conflict.author, matchers.Equals("bob"))
        after_by_path = {item.path: item.after for item in conflict.differences}
        self.assertThat(
            after_by_path["data_centres.salem.state"], matchers.Equals("out")
        )

    def test_change_whose_head_write_got_no_answer_is_applied_once(
        self,
    ) -> None:
        for fault in (
            fakes.Fault.LOST_ANSWER,
            fakes.Fault.LOST_REQUEST,
            fakes.Fault.LATE_EFFECT,
        ):
            store = fakes.FakeStore()
            environment = fakes.fake_environment(store)
            snapshot = run(stored_configuration.read_snapshot(environment)).ok
            planned = changes.plan(snapshot, intent()).ok.proposal
            call_count = store.call_count
            run(publication.publish(environment, planned))
            # The last call of a change without faults is the compare-and-swap
            # of the head.
            calls_before_swap = store.call_count - call_count - 1
            store = fakes.FakeStore()
            environment = fakes.fake_environment(store)
            store.faults = [fakes.Fault.NONE] * calls_before_swap + [fault]
            outcome = run(publication.publish(environment, planned))
            self.assertThat(outcome.is_ok(), matchers.Equals(True))
            store.apply_delayed_writes()
            heads = run(changes.read_history(environment)).ok
            self.assertThat(heads, matchers.HasLength(1))
            self.assertThat(
                outcome.ok.was_answer_lost,
                matchers.Equals(fault is fakes.Fault.LOST_ANSWER),
            )

    def test_change_while_the_store_is_down_is_known_to_have_no_effect(
        self,
    ) -> None:
        snapshot = self.snapshot()
        planned = changes.plan(snapshot, intent()).ok.proposal
        self.store.faults = [fakes.Fault.DOWN] * 100
        outcome = run(publication.publish(self.environment, planned))
        self.assertThat(outcome.is_error(), matchers.Equals(True))
        self.assertNotIsInstance(
            outcome.error, change_failures.WriteUnconfirmed
        )

    def test_unknown_outcome_can_be_resolved_later(self) -> None:
        snapshot = self.snapshot()
        planned = changes.plan(snapshot, intent()).ok.proposal
        call_count = self.store.call_count
        other_store = fakes.FakeStore()
        run(publication.publish(fakes.fake_environment(other_store), planned))
        calls_before_swap = other_store.call_count - 1
        self.assertThat(call_count, matchers.Equals(1))
        self.store.faults = [fakes.Fault.NONE] * calls_before_swap
        self.store.faults += [fakes.Fault.LATE_EFFECT]
        self.store.faults += [fakes.Fault.DOWN] * 100
        outcome = run(publication.publish(self.environment, planned))
        failure = outcome.error
        self.assertIsInstance(failure, change_failures.WriteUnconfirmed)
        self.store.faults = []
        arguments = (self.environment, failure.writer_id, failure.revision)
        change_outcome = run(publication.resolve(*arguments)).ok
        self.assertIs(change_outcome, publication.ChangeOutcome.OPEN)
        self.store.apply_delayed_writes()
        change_outcome = run(publication.resolve(*arguments)).ok
        self.assertIs(change_outcome, publication.ChangeOutcome.APPLIED)

    def test_all_errors_of_an_intent_are_reported(self) -> None:
        outcome = run(
            read_and_apply(self.environment, changes.Intent(b"{", b"{}", "ann"))
        )
        self.assertIsInstance(outcome.error, change_failures.IntentInvalid)
        self.assertThat(outcome.error.errors, matchers.HasLength(3))

    def test_rollback_is_a_new_revision_with_the_earlier_document(self) -> None:
        run(read_and_apply(self.environment, intent()))
        run(read_and_apply(self.environment, intent(out=("salem",))))
        snapshot = self.snapshot()
        outcome = run(changes.rollback(self.environment, snapshot, 1, "ann"))
        self.assertThat(outcome.ok.stored.revision, matchers.Equals(3))
        salem = self.snapshot().configuration.data_centres_by_name["salem"]
        self.assertThat(salem.state.value, matchers.Equals("in"))
        missing = run(changes.rollback(self.environment, snapshot, 99, "ann"))
        self.assertEqual(change_failures.RevisionNotFound(99), missing.error)

    def test_truncation_removes_generations_as_a_new_revision(self) -> None:
        run(read_and_apply(self.environment, intent()))
        run(read_and_apply(self.environment, intent(drained=("rota-1",))))
        outcome = run(
            changes.truncate_history(
                self.environment, self.snapshot(), {"rota": 2}, "host"
            )
        )
        self.assertThat(outcome.ok.stored.revision, matchers.Equals(3))
        service = self.snapshot().configuration.services_by_name["rota"]
        self.assertThat(len(service.generations), matchers.Equals(1))
        # The document of the truncated revision can still be read.
        rolled_back = run(
            changes.rollback(self.environment, self.snapshot(), 3, "ann")
        )
        self.assertThat(rolled_back.is_ok(), matchers.Equals(True))

    def test_revision_is_higher_than_the_floor(self) -> None:
        change = changes.Intent(
            builders.document_bytes(),
            builders.bindings_bytes(),
            "ann",
            revision_floor=41,
        )
        outcome = run(read_and_apply(self.environment, change))
        self.assertThat(outcome.ok.stored.revision, matchers.Equals(42))

    def test_change_with_losses_needs_their_names_as_acknowledgement(
        self,
    ) -> None:
        run(read_and_apply(self.environment, intent()))
        document = builders.document_bytes(out=ALL_DATA_CENTRES)
        change = changes.Intent(document, builders.bindings_bytes(), "ann")
        refused = run(read_and_apply(self.environment, change)).error
        self.assertIsInstance(refused, change_failures.DangersNotAcknowledged)
        lost = sorted(danger.lost for danger in refused.dangers)
        self.assertThat(
            lost, matchers.Equals(sorted(("plans", "rota", *ALL_DATA_CENTRES)))
        )
        danger_types = {type(danger) for danger in refused.dangers}
        self.assertEqual(
            {dangers.ServiceWithoutUpstream, dangers.LastDataCentreOut},
            danger_types,
        )
        acknowledged = changes.Intent(
            document, builders.bindings_bytes(), "ann", acknowledged=lost
        )
        self.assertThat(
            run(read_and_apply(self.environment, acknowledged)).is_ok(),
            matchers.Equals(True),
        )


class RaceTest(testtools.TestCase):
    """Operators race while answers are lost and writes are delayed."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(
        strategies.lists(strategies.integers(0, 3), max_size=160),
        strategies.lists(
            strategies.sampled_from(list(fakes.Fault)), max_size=40
        ),
    )
    def test_no_change_is_lost_or_applied_twice(
        self, schedule: list[int], faults: list[fakes.Fault]
    ) -> None:
        store = fakes.FakeStore()
        environment = fakes.fake_environment(store)
        run(read_and_apply(environment, intent("first")))
        variants: tuple[dict[str, Any], ...] = (
            {"drained": ("rota-1",)},
            {"out": ("salem",)},
            {},
        )
        tasks: list[fakes.SteppedTask[Any]] = []
        for index, variant in enumerate(variants):
            change = intent(f"operator-{index}", **variant)
            tasks.append(fakes.SteppedTask(self._apply(environment, change)))
        store.faults = list(faults)
        for step in schedule:
            if step == len(tasks):
                store.apply_delayed_writes()
                continue
            tasks[step].step()
        outcomes = [task.finish() for task in tasks]
        store.apply_delayed_writes()
        store.faults = []
        self._check(environment, outcomes)

    async def _apply(self, environment: Any, change: changes.Intent) -> Any:
        """Applies an intent; returns a failure if the store can't be read."""
        snapshot = await stored_configuration.read_snapshot(environment)
        if snapshot.is_error():
            return snapshot
        return await changes.apply(environment, snapshot.ok, change)

    def _check(self, environment: Any, outcomes: list[Any]) -> None:
        """Checks the outcomes of all operators against the stored history."""
        heads = run(changes.read_history(environment)).ok
        revisions = [head.version.revision for head in heads]
        self.assertEqual(list(range(1, len(heads) + 1)), revisions)
        in_force = run(stored_configuration.read_snapshot(environment)).ok
        self.assertEqual(heads[-1].version, in_force.stored.head.version)
        authors = [head.change.author for head in heads]
        for index, outcome in enumerate(outcomes):
            count = authors.count(f"operator-{index}")
            if outcome.is_ok():
                self.assertEqual(1, count)
                continue
            if isinstance(outcome.error, change_failures.WriteUnconfirmed):
                self.assertLessEqual(count, 1)
                continue
            self.assertEqual(0, count, str(outcome.error))
