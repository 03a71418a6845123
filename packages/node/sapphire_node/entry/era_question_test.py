import anyio
import testtools

from sapphire_core.replication import data
from sapphire_data import clock as clock_lib
from sapphire_lab.tagged_flows import host_builders
from sapphire_lab.tagged_flows import scripted_store
from sapphire_net import pauses
from sapphire_node.entry import era_question

SILENT = data.SourceSilent("no response")
CLAIMED = 7


class EraQuestionTest(testtools.TestCase):
    """A host of era 1 hears from a peer that the store is in era 7."""

    def setUp(self) -> None:
        super().setUp()
        self.state = host_builders.state()
        self.state.record_store_era(1, 0)
        self.state.era_by_scope[data.Scope.INTENT] = 1
        self.state.eras.record_claim(CLAIMED)
        self.store = scripted_store.ScriptedStore([])
        self.store.era = 1
        self.paused_ms: list[int] = []

        async def record_pause(duration_ms: int) -> None:
            self.paused_ms.append(duration_ms)
            await anyio.sleep(0)

        self.patch(pauses, "sleep_ms", record_pause)
        self.question = era_question.EraQuestion(
            scripted_store.ScriptedPlatform(self.store),
            self.state,
            clock_lib.ManualClock(1_000),
        )

    def ask(self, *answers: scripted_store.Answer) -> None:
        """Asks a store that gives some answers."""
        self.store.answers = list(answers)
        anyio.run(self.question.ask)

    def test_an_era_that_the_store_names_is_accepted(self) -> None:
        self.ask(CLAIMED)
        self.assertEqual(CLAIMED, self.state.eras.accepted)
        self.assertEqual(1_000, self.state.eras.restored_ms)

    def test_an_error_of_the_store_confirms_the_era_too(self) -> None:
        self.store.era = CLAIMED
        self.ask(data.SourceUnavailable("status 429"))
        self.assertEqual(CLAIMED, self.state.eras.named)

    def test_a_forged_era_is_not_accepted(self) -> None:
        self.ask(1)
        self.assertEqual(1, self.state.eras.accepted)

    def test_without_answers_of_the_store_peers_are_believed(self) -> None:
        """Pattern: a data centre is cut off from the store during a drill."""
        self.ask(SILENT, SILENT)
        self.assertEqual(CLAIMED, self.state.eras.accepted)
        self.assertEqual(1, self.state.eras.named)
        self.ask(1)
        self.assertEqual(1, self.state.eras.accepted)

    def test_forged_claims_cost_the_store_one_call_in_an_interval(self) -> None:
        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.question.run)
                for _ in range(20):
                    await anyio.sleep(0)
                tasks.cancel_scope.cancel()

        self.store.answers = [1]
        anyio.run(main)
        self.assertEqual(["era"], self.store.calls)
        self.assertLess(self.paused_ms[0], era_question.ASK_SPREAD_MS)
        self.assertEqual(era_question.ASK_INTERVAL_MS, self.paused_ms[1])
