"""What a host that started after a restore takes over from its peers."""

import testtools

from sapphire_core.replication import carried_items
from sapphire_core.replication import data
from sapphire_core.replication import replica as replica_lib
from sapphire_lab.tagged_flows import builders

item = builders.item
batch = builders.batch
ERA = builders.COPY_ERA
COPY = (item("changed", 4, b"old"), item("left", 6), item("same", 5))


class CarryTest(testtools.TestCase):
    """A peer was at revision 20; the store is back from a copy of 12.

    Since the copy, `left` was removed, `missing` added and `changed` changed.
    """

    def setUp(self) -> None:
        super().setUp()
        self.peer = replica_lib.Replica()
        self.peer.apply(
            batch(
                item("changed", 18, b"new"),
                item("missing", 19),
                item("same", 5),
                item("left", 6),
                as_of=19,
                is_full=True,
            ),
            0,
        )
        self.peer.apply(batch(item("left", 20, None), as_of=20), 0)
        self.copy = builders.copy_batch(*COPY, as_of=12)
        self.peer.apply(self.copy, 0)
        self.started = replica_lib.Replica()
        self.started.apply(self.copy, 1_000)

    def carried(self, now_ms: int = 1_000) -> data.Batch:
        return self.peer.carried_batch(ERA, now_ms)

    def changed_keys(
        self, carried: data.Batch, now_ms: int = 1_000
    ) -> list[str]:
        """Returns what the started host changes on the word of the peer."""
        return sorted(each.key for each in self.started.carry(carried, now_ms))

    def test_what_the_peer_goes_by_is_passed_on(self) -> None:
        self.assertEqual(
            ["changed", "left", "missing"], self.changed_keys(self.carried())
        )
        by_key = {each.key: each.value for each in self.started.items()}
        self.assertEqual({"changed", "missing", "same"}, by_key.keys())
        # The next host that starts gets the same.
        self.assertEqual(
            {each.key for each in self.carried().items},
            {each.key for each in self.started.carried_batch(ERA, 1_000).items},
        )

    def test_a_doubled_answer_changes_nothing(self) -> None:
        self.started.carry(self.carried(), 1_000)
        self.assertEqual([], self.changed_keys(self.carried()))

    def test_what_was_written_in_the_new_era_counts(self) -> None:
        late = self.carried()
        written = builders.copy_batch(
            item("changed", 13, b"newest"),
            item("left", 14, b"again"),
            item("missing", 15, b"again"),
            as_of=15,
            is_full=False,
        )
        self.started.apply(written, 1_100)
        self.assertEqual([], self.changed_keys(late))
        self.peer.apply(written, 1_100)
        self.assertEqual((), self.carried().items)

    def test_what_was_removed_in_the_new_era_stays_removed(self) -> None:
        late = self.carried()
        written = builders.copy_batch(
            item("missing", 13),
            item("missing", 14, None),
            as_of=14,
            is_full=False,
        )
        self.started.apply(written, 1_100)
        self.assertEqual(["changed", "left"], self.changed_keys(late))

    def test_an_answer_of_a_newer_era_changes_nothing(self) -> None:
        other = data.Batch(self.carried().items, 12, False, ERA + 1, 9_000)
        self.assertEqual([], self.changed_keys(other))

    # Guards against CONFIG: soak, seed 107, a host that starts at the return.
    def test_a_peer_that_has_not_read_the_restored_store_passes_on_the_same(
        self,
    ) -> None:
        late = replica_lib.Replica()
        late.apply(
            batch(
                item("changed", 18, b"new"),
                item("missing", 19),
                item("same", 5),
                as_of=19,
                is_full=True,
            ),
            0,
        )
        late.apply(batch(item("left", 20, None), as_of=20), 0)
        self.assertEqual(
            ["changed", "left", "missing"],
            self.changed_keys(late.carried_batch(ERA, 1_000)),
        )
        self.assertEqual(
            sorted(self.carried().items, key=lambda each: each.key),
            sorted(
                self.started.carried_batch(ERA, 1_000).items,
                key=lambda each: each.key,
            ),
        )

    # Guards against time limits that each host that starts begins anew.
    def test_the_time_limit_is_that_of_the_peer(self) -> None:
        carried = self.carried(20_000)
        self.assertEqual(10_000, carried.left_ms)
        self.started.carry(carried, 20_000)
        self.assertEqual([], self.started.evict_expired(29_999))
        expired = self.started.evict_expired(30_000)
        self.assertEqual(
            ["left", "missing"], sorted(each.key for each in expired)
        )

    def test_a_forged_time_limit_is_bounded(self) -> None:
        forged = data.Batch(self.carried().items, 12, False, ERA, 10**9)
        self.started.carry(forged, 0)
        self.assertEqual(
            2, len(self.started.evict_expired(carried_items.CARRIED_MS))
        )

    def test_the_values_of_several_peers_are_bounded(self) -> None:
        forged = tuple(
            item("changed", 4, f"{number}".encode()) for number in range(100)
        )
        self.started.carry(data.Batch(forged, 12, False, ERA, 9_000), 0)
        self.assertEqual(
            carried_items.MAX_FORMER_VALUES,
            len(self.started.carried_batch(ERA, 0).items),
        )

    def test_a_second_restore_keeps_what_the_peer_goes_by(self) -> None:
        again = data.Batch(COPY, 12, True, ERA + 1)
        self.peer.apply(again, 2_000)
        self.assertEqual(
            {"changed", "left", "missing"},
            {each.key for each in self.carried(2_000).items},
        )
