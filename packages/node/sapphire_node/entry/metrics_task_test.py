import anyio
import testtools

from sapphire_core.replication import data as replication_data
from sapphire_data import clock as clock_lib
from sapphire_lab.tagged_flows import host_builders
from sapphire_node.entry import host_state
from sapphire_node.entry import metrics_task


class MetricsTaskTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.state = host_builders.state()
        self.clock = clock_lib.ManualClock(5_000)
        self.task = metrics_task.MetricsTask(self.state, self.clock)

    def values(self) -> dict[str, float]:
        lines = self.task.render().decode().splitlines()
        found: dict[str, float] = {}
        for line in lines:
            if line.startswith("#"):
                continue
            name, _, value = line.rpartition(" ")
            found[name] = float(value)
        return found

    def value(self, *parts: str) -> float:
        """Returns the one value whose name holds all parts."""
        found = [
            value
            for name, value in self.values().items()
            if all(part in name for part in parts)
        ]
        self.assertEqual(1, len(found), str(parts))
        return found[0]

    def test_counters_and_ages_are_read_at_each_scrape(self) -> None:
        self.state.counts["verdict_opened"] += 3
        self.state.store_answer_ms_by_scope[replication_data.Scope.INTENT] = (
            4_200
        )
        self.assertEqual(3, self.value("events", 'event="verdict_opened"'))
        self.assertEqual(800, self.value("age", 'scope="intent"'))
        self.clock.advance(100)
        self.state.counts["verdict_opened"] += 1
        self.assertEqual(4, self.value("events", 'event="verdict_opened"'))
        self.assertEqual(900, self.value("age", 'scope="intent"'))

    def test_each_duration_is_recorded_once(self) -> None:
        durations = self.state.durations_ms_by_name
        durations[host_state.OPENING_ANSWERED].extend([5, 70])
        for _ in range(2):
            count = self.value("opening_answered", "_count")
            self.assertEqual(2, count)
        self.assertEqual(75, self.value("opening_answered", "_sum"))

    def test_other_paths_are_not_found(self) -> None:
        answer = anyio.run(self.task.answer, "GET", "/other")
        self.assertEqual(404, answer.status)

    def test_the_version_of_the_configuration_is_shown(self) -> None:
        self.state.configuration_version = 13
        self.assertEqual(13, self.value("configuration_version"))

    def test_the_era_is_shown_and_restores_are_counted(self) -> None:
        scope = replication_data.Scope.INTENT
        self.state.era_by_scope[scope] = 3
        self.state.record_store_era(4, 0)
        self.assertEqual(3, self.value("knowledge_era", 'scope="intent"'))
        self.assertEqual(1, self.value("events", 'event="store_restored"'))
