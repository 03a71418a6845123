from collections.abc import Mapping

import testtools

from sapphire_core.flows import history_permits
from sapphire_core.flows import history_truncation
from sapphire_data import records
from sapphire_lab.flows import builders

UPSTREAMS = [builders.upstream(name) for name in "abcd"]
# No bucket returns from the third generation to its owner in the first.
ROTA = builders.service("rota", UPSTREAMS, ["ab", "bc", "cd"])
PLANS = builders.service("plans", UPSTREAMS, ["abcd", "abc"])
CONFIGURATION = builders.configuration(1, [ROTA, PLANS])
HOSTS = ("h1", "h2", "h3")
MEMBERS = [builders.member(host) for host in HOSTS]
VIEW = builders.view(MEMBERS)
DIGEST = history_permits.digest_of(VIEW.members_by_id)

Permits = Mapping[str, history_permits.PermitReport]


def permit(digest: int = DIGEST, **kept: int) -> history_permits.PermitReport:
    return history_permits.PermitReport(digest, kept)


ALL = {host: permit(rota=3) for host in HOSTS}

# Each entry: the case, the reports, the truncations.
CASES: tuple[tuple[str, Permits, dict[str, int]], ...] = (
    ("all hosts permit", ALL, {"rota": 3}),
    ("one host permits less", {**ALL, "h2": permit(rota=2)}, {"rota": 2}),
    ("one host permits nothing", {**ALL, "h2": permit()}, {}),
    ("one host has not reported", {host: ALL[host] for host in HOSTS[:2]}, {}),
    ("one host knows other members", {**ALL, "h3": permit(7, rota=3)}, {}),
    ("no host has reported", {}, {}),
    (
        "two services in one revision",
        {host: permit(rota=3, plans=2) for host in HOSTS},
        {"rota": 3, "plans": 2},
    ),
    (
        "a service that was removed",
        {host: permit(other=9, rota=3) for host in HOSTS},
        {"rota": 3},
    ),
)


def decisions(
    view: records.MemberView, permits: Permits, now_ms: int = 0
) -> list[dict[str, int]]:
    found = []
    for host in HOSTS:
        decider = history_truncation.TruncationDecider(host)
        truncations = decider.decide(CONFIGURATION, view, permits, now_ms)
        if truncations:
            found.append(truncations)
    return found


class TruncationDeciderTest(testtools.TestCase):
    def test_exactly_one_host_truncates_what_all_permit(self) -> None:
        for case, permits, expected in CASES:
            wanted = [expected] if expected else []
            self.assertEqual(wanted, decisions(VIEW, permits), case)

    def test_a_host_that_is_not_fresh_truncates_nothing(self) -> None:
        view = builders.view(MEMBERS, is_fresh=False)
        self.assertEqual([], decisions(view, ALL))

    def test_a_host_that_joined_prevents_truncations_until_it_reports(
        self,
    ) -> None:
        view = builders.view([*MEMBERS, builders.member("h4")])
        self.assertEqual([], decisions(view, ALL))

    def test_rate_of_attempts_is_limited(self) -> None:
        for host in HOSTS:
            decider = history_truncation.TruncationDecider(host)
            if not decider.decide(CONFIGURATION, VIEW, ALL, 0):
                continue
            early = history_truncation.MIN_INTERVAL_MS - 1
            again = decider.decide(CONFIGURATION, VIEW, ALL, early)
            self.assertEqual({}, again)
            again = decider.decide(CONFIGURATION, VIEW, ALL, early + 1)
            self.assertEqual({"rota": 3}, again)

    def test_no_truncation_to_a_generation_between_two_equal_ones(self) -> None:
        """New flows have no record where the oldest and newest owner agree."""
        service = builders.service("rota", UPSTREAMS, ["ab", "cd", "ab"])
        configuration = builders.configuration(1, [service])
        for keep_from, expected in ((2, {}), (3, {"rota": 3})):
            truncations = history_truncation.agreed_truncations(
                configuration, [permit(rota=keep_from)]
            )
            self.assertEqual(expected, truncations)
