import testtools

from sapphire_core.flows import history_permits
from sapphire_core.membership import data
from sapphire_core.membership import fact_table
from sapphire_node.housekeeping import permit_publisher
from sapphire_wire import permit_facts

NOTHING = history_permits.PermitReport(5, {})
SOME = history_permits.PermitReport((1 << 64) - 1, {"rota": 3, "plans": 2})
LONG_NAMES = {f"{number}-{'x' * 200}": 2 for number in range(8)}


class PublishingTest(testtools.TestCase):
    def test_only_what_changed_or_grew_old_is_published(self) -> None:
        publisher = permit_publisher.PermitPublisher("h1")
        refresh_ms = permit_publisher.REFRESH_MS
        # Each line: the time, the report, whether it is published.
        steps = (
            (0, NOTHING, False),
            (10, SOME, True),
            (20, SOME, False),
            (10 + refresh_ms, SOME, True),
            (20 + refresh_ms, NOTHING, True),
            (20 + 3 * refresh_ms, NOTHING, False),
        )
        versions = []
        for now_ms, report, expected in steps:
            fact = publisher.next_fact(report, now_ms)
            self.assertEqual(expected, fact is not None, f"at {now_ms} ms")
            if fact is not None:
                self.assertEqual("permit/h1", fact.key)
                versions.append(fact.version)
        self.assertEqual(sorted(set(versions)), versions)

    def test_a_report_survives_its_encoding(self) -> None:
        self.assertEqual(
            SOME, permit_facts.decode(permit_facts.encode(SOME)).ok
        )

    def test_a_long_report_is_shortened_to_what_gossip_takes(self) -> None:
        report = history_permits.PermitReport(1, LONG_NAMES)
        fact = permit_publisher.PermitPublisher("h" * 60).next_fact(report, 0)
        assert fact is not None
        entry = data.FactEntry(fact.key, 1 << 62, fact.value, fact.ttl_ms)
        self.assertIsNone(fact_table.FactTable().check(entry))
        kept = permit_facts.decode(fact.value).ok.keep_from_by_service
        self.assertEqual(list(LONG_NAMES)[: len(kept)], list(kept))
        self.assertGreater(len(kept), 0)

    def test_unreadable_facts_are_typed_failures(self) -> None:
        for value in (b"", b"\xff" * 40):
            self.assertTrue(permit_facts.decode(value).is_error())
