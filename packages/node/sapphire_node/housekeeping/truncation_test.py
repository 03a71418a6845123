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
    """Applies a document that drains one upstream, as an operator does."""
    seen = await stored_configuration.read_snapshot(environment)
    intent = changes.Intent(
        builders.document_bytes(drained=(drained,)),
        builders.bindings_bytes(),
        "ann",
    )
    return await changes.apply(environment, seen.ok, intent)


def run(body: Any) -> Any:
    """Runs a coroutine on the fake store to its end."""
    return fakes.SteppedTask(body).finish()


def keep_third_generation(
    configuration: records.Configuration,
) -> Mapping[str, int]:
    """Truncates to the third generation, if there are older ones."""
    service = configuration.services_by_name["rota"]
    return {"rota": 3} if service.generations[0].number < 3 else {}


class TruncationTest(testtools.TestCase):
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
        agreed_truncations: Callable[
            [records.Configuration], Mapping[str, int]
        ] = keep_third_generation,
        wall_ms: int = WALL_MS,
    ) -> fakes.SteppedTask[Any]:
        return fakes.SteppedTask(
            truncation.truncate_history(
                self.environment,
                agreed_truncations,
                author,
                self.store.time,
                lambda: wall_ms,
            )
        )

    def generation_numbers(self) -> list[int]:
        snapshot = run(stored_configuration.read_snapshot(self.environment)).ok
        service = snapshot.configuration.services_by_name["rota"]
        return [item.number for item in service.generations]

    def heads(self) -> list[Any]:
        return list(run(changes.read_history(self.environment)).ok)

    def actions(self) -> list[str]:
        return [head.change.action for head in self.heads()]

    def test_a_truncation_adds_one_revision(self) -> None:
        outcome = self.start().finish()
        self.assertTrue(outcome.is_ok())
        self.assertEqual([3], self.generation_numbers())
        self.assertEqual(1, self.actions().count(truncation.TRUNCATION_ACTION))

    def test_nothing_is_written_while_the_store_is_down(self) -> None:
        self.store.faults = [fakes.Fault.DOWN] * 100
        outcome = self.start().finish()
        self.store.faults = []
        self.assertEqual("LeaseNotHeld", outcome.error.code)
        self.assertEqual([1, 2, 3], self.generation_numbers())

    def test_nothing_is_written_without_agreed_truncations(self) -> None:
        outcome = self.start(agreed_truncations=lambda _: {}).finish()
        self.assertEqual("NothingToCut", outcome.error.code)
        self.assertEqual([1, 2, 3], self.generation_numbers())

    def test_a_fault_at_any_call_truncates_once_or_not_at_all(self) -> None:
        calls_before = self.store.call_count
        self.start().finish()
        call_count = self.store.call_count - calls_before
        for fault in fakes.Fault:
            for call in range(call_count):
                self.reset()
                self.store.faults = [fakes.Fault.NONE] * call + [fault]
                outcome = self.start().finish()
                self.store.faults = []
                self.store.apply_delayed_writes()
                case = f"{fault} at call {call}"
                truncation_count = self.actions().count(
                    truncation.TRUNCATION_ACTION
                )
                self.assertIn(truncation_count, (0, 1), case)
                expected = [3] if truncation_count else [1, 2, 3]
                self.assertEqual(expected, self.generation_numbers(), case)
                if outcome.is_ok():
                    self.assertEqual(1, truncation_count, case)

    def test_a_change_by_an_operator_at_any_step_is_kept(self) -> None:
        step_count = 0
        is_finished = False
        while not is_finished:
            self.reset()
            task = self.start()
            for _ in range(step_count):
                task.step()
            is_finished = task.is_done
            applied = run(apply(self.environment, "plans-1"))
            case = f"operator after {step_count} steps"
            self.assertTrue(applied.is_ok(), case)
            task.finish()
            snapshot = run(
                stored_configuration.read_snapshot(self.environment)
            ).ok
            plans = snapshot.configuration.services_by_name["plans"]
            upstream = plans.upstreams_by_name["plans-1"]
            self.assertEqual(
                records.UpstreamIntent.DRAIN, upstream.intent, case
            )
            step_count += 1
        self.assertGreater(step_count, 10)

    def test_a_stall_past_the_lease_at_any_step_truncates_once(self) -> None:
        """Another host truncates meanwhile; the history is truncated once."""
        step_count = 0
        is_finished = False
        while not is_finished:
            self.reset()
            stalled = self.start("h1")
            for _ in range(step_count):
                stalled.step()
            is_finished = stalled.is_done
            self.store.time.advance(truncation.LEASE_MS + 1)
            self.start("h2").finish()
            stalled.finish()
            case = f"stalled after {step_count} steps"
            self.assertEqual([3], self.generation_numbers(), case)
            truncation_count = self.actions().count(
                truncation.TRUNCATION_ACTION
            )
            self.assertEqual(1, truncation_count, case)
            revisions = [head.version.revision for head in self.heads()]
            self.assertEqual(sorted(set(revisions)), revisions)
            step_count += 1
        self.assertGreater(step_count, 10)

    def test_a_truncation_by_another_host_delays_the_next_one(self) -> None:
        self.start().finish()
        head = self.heads()[-1]
        one_second_later_ms = head.change.written_ms + 1_000
        outcome = self.start("h2", wall_ms=one_second_later_ms).finish()
        self.assertEqual("CutTooSoon", outcome.error.code)
