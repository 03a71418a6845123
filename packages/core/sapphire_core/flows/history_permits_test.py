import testtools

from sapphire_core.flows import history_permits
from sapphire_core.flows import history_usage_report
from sapphire_data import records
from sapphire_lab.flows import builders

IDLE_MS = 100_000
WAIT_MS = IDLE_MS + history_permits.SETTLE_MS
STEP_MS = 1_000
UPSTREAMS = [builders.upstream(name) for name in "abcd"]
ROTA = builders.service("rota", UPSTREAMS, ["abc", "abd", "abcd"])
MEMBERS = [builders.member("h1"), builders.member("h2")]


def usage(
    oldest: int | None = None,
    unowned: bool = False,
    slow_starting: str = "",
    observed_ms: int = IDLE_MS,
) -> history_usage_report.HistoryUsageReport:
    return history_usage_report.HistoryUsageReport(
        "h1", "rota", oldest, unowned, frozenset(slow_starting), observed_ms
    )


class Host:
    """A host whose stability tracker gets the view every second."""

    def __init__(self, service: records.Service = ROTA) -> None:
        self.now_ms = 0
        self.view = builders.view(MEMBERS)
        self.tracker = history_permits.StabilityTracker(IDLE_MS, 0)
        self.configuration = builders.configuration(1, [service])
        self.prepare(service)

    def prepare(self, service: records.Service) -> None:
        self.configuration = builders.configuration(1, [service])
        self.tracker.record_configuration(self.configuration, self.now_ms)
        self.tracker.record_view(self.view, self.now_ms)

    def run(self, duration_ms: int) -> None:
        for _ in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            self.tracker.record_view(self.view, self.now_ms)

    def permitted(
        self, item: history_usage_report.HistoryUsageReport
    ) -> int | None:
        report = self.tracker.report(self.configuration, [item], self.now_ms)
        return report.keep_from_by_service.get("rota")


# Each entry: the case, the usage, the oldest generation that is kept.
USAGES = (
    ("no generation is needed", usage(), 3),
    ("the second generation is needed", usage(2), 2),
    ("the first generation is needed", usage(1), None),
    (
        "the upstream of a flow is an owner in no generation",
        usage(unowned=True),
        None,
    ),
    ("an upstream is in slow start", usage(slow_starting="b"), None),
    (
        "the router has not observed for the idle time",
        usage(observed_ms=IDLE_MS - 1),
        None,
    ),
)


def member_gone(host: Host) -> None:
    host.view = builders.view(MEMBERS[:1])
    host.run(STEP_MS)


def member_leaving(host: Host) -> None:
    leaving = builders.member("h2", state=records.MemberState.LEAVING)
    host.view = builders.view([MEMBERS[0], leaving])
    host.run(STEP_MS)


def not_confirmed(host: Host) -> None:
    host.view = builders.view(MEMBERS, is_fresh=False)
    host.run(STEP_MS)
    host.view = builders.view(MEMBERS)
    host.run(STEP_MS)


def stalled(host: Host) -> None:
    host.now_ms += history_permits.MAX_GAP_MS + 1
    host.tracker.record_view(host.view, host.now_ms)


RESTARTS = (
    ("a member is gone", member_gone),
    ("a member is leaving", member_leaving),
    ("peers did not confirm this host", not_confirmed),
    ("this host was stalled", stalled),
)


class StabilityTrackerTest(testtools.TestCase):
    def test_needed_generations_are_kept(self) -> None:
        host = Host()
        host.run(WAIT_MS)
        for case, item, expected in USAGES:
            self.assertEqual(expected, host.permitted(item), case)

    def test_nothing_is_permitted_before_the_idle_time(self) -> None:
        host = Host()
        host.run(WAIT_MS - STEP_MS)
        self.assertIsNone(host.permitted(usage()))

    def test_a_change_of_members_or_a_gap_restarts_the_observation(
        self,
    ) -> None:
        for case, cause in RESTARTS:
            host = Host()
            host.run(WAIT_MS)
            cause(host)
            self.assertIsNone(host.permitted(usage()), case)
            host.run(WAIT_MS)
            self.assertEqual(3, host.permitted(usage()), case)

    def test_a_generation_that_was_just_added_is_not_the_oldest_kept(
        self,
    ) -> None:
        host = Host(builders.service("rota", UPSTREAMS, ["abc", "abd"]))
        host.run(WAIT_MS)
        host.prepare(ROTA)
        self.assertEqual(2, host.permitted(usage()))
        host.run(WAIT_MS)
        self.assertEqual(3, host.permitted(usage()))
