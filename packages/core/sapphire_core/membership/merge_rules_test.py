import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from sapphire_core.membership import data
from sapphire_core.membership import fact_table
from sapphire_core.membership import member_table
from sapphire_core.membership import prepared_table
from sapphire_data import records
from sapphire_lab.membership import network

_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=80
)
_HOSTS = tuple(
    network.host_address(f"h{index}", "tacoma", f"10.0.0.{index}")
    for index in range(1, 4)
)
_entries = strategies.builds(
    data.MemberEntry,
    host=strategies.sampled_from(_HOSTS),
    incarnation=strategies.integers(1, 3),
    state=strategies.sampled_from(records.MemberState),
)
_facts = strategies.builds(
    data.FactEntry,
    key=strategies.sampled_from(("head", "overlay")),
    version=strategies.integers(1, 3),
    value=strategies.binary(max_size=1),
)


def _merged_table(entries: list[data.MemberEntry]) -> member_table.MemberTable:
    # Entries of unknown dead hosts are ignored, so all hosts are added first.
    members = member_table.MemberTable()
    for host in _HOSTS:
        members.merge(
            data.MemberEntry(host, 0, records.MemberState.ALIVE), now_ms=0
        )
    for entry in entries:
        members.merge(entry, now_ms=1)
    return members


class MemberTableTest(testtools.TestCase):
    @_SETTINGS
    @hypothesis.given(strategies.lists(_entries, max_size=8), strategies.data())
    def test_order_and_repetition_of_entries_do_not_matter(
        self, entries: list[data.MemberEntry], draw: strategies.DataObject
    ) -> None:
        first = _merged_table(entries)
        shuffled = draw.draw(strategies.permutations(entries * 2))
        second = _merged_table(shuffled)
        self.assertEqual(first.entries_by_id, second.entries_by_id)
        self.assertEqual(first.digest, second.digest)
        self.assertEqual(first.bucket_digests(), second.bucket_digests())
        self.assertEqual(
            first.live_ids("tacoma"),
            {
                host_id
                for host_id, entry in first.entries_by_id.items()
                if entry.state is not records.MemberState.DEAD
            },
        )

    def test_dead_host_returns_only_by_a_higher_incarnation(self) -> None:
        table = (
            (records.MemberState.ALIVE, 5, False),
            (records.MemberState.SUSPECT, 5, False),
            (records.MemberState.LEAVING, 5, False),
            (records.MemberState.ALIVE, 4, False),
            (records.MemberState.ALIVE, 6, True),
        )
        for state, incarnation, expected in table:
            members = _merged_table(
                [data.MemberEntry(_HOSTS[0], 5, records.MemberState.DEAD)]
            )
            members.merge(data.MemberEntry(_HOSTS[0], incarnation, state), 2)
            is_live = members.live_entry("h1") is not None
            self.assertEqual(expected, is_live)

    def test_later_process_replaces_the_earlier_at_its_address(self) -> None:
        later = network.host_address("later", "tacoma", "10.0.0.1")
        for incarnation, is_direct, expected in (
            (9, False, "later"),
            (3, False, "h1"),
            (3, True, "later"),
        ):
            members = _merged_table(
                [data.MemberEntry(_HOSTS[0], 5, records.MemberState.ALIVE)]
            )
            members.merge(
                data.MemberEntry(later, incarnation, records.MemberState.ALIVE),
                2,
                is_direct,
            )
            holder = members.id_at("10.0.0.1", later.control_port)
            self.assertEqual(expected, holder)


class FactTableTest(testtools.TestCase):
    @_SETTINGS
    @hypothesis.given(strategies.lists(_facts, max_size=8), strategies.data())
    def test_order_and_repetition_of_facts_do_not_matter(
        self, facts: list[data.FactEntry], draw: strategies.DataObject
    ) -> None:
        tables = []
        shuffled = draw.draw(strategies.permutations(facts * 2))
        for order in (facts, shuffled):
            table = fact_table.FactTable()
            for fact in order:
                table.merge(fact, now_ms=0)
            tables.append(table)
        self.assertEqual(tables[0].facts(0), tables[1].facts(0))
        self.assertEqual(tables[0].digest, tables[1].digest)


class PreparedTableTest(testtools.TestCase):
    @_SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.one_of(
                strategies.tuples(
                    strategies.just("prepare"),
                    strategies.integers(0, 3),
                    strategies.integers(1, 6),
                ),
                strategies.tuples(
                    strategies.just("send"),
                    strategies.integers(0, 3),
                    strategies.integers(0, 3),
                ),
                strategies.tuples(
                    strategies.just("roster"),
                    strategies.integers(0, 3),
                    strategies.integers(0, 3),
                ),
            ),
            max_size=40,
        )
    )
    def test_complete_revision_was_prepared_by_all_in_the_roster(
        self, steps: list[tuple[str, int, int]]
    ) -> None:
        names = [f"h{index}" for index in range(4)]
        tables = [prepared_table.PreparedTable(name) for name in names]
        for table in tables:
            table.set_roster(set(names))
        was_roster_incomplete = False
        for kind, index, value in steps:
            table = tables[index]
            if kind == "prepare":
                table.set_own_revision(value)
            elif kind == "send":
                for entry in table.entries():
                    tables[value].merge(entry)
            else:
                # The roster of one host temporarily lacks another host.
                table.set_roster(set(names) - {names[value]})
                table.set_roster(set(names))
            revisions = sorted(other.own_revision for other in tables)
            was_roster_incomplete = was_roster_incomplete or kind == "roster"
            # A roster that lacked a host may have completed without that host.
            bound = revisions[1] if was_roster_incomplete else revisions[0]
            for other in tables:
                complete = other.complete_revision
                self.assertThat(complete, matchers.LessThan(bound + 1))

    def test_full_exchange_completes_the_newest_common_revision(self) -> None:
        names = [f"h{index}" for index in range(5)]
        tables = [prepared_table.PreparedTable(name) for name in names]
        for index, table in enumerate(tables):
            table.set_roster(set(names))
            table.set_own_revision(7 + index % 2)
        for _ in range(4):
            for sender in tables:
                for receiver in tables:
                    # The complete revision of a host is disseminated as a fact.
                    receiver.set_complete_revision(sender.complete_revision)
                    for entry in sender.entries():
                        receiver.merge(entry)
        for table in tables:
            self.assertThat(table.complete_revision, matchers.Equals(7))
