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


def need(
    oldest: int | None = None,
    spilled: bool = False,
    slow_starting: str = "",
    observed_ms: int = IDLE_MS,
) -> history_usage_report.HistoryUsageReport:
    return history_usage_report.HistoryUsageReport(
        "h1", "rota", oldest, spilled, frozenset(slow_starting), observed_ms
    )


class Watch:
    """An observer that is given the view every second."""

    def __init__(self, service: records.Service = ROTA) -> None:
        self.now_ms = 0
        self.view = builders.view(MEMBERS)
        self.observer = history_permits.StabilityTracker(IDLE_MS, 0)
        self.configuration = builders.configuration(1, [service])
        self.take(service)

    def take(self, service: records.Service) -> None:
        self.configuration = builders.configuration(1, [service])
        self.observer.record_configuration(self.configuration, self.now_ms)
        self.observer.record_view(self.view, self.now_ms)

    def run(self, duration_ms: int) -> None:
        for _ in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            self.observer.record_view(self.view, self.now_ms)

    def permitted(
        self, item: history_usage_report.HistoryUsageReport
    ) -> int | None:
        report = self.observer.report(self.configuration, [item], self.now_ms)
        return report.keep_from_by_service.get("rota")


# Each line: the moment, the need, the generation to keep from.
NEEDS = (
    ("nothing is needed", need(), 3),
    ("the second is needed", need(2), 2),
    ("the first is needed", need(1), None),
    ("a flow is outside all generations", need(spilled=True), None),
    ("an upstream is on its ramp", need(slow_starting="b"), None),
    ("the router is new", need(observed_ms=IDLE_MS - 1), None),
)


def member_gone(watch: Watch) -> None:
    watch.view = builders.view(MEMBERS[:1])
    watch.run(STEP_MS)


def member_leaving(watch: Watch) -> None:
    leaving = builders.member("h2", state=records.MemberState.LEAVING)
    watch.view = builders.view([MEMBERS[0], leaving])
    watch.run(STEP_MS)


def not_confirmed(watch: Watch) -> None:
    watch.view = builders.view(MEMBERS, is_fresh=False)
    watch.run(STEP_MS)
    watch.view = builders.view(MEMBERS)
    watch.run(STEP_MS)


def paused(watch: Watch) -> None:
    watch.now_ms += history_permits.MAX_GAP_MS + 1
    watch.observer.record_view(watch.view, watch.now_ms)


DISTURBANCES = (
    ("a member is gone", member_gone),
    ("a member leaves", member_leaving),
    ("peers did not confirm this host", not_confirmed),
    ("this host was paused", paused),
)


class StabilityTrackerTest(testtools.TestCase):
    def test_needs_forbid_a_cut(self) -> None:
        watch = Watch()
        watch.run(WAIT_MS)
        for moment, item, expected in NEEDS:
            self.assertEqual(expected, watch.permitted(item), moment)

    def test_nothing_is_allowed_before_the_idle_time(self) -> None:
        watch = Watch()
        watch.run(WAIT_MS - STEP_MS)
        self.assertIsNone(watch.permitted(need()))

    def test_a_disturbance_starts_the_observation_again(self) -> None:
        for moment, disturb in DISTURBANCES:
            watch = Watch()
            watch.run(WAIT_MS)
            disturb(watch)
            self.assertIsNone(watch.permitted(need()), moment)
            watch.run(WAIT_MS)
            self.assertEqual(3, watch.permitted(need()), moment)

    def test_a_generation_that_has_just_come_is_no_reason_to_cut(self) -> None:
        watch = Watch(builders.service("rota", UPSTREAMS, ["abc", "abd"]))
        watch.run(WAIT_MS)
        watch.take(ROTA)
        self.assertEqual(2, watch.permitted(need()))
        watch.run(WAIT_MS)
        self.assertEqual(3, watch.permitted(need()))
