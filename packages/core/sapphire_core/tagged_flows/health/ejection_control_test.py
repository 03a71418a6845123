import testtools

from sapphire_core.tagged_flows.health import outlier_ejection
from sapphire_lab.tagged_flows import ejection_fleet
from sapphire_lab.tagged_flows import outcome_builders

Way = outcome_builders.Way
FAILING = "i-3"
FAIR_SHARE = 1 / ejection_fleet.UPSTREAMS
# Of 100 requests a second, each of two data centres has 50 and an upstream
# gets 5 of them, each at another of 13 hosts.
DETECTION_MS = 3_000
ONE, OTHER = ejection_fleet.DATA_CENTRES


class EjectionControlTest(testtools.TestCase):
    def share_while(self, behaviour: ejection_fleet.Behaviour) -> float:
        """Returns the share of a failing upstream once it may be known."""
        fleet = ejection_fleet.EjectionFleet(behaviour)
        fleet.run(3_000 + DETECTION_MS)
        fleet.clear()
        fleet.run(2_000)
        self.assertEqual(0, fleet.resets)
        return max(fleet.share_of(FAILING, each) for each in (ONE, OTHER))

    def test_a_failing_upstream_gets_few_new_flows(self) -> None:
        for way in Way:
            if way is Way.WELL:
                continue

            def behaviour(
                upstream_id: str, data_centre: str, now_ms: int, way: Way = way
            ) -> Way:
                del data_centre
                is_failing = upstream_id == FAILING and now_ms >= 3_000
                return way if is_failing else Way.WELL

            self.assertLess(
                self.share_while(behaviour), FAIR_SHARE / 2, way.value
            )

    def test_without_failures_the_shares_are_even(self) -> None:
        share = self.share_while(
            lambda upstream_id, data_centre, now_ms: Way.WELL
        )
        self.assertAlmostEqual(FAIR_SHARE, share, delta=FAIR_SHARE / 2)

    def test_an_upstream_that_fails_one_data_centre_serves_the_other(
        self,
    ) -> None:
        def behaviour(upstream_id: str, data_centre: str, now_ms: int) -> Way:
            is_failing = upstream_id == FAILING and now_ms >= 3_000
            return Way.ERRORS if is_failing and data_centre == ONE else Way.WELL

        fleet = ejection_fleet.EjectionFleet(behaviour)
        fleet.run(3_000 + DETECTION_MS)
        fleet.clear()
        fleet.run(2_000)
        self.assertLess(fleet.share_of(FAILING, ONE), FAIR_SHARE / 2)
        self.assertGreater(fleet.share_of(FAILING, OTHER), FAIR_SHARE / 2)

    def test_a_sound_upstream_is_back_within_its_bound(self) -> None:
        def behaviour(upstream_id: str, data_centre: str, now_ms: int) -> Way:
            del data_centre
            is_failing = upstream_id == FAILING and 3_000 <= now_ms < 5_000
            return Way.HANG if is_failing else Way.WELL

        fleet = ejection_fleet.EjectionFleet(behaviour)
        fleet.run(
            5_000
            + DETECTION_MS
            + outlier_ejection.EJECTION_MS
            + outlier_ejection.TRIAL_MS
        )
        fleet.clear()
        fleet.run(2_000)
        for data_centre in (ONE, OTHER):
            self.assertGreater(
                fleet.share_of(FAILING, data_centre), FAIR_SHARE / 2
            )
