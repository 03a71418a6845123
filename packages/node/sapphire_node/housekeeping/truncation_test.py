from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import testtools

from sapphire_data import records
from sapphire_lab.config import builders
from sapphire_lab.config import fakes
from sapphire_net.store import changes
from sapphire_net.store import stored_configuration
from sapphire_node.housekeeping import truncation

WALL_MS = 1_800_000_000_000


async def apply(environment: Any, drained: str) -> Any:
    """Applies a document with one drained upstream, as an operator."""
    seen = await stored_configuration.read_snapshot(environment)
    intent = changes.Intent(
        builders.document_bytes(drained=(drained,)),
        builders.bindings_bytes(),
        "ann",
    )
    return await changes.apply(environment, seen.ok, intent)


def run(body: Any) -> Any:
    """Runs a coroutine on a store in memory to its end."""
    return fakes.SteppedTask(body).finish()


def agree(configuration: records.Configuration) -> Mapping[str, int]:
    """Allows to keep only the third generation."""
    service = configuration.services_by_name["rota"]
    return {"rota": 3} if service.generations[0].number < 3 else {}


class CuttingTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.reset()

    def reset(self) -> None:
        self.store = fakes.FakeStore()
        self.environment = fakes.fake_environment(self.store)
        for drained in ("rota-1", "rota-2", "rota-3"):
            run(apply(self.environment, drained))

    def start(
        self,
        author: str = "h1",
        allowed: Callable[[records.Configuration], Mapping[str, int]] = agree,
        wall_ms: int = WALL_MS,
    ) -> fakes.SteppedTask[Any]:
        return fakes.SteppedTask(
            truncation.cut(
                self.environment,
                allowed,
                author,
                self.store.time,
                lambda: wall_ms,
            )
        )

    def numbers(self) -> list[int]:
        snapshot = run(stored_configuration.read_snapshot(self.environment)).ok
        service = snapshot.configuration.services_by_name["rota"]
        return [item.number for item in service.generations]

    def heads(self) -> list[Any]:
        return list(run(changes.read_history(self.environment)).ok)

    def actions(self) -> list[str]:
        return [head.change.action for head in self.heads()]

    def test_a_cut_is_one_new_revision(self) -> None:
        outcome = self.start().finish()
        self.assertTrue(outcome.is_ok())
        self.assertEqual([3], self.numbers())
        self.assertEqual(1, self.actions().count(truncation.CUT_ACTION))

    def test_a_store_that_is_down_is_left_as_it_is(self) -> None:
        self.store.faults = [fakes.Fault.DOWN] * 100
        outcome = self.start().finish()
        self.store.faults = []
        self.assertEqual("LeaseNotHeld", outcome.error.code)
        self.assertEqual([1, 2, 3], self.numbers())

    def test_what_the_hosts_no_longer_allow_is_not_written(self) -> None:
        outcome = self.start(allowed=lambda _: {}).finish()
        self.assertEqual("NothingToCut", outcome.error.code)
        self.assertEqual([1, 2, 3], self.numbers())

    def test_a_fault_at_any_call_cuts_once_or_not_at_all(self) -> None:
        counting = self.store.call_count
        self.start().finish()
        call_count = self.store.call_count - counting
        for fault in fakes.Fault:
            for call in range(call_count):
                self.reset()
                self.store.faults = [fakes.Fault.NONE] * call + [fault]
                outcome = self.start().finish()
                self.store.faults = []
                self.store.apply_delayed_writes()
                moment = f"{fault} at call {call}"
                cut_count = self.actions().count(truncation.CUT_ACTION)
                self.assertIn(cut_count, (0, 1), moment)
                expected = [3] if cut_count else [1, 2, 3]
                self.assertEqual(expected, self.numbers(), moment)
                if outcome.is_ok():
                    self.assertEqual(1, cut_count, moment)

    def test_an_operator_at_any_moment_loses_nothing(self) -> None:
        step_count = 0
        is_over = False
        while not is_over:
            self.reset()
            task = self.start()
            for _ in range(step_count):
                task.step()
            is_over = task.is_done
            applied = run(apply(self.environment, "plans-1"))
            moment = f"operator after {step_count} steps"
            self.assertTrue(applied.is_ok(), moment)
            task.finish()
            snapshot = run(
                stored_configuration.read_snapshot(self.environment)
            ).ok
            plans = snapshot.configuration.services_by_name["plans"]
            upstream = plans.upstreams_by_name["plans-1"]
            self.assertEqual(
                records.UpstreamIntent.DRAIN, upstream.intent, moment
            )
            step_count += 1
        self.assertGreater(step_count, 10)

    def test_a_pause_past_the_lease_at_any_moment(self) -> None:
        """Another host works meanwhile; the history is cut once."""
        step_count = 0
        is_over = False
        while not is_over:
            self.reset()
            paused = self.start("h1")
            for _ in range(step_count):
                paused.step()
            is_over = paused.is_done
            self.store.time.advance(truncation.LEASE_MS + 1)
            self.start("h2").finish()
            paused.finish()
            moment = f"paused after {step_count} steps"
            self.assertEqual([3], self.numbers(), moment)
            cut_count = self.actions().count(truncation.CUT_ACTION)
            self.assertEqual(1, cut_count, moment)
            revisions = [head.version.revision for head in self.heads()]
            self.assertEqual(sorted(set(revisions)), revisions)
            step_count += 1
        self.assertGreater(step_count, 10)

    def test_a_cut_by_another_host_counts_for_the_rate(self) -> None:
        self.start().finish()
        head = self.heads()[-1]
        soon_ms = head.change.written_ms + 1_000
        outcome = self.start("h2", wall_ms=soon_ms).finish()
        self.assertEqual("CutTooSoon", outcome.error.code)
