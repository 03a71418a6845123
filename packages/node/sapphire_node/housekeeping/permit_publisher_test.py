import testtools

from sapphire_core.flows import history_permits
from sapphire_core.membership import data
from sapphire_core.membership import fact_table
from sapphire_node.housekeeping import permit_publisher
from sapphire_wire import permit_facts

NO_PERMITS = history_permits.PermitReport(5, {})
TWO_PERMITS = history_permits.PermitReport(
    (1 << 64) - 1, {"rota": 3, "plans": 2}
)
PERMITS_WITH_LONG_NAMES = {f"{number}-{'x' * 200}": 2 for number in range(8)}


class PermitPublisherTest(testtools.TestCase):
    def test_only_changed_or_old_reports_are_published(self) -> None:
        publisher = permit_publisher.PermitPublisher("h1")
        refresh_ms = permit_publisher.REFRESH_MS
        # Each step: the time, the report, whether it is published.
        steps = (
            (0, NO_PERMITS, False),
            (10, TWO_PERMITS, True),
            (20, TWO_PERMITS, False),
            (10 + refresh_ms, TWO_PERMITS, True),
            (20 + refresh_ms, NO_PERMITS, True),
            (20 + 3 * refresh_ms, NO_PERMITS, False),
        )
        versions = []
        for now_ms, report, expected in steps:
            fact = publisher.next_fact(report, now_ms)
            self.assertEqual(expected, fact is not None, f"at {now_ms} ms")
            if fact is not None:
                self.assertEqual("permit/h1", fact.key)
                versions.append(fact.version)
        self.assertEqual(sorted(set(versions)), versions)

    def test_a_report_is_decoded_as_it_was_encoded(self) -> None:
        self.assertEqual(
            TWO_PERMITS,
            permit_facts.decode(permit_facts.encode(TWO_PERMITS)).ok,
        )

    def test_a_long_report_is_shortened_to_the_limit_of_gossip(self) -> None:
        report = history_permits.PermitReport(1, PERMITS_WITH_LONG_NAMES)
        fact = permit_publisher.PermitPublisher("h" * 60).next_fact(report, 0)
        assert fact is not None
        entry = data.FactEntry(fact.key, 1 << 62, fact.value, fact.ttl_ms)
        self.assertIsNone(fact_table.FactTable().check(entry))
        kept = permit_facts.decode(fact.value).ok.keep_from_by_service
        self.assertEqual(list(PERMITS_WITH_LONG_NAMES)[: len(kept)], list(kept))
        self.assertGreater(len(kept), 0)

    def test_unreadable_facts_are_decoded_to_failures(self) -> None:
        for value in (b"", b"\xff" * 40):
            self.assertTrue(permit_facts.decode(value).is_error())
