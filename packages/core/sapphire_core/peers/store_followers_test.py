import testtools

from sapphire_core.peers import data
from sapphire_core.peers import store_followers
from sapphire_lab.tagged_flows import builders

TIMEOUT_MS = store_followers.FOLLOWER_TIMEOUT_MS
# How long a heartbeat is under way.
WAY_MS = 55


class StoreFollowersTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.followers = store_followers.StoreFollowers("own")

    def hear(
        self,
        sender: str,
        claims: dict[str, data.FollowerClaim],
        now_ms: int,
        answered_ms: int | None = None,
    ) -> None:
        self.followers.merge(
            builders.heartbeat(
                sender, followers=claims, answered_ms=answered_ms
            ),
            now_ms,
        )

    def age_ms(self, host: str, now_ms: int) -> int | None:
        claim = self.followers.claims(now_ms).get(host)
        return None if claim is None else claim.age_ms

    def test_a_follower_that_is_cut_off_counts_until_its_answer_is_too_old(
        self,
    ) -> None:
        """Guards against: a claim counts as new with each heartbeat."""
        for now_ms in range(0, 4_000, 250):
            self.hear("a", builders.claims({"a": now_ms}), now_ms)
            expected = now_ms if now_ms <= TIMEOUT_MS else None
            self.assertEqual(expected, self.age_ms("a", now_ms))

    def test_two_hosts_that_relay_a_claim_to_each_other_do_not_renew_it(
        self,
    ) -> None:
        """Guards against: a claim loses its time under way at each relay."""
        other = store_followers.StoreFollowers("b")
        self.hear("a", builders.claims({"a": 0}), 0)
        for now_ms in range(0, 4_000, WAY_MS):
            for sender, receiver, name in (
                (self.followers, other, "own"),
                (other, self.followers, "b"),
            ):
                claims = sender.reported_claims(now_ms, None)
                heartbeat = builders.heartbeat(name, followers=claims)
                receiver.merge(heartbeat, now_ms + WAY_MS)
        self.assertIsNone(self.age_ms("a", TIMEOUT_MS + 1))

    def test_a_withdrawal_wins_over_an_older_claim_that_others_relay(
        self,
    ) -> None:
        """Guards against: a host that the store rejects is a follower again by
        hearsay."""
        self.hear("a", builders.claims({"a": 0}, 5_000), 0)
        self.hear("a", {}, 100, answered_ms=5_050)
        for answered_ms in (5_000, 5_050, None):
            self.hear("b", builders.claims({"a": 90}, answered_ms), 120)
            self.assertIsNone(self.age_ms("a", 120))
        # The store has answered it again since.
        self.hear("b", builders.claims({"a": 10}, 5_600), 700)
        self.assertEqual(10, self.age_ms("a", 700))

    def test_a_newer_claim_that_another_host_relays_counts(self) -> None:
        self.hear("a", builders.claims({"a": 0}, 5_000), 0)
        self.hear("b", builders.claims({"a": 20}, 6_000), 1_020)
        self.assertEqual(20, self.age_ms("a", 1_020))

    def test_a_host_that_has_started_again_may_claim_an_earlier_time(
        self,
    ) -> None:
        """Its clock may start at 0 with the machine."""
        self.hear("a", builders.claims({"a": 0}, 5_000), 0)
        self.hear("b", builders.claims({"a": 20}, 40), 2_500)
        self.assertEqual(20, self.age_ms("a", 2_500))

    def test_a_host_of_8db66d3_that_relays_a_claim_does_not_renew_it(
        self,
    ) -> None:
        self.hear("a", builders.claims({"a": 0}, 5_000), 0)
        for now_ms in range(0, 4_000, 250):
            self.hear("b", builders.claims({"a": 100}, None), now_ms)
        self.assertIsNone(self.age_ms("a", 4_000))

    def test_a_follower_of_8db66d3_counts_by_its_own_heartbeats(self) -> None:
        for now_ms in (0, 1_000, 2_000):
            self.hear("a", builders.claims({"a": 0}, None), now_ms)
            self.assertEqual(0, self.age_ms("a", now_ms))
        self.hear("a", {}, 2_250)
        self.hear("b", builders.claims({"a": 10}, None), 2_260)
        self.assertIsNone(self.age_ms("a", 2_260))

    def test_hosts_do_not_wait_for_a_follower_that_the_store_left(
        self,
    ) -> None:
        """Guards against: each follower that is cut off delays its
        replacement."""
        names = sorted(
            ["own", *[f"h{number}" for number in range(20)]],
            key=store_followers.rank,
        )
        before = names[: names.index("own")][:2]
        self.assertEqual(2, len(before))
        self.hear(before[0], builders.claims(dict.fromkeys(before, 0)), 0)
        self.assertFalse(self.followers.must_follow(before, 1_000))
        self.assertTrue(self.followers.must_follow(before, TIMEOUT_MS + 1))
