import random

import testtools

from sapphire_core.peers import outcome_reports
from sapphire_core.tagged_flows.health import outlier_ejection
from sapphire_lab.tagged_flows import builders
from sapphire_lab.tagged_flows import outcome_builders

SERVICE = "board"
# Three hosts that each saw a request fail, and one that did not.
FAILING = outcome_builders.evidence((0, 1), (0, 1), (0, 1), (1, 0))
SOUND = outcome_builders.evidence((3, 0), (3, 0), (3, 1))
SLOW = outcome_reports.Evidence(
    None, (outcome_builders.counts(5, 0, time_ratio=6.0),) * 3, 0
)
STEP_MS = 250


class OutlierEjectionTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.ejection = outlier_ejection.OutlierEjection()
        self.rng = random.Random(builders.SEED)
        self.now_ms = 0
        self.changes: list[outlier_ejection.EjectionChange] = []

    def run_for(
        self,
        duration_ms: int,
        evidence_by_tag: dict[int, outcome_reports.Evidence],
        *,
        members: int = 10,
        in_flight: float = 0.0,
    ) -> list[str]:
        """Judges upstreams for some time, by the same evidence.

        Returns:
            The upstreams that are ejected or on trial at the end.
        """
        for _ in range(0, duration_ms, STEP_MS):
            self.now_ms += STEP_MS
            self.ejection.note_suspects(evidence_by_tag.keys(), self.now_ms)
            self.changes += self.ejection.update(
                SERVICE,
                [
                    outlier_ejection.Member(f"i-{tag}", tag, 2, in_flight)
                    for tag in range(members)
                ],
                evidence_by_tag,
                self.now_ms,
            )
        return sorted(self.ejection.ejected_ids())

    def penalties(self, upstream_id: str) -> list[float]:
        """Returns the penalties that a hundred new flows see."""
        return [
            self.ejection.penalty(upstream_id, self.rng, self.now_ms)
            for _ in range(100)
        ]

    def test_a_failing_and_a_slow_upstream_are_ejected(self) -> None:
        ejected = self.run_for(1_000, {1: FAILING, 2: SOUND, 3: SLOW})
        self.assertEqual(["i-1", "i-3"], ejected)
        self.assertGreater(min(self.penalties("i-1")), 0)

    def test_the_penalty_grows_with_the_share_of_failures(self) -> None:
        half = outcome_builders.evidence(*[(3, 1)] * 6)
        whole = outcome_builders.evidence(*[(0, 2)] * 6)
        self.run_for(1_000, {1: half, 2: whole})
        self.assertGreater(
            min(self.penalties("i-2")), 1.5 * max(self.penalties("i-1"))
        )

    def test_an_ejected_upstream_is_used_when_the_others_are_full(
        self,
    ) -> None:
        self.run_for(1_000, {1: FAILING})
        most = outlier_ejection.MAX_PENALTY_OF_SLOT * 2
        self.assertLessEqual(max(self.penalties("i-1")), most)

    def test_nothing_is_ejected_before_the_counts_have_arrived(self) -> None:
        settling_ms = outlier_ejection.SETTLING_MS
        self.assertEqual([], self.run_for(settling_ms, {1: FAILING}))

    def test_one_peer_alone_ejects_nothing(self) -> None:
        liar = (0, outcome_reports.MAX_REQUESTS_OF_HOST)
        for evidence in (
            outcome_builders.evidence(liar),
            outcome_builders.evidence(liar, (8, 0), (8, 0)),
            outcome_builders.evidence(liar, (3, 1), (4, 0), own=(4, 0)),
        ):
            self.assertEqual([], self.run_for(2_000, {1: evidence}))

    def test_one_slow_peer_alone_ejects_nothing(self) -> None:
        liar = outcome_builders.counts(8, 0, time_ratio=10.0)
        sound = outcome_builders.counts(8, 0)
        evidence = outcome_reports.Evidence(None, (liar, sound, sound), 0)
        self.assertEqual([], self.run_for(2_000, {1: evidence}))

    def test_a_single_slow_response_ejects_nothing(self) -> None:
        slow = outcome_builders.counts(1, 0, time_ratio=10.0)
        evidence = outcome_reports.Evidence(slow, (), 0)
        self.assertEqual([], self.run_for(2_000, {1: evidence}))

    def test_a_peer_hides_a_failing_upstream_by_its_share_only(self) -> None:
        liar = (outcome_reports.MAX_REQUESTS_OF_HOST, 0)
        evidence = outcome_builders.evidence(liar, *[(0, 1)] * 8)
        self.assertEqual(["i-1"], self.run_for(1_000, {1: evidence}))

    def test_few_requests_of_many_hosts_are_enough(self) -> None:
        evidence = outcome_builders.evidence(*[(0, 1)] * 4, *[(1, 0)] * 3)
        self.assertEqual(["i-1"], self.run_for(1_000, {1: evidence}))

    def test_own_evidence_is_enough(self) -> None:
        evidence = outcome_builders.evidence(own=(1, 4))
        self.assertEqual(["i-1"], self.run_for(1_000, {1: evidence}))

    def test_nothing_is_ejected_where_most_do_badly(self) -> None:
        failing = dict.fromkeys(range(6), FAILING)
        self.assertEqual([], self.run_for(2_000, failing))

    def test_no_more_than_the_stated_share_is_ejected(self) -> None:
        for first in range(0, 10, 2):
            self.run_for(1_000, dict.fromkeys((first, first + 1), FAILING))
        self.assertEqual(5, len(self.ejection.ejected_ids()))

    def test_the_last_upstream_and_the_last_slots_stay(self) -> None:
        self.assertEqual([], self.run_for(2_000, {0: FAILING}, members=1))
        self.assertEqual([], self.run_for(2_000, {0: FAILING}, in_flight=1.9))

    def test_a_sound_upstream_is_back_within_its_bound(self) -> None:
        self.run_for(1_000, {1: FAILING})
        bound_ms = outlier_ejection.EJECTION_MS + outlier_ejection.TRIAL_MS
        self.assertEqual([], self.run_for(bound_ms + STEP_MS, {}))
        self.assertEqual([0.0] * 100, self.penalties("i-1"))
        self.assertEqual(
            [True, False], [change.is_ejected for change in self.changes]
        )

    def test_an_upstream_on_trial_gets_a_part_of_the_flows(self) -> None:
        self.run_for(1_000, {1: FAILING})
        self.run_for(outlier_ejection.EJECTION_MS, {})
        tried = self.penalties("i-1").count(0.0)
        self.assertTrue(5 <= tried <= 40, tried)

    def test_a_flapping_upstream_waits_longer_up_to_a_bound(self) -> None:
        for _ in range(6):
            self.run_for(1_000, {1: FAILING})
            while self.ejection.ejected_ids():
                self.run_for(STEP_MS, {})
        waits_ms = [c.ejected_ms for c in self.changes if c.is_ejected]
        first_ms = outlier_ejection.EJECTION_MS
        self.assertEqual([first_ms, 2 * first_ms, 4 * first_ms], waits_ms[:3])
        self.assertEqual(outlier_ejection.MAX_EJECTION_MS, max(waits_ms))

    def test_an_upstream_that_fails_on_trial_is_ejected_again(self) -> None:
        self.run_for(1_000, {1: FAILING})
        self.run_for(outlier_ejection.EJECTION_MS, {})
        self.run_for(1_000, {1: FAILING})
        self.assertEqual([0, 1], [c.repeats for c in self.changes])

    def test_without_bad_signs_no_random_number_is_drawn(self) -> None:
        state = self.rng.getstate()
        self.run_for(1_000, {1: SOUND})
        self.assertEqual([0.0] * 100, self.penalties("i-1"))
        self.assertEqual(state, self.rng.getstate())
