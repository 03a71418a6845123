import testtools

from sapphire_core.flows import data
from sapphire_core.flows import upstream_health
from sapphire_node import messages
from sapphire_node import probe_evaluation

STEP_MS = 1_000


class EvaluateProbeTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.health = upstream_health.UpstreamHealth()
        self.observations: list[data.UpstreamObservation] = []
        self.now_ms = 0

    def probe(self, boot_id: str | None) -> data.UpstreamObservation | None:
        """Evaluates one probe; None as `boot_id` stands for no response."""
        self.now_ms += STEP_MS
        probed = messages.UpstreamProbed(
            "u1", boot_id is not None, boot_id or ""
        )
        observation = probe_evaluation.evaluate_probe(
            self.health, probed, self.observations, self.now_ms
        )
        if observation is not None:
            self.observations = [observation]
        return observation

    def test_answers_of_one_process_change_nothing(self) -> None:
        for _ in range(20):
            self.assertIs(None, self.probe("boot-1"))

    def test_an_upstream_restarted_between_two_probes_is_cold(self) -> None:
        self.probe("boot-1")
        observation = self.probe("boot-2")
        assert observation is not None
        self.assertEqual(data.ObservedState.COLD, observation.state)
        self.assertEqual("boot-2", observation.boot_id)

    def test_one_lost_probe_does_not_fail_an_upstream(self) -> None:
        for boot_id in ("boot-1", None, "boot-1", None, "boot-1"):
            self.assertIs(None, self.probe(boot_id))

    def test_an_unreachable_upstream_fails_and_is_cold_when_it_is_back(
        self,
    ) -> None:
        self.probe("boot-1")
        states = [self.probe(None) for _ in range(20)]
        failed = [state for state in states if state is not None]
        self.assertEqual(1, len(failed))
        self.assertEqual(data.ObservedState.FAILED, failed[0].state)
        later_states = [self.probe("boot-1") for _ in range(20)]
        back = [state for state in later_states if state is not None]
        self.assertEqual(1, len(back))
        self.assertEqual(data.ObservedState.COLD, back[0].state)
        self.assertGreater(back[0].version, failed[0].version)
