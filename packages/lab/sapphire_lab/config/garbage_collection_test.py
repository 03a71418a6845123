from typing import Any

import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from sapphire_core.configuration import lease as leases
from sapphire_lab.config import builders
from sapphire_lab.config import fakes
from sapphire_net.store import change_failures
from sapphire_net.store import changes
from sapphire_net.store import garbage_collection
from sapphire_net.store import stored_configuration


async def apply(environment: Any, drained: str, author: str = "ann") -> Any:
    """Applies a document with one drained upstream.

    Args:
        environment: The environment.
        drained: The name of the upstream.
        author: The operator.

    Returns:
        The outcome, or a failure if the store can't be read.
    """
    snapshot = await stored_configuration.read_snapshot(environment)
    if snapshot.is_error():
        return snapshot
    intent = changes.Intent(
        builders.document_bytes(drained=(drained,)),
        builders.bindings_bytes(),
        author,
    )
    return await changes.apply(environment, snapshot.ok, intent)


def run(coroutine: Any) -> Any:
    """Runs a coroutine that calls a fake store to its end."""
    return fakes.SteppedTask(coroutine).finish()


class GarbageCollectionTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = fakes.FakeStore()
        self.environment = fakes.fake_environment(self.store)

    def collect(self, kept: int) -> Any:
        """Returns a coroutine that deletes the keys of older revisions.

        Args:
            kept: The number of newest revisions to keep.
        """
        return garbage_collection.collect(
            self.environment, self.store.time, kept
        )

    def test_only_keys_that_kept_revisions_need_remain(self) -> None:
        for drained in ("rota-1", "rota-2", "rota-3"):
            run(apply(self.environment, drained))
        count_before = len(self.store.state.items_by_key)
        outcome = run(self.collect(kept=2)).ok
        self.assertThat(outcome.is_finished, matchers.Equals(True))
        # The first head, its document and the two parts of its revision.
        self.assertThat(outcome.deleted, matchers.GreaterThan(3))
        count_after = len(self.store.state.items_by_key)
        self.assertThat(
            count_after, matchers.Equals(count_before - outcome.deleted + 1)
        )
        heads = run(changes.read_history(self.environment)).ok
        self.assertThat(len(heads), matchers.Equals(2))
        snapshot = run(stored_configuration.read_snapshot(self.environment)).ok
        outcome = run(changes.rollback(self.environment, snapshot, 2, "ann"))
        self.assertThat(outcome.is_ok(), matchers.Equals(True))

    def test_change_based_on_a_deleted_revision_is_a_conflict(self) -> None:
        run(apply(self.environment, "rota-1"))
        snapshot = run(stored_configuration.read_snapshot(self.environment)).ok
        run(apply(self.environment, "rota-2"))
        run(self.collect(kept=1))
        intent = changes.Intent(
            builders.document_bytes(), builders.bindings_bytes(), "ann"
        )
        outcome = run(changes.apply(self.environment, snapshot, intent))
        self.assertIsInstance(outcome.error, change_failures.WriteConflict)

    def test_lease_keeps_a_second_collection_out_and_is_revoked(self) -> None:
        run(apply(self.environment, "rota-1"))
        first = fakes.SteppedTask(self.collect(kept=1))
        while not self.store.state.leases_by_id:
            first.step()
        for _ in range(3):
            first.step()
        second = run(self.collect(kept=1))
        self.assertIsInstance(second.error, leases.LeaseNotHeld)
        first.finish()
        self.assertThat(len(self.store.state.leases_by_id), matchers.Equals(0))
        self.assertThat(
            run(self.collect(kept=1)).is_ok(), matchers.Equals(True)
        )

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(
        strategies.lists(strategies.integers(0, 3), max_size=160),
        strategies.lists(
            strategies.sampled_from(list(fakes.Fault)), max_size=30
        ),
    )
    def test_kept_revisions_stay_readable_while_operators_write(
        self, schedule: list[int], faults: list[fakes.Fault]
    ) -> None:
        store = fakes.FakeStore()
        environment = fakes.fake_environment(store)
        for drained in ("rota-1", "rota-2"):
            run(apply(environment, drained))
        store.faults = list(faults)
        tasks: list[fakes.SteppedTask[Any]] = [
            fakes.SteppedTask(apply(environment, "rota-1", "bob")),
            fakes.SteppedTask(apply(environment, "rota-3", "eve")),
            fakes.SteppedTask(
                garbage_collection.collect(environment, store.time, 1)
            ),
        ]
        for step in schedule:
            if step == len(tasks):
                store.apply_delayed_writes()
                continue
            tasks[step].step()
        for task in tasks:
            task.finish()
        store.apply_delayed_writes()
        store.faults = []
        self._check_all_readable(environment)

    def test_collection_at_any_step_of_a_change_deletes_none_of_its_keys(
        self,
    ) -> None:
        step_count = 0
        is_change_done = False
        while not is_change_done:
            store = fakes.FakeStore()
            environment = fakes.fake_environment(store)
            run(apply(environment, "rota-1"))
            change = fakes.SteppedTask(apply(environment, "rota-2"))
            for _ in range(step_count):
                change.step()
            is_change_done = change.is_done
            outcome = run(
                garbage_collection.collect(environment, store.time, 1)
            ).ok
            self.assertThat(outcome.is_finished, matchers.Equals(True))
            self.assertThat(change.finish().is_ok(), matchers.Equals(True))
            self._check_all_readable(environment)
            step_count += 1
        self.assertThat(step_count, matchers.GreaterThan(10))

    def _check_all_readable(self, environment: Any) -> None:
        """Reads all parts and documents that the kept revisions name."""
        for head in run(changes.read_history(environment)).ok:
            parts = run(stored_configuration.read_parts(environment, head))
            self.assertThat(parts.is_ok(), matchers.Equals(True))
            intent = run(changes.read_intent(environment, head, "ann", "read"))
            self.assertThat(intent.is_ok(), matchers.Equals(True))
