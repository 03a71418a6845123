import itertools

import testtools

from sapphire_core.replication import carried_items
from sapphire_core.replication import data
from sapphire_core.replication import removed_items
from sapphire_core.replication import replica as replica_lib
from sapphire_lab.tagged_flows import builders

item = builders.item
batch = builders.batch


def values(replica: replica_lib.Replica) -> dict[str, bytes | None]:
    return {item.key: item.value for item in replica.items()}


class ReplicaTest(testtools.TestCase):
    def test_the_order_of_batches_does_not_matter(self) -> None:
        batches = (
            batch(item("a", 1), item("b", 2), as_of=2, is_full=True),
            batch(item("a", 3, b"new"), as_of=3),
            batch(item("b", 4, None), as_of=4),
            batch(item("c", 5), as_of=5),
        )
        for order in itertools.permutations(batches):
            replica = replica_lib.Replica()
            for one_batch in order:
                replica.apply(one_batch, 0)
            self.assertEqual({"a": b"new", "c": b"v"}, values(replica))

    def test_a_batch_that_is_applied_again_changes_nothing(self) -> None:
        replica = replica_lib.Replica()
        first = batch(item("a", 1), as_of=1, is_full=True)
        self.assertEqual([item("a", 1)], replica.apply(first, 0))
        self.assertEqual([], replica.apply(first, 0))

    def test_an_older_value_does_not_replace_a_newer_one(self) -> None:
        replica = replica_lib.Replica()
        replica.apply(batch(item("a", 5, b"new"), as_of=5, is_full=True), 0)
        replica.apply(batch(item("a", 4, b"old"), as_of=9, is_full=True), 0)
        self.assertEqual({"a": b"new"}, values(replica))
        replica.apply(batch(item("a", 6, None), as_of=9), 0)
        replica.apply(batch(item("a", 5, b"new"), as_of=9, is_full=True), 0)
        self.assertEqual({}, values(replica))

    def test_a_full_batch_removes_the_keys_that_it_lacks(self) -> None:
        replica = replica_lib.Replica()
        replica.apply(
            batch(item("a", 1), item("b", 2), as_of=2, is_full=True), 0
        )
        changed = replica.apply(batch(item("b", 2), as_of=8, is_full=True), 0)
        self.assertEqual([item("a", 8, None)], changed)

    def test_a_full_batch_keeps_keys_that_changed_after_it(self) -> None:
        # A peer sent the key while the full read was in progress.
        replica = replica_lib.Replica()
        replica.apply(batch(item("a", 9), as_of=9), 0)
        replica.apply(batch(as_of=8, is_full=True), 0)
        self.assertEqual({"a": b"v"}, values(replica))

    def test_a_peer_gets_the_changes_after_its_revision(self) -> None:
        replica = replica_lib.Replica()
        replica.apply(
            batch(item("a", 1), item("b", 2), as_of=2, is_full=True), 0
        )
        replica.apply(batch(item("a", 3, None), item("c", 4), as_of=6), 0)
        self.assertEqual(
            batch(item("a", 3, None), item("c", 4), as_of=6),
            replica.changes_after(2),
        )
        self.assertEqual(
            batch(item("b", 2), item("c", 4), as_of=6, is_full=True),
            replica.changes_after(0),
        )

    def test_a_peer_that_lacks_an_evicted_tombstone_gets_all_items(
        self,
    ) -> None:
        replica = replica_lib.Replica()
        replica.apply(
            batch(item("a", 1), item("b", 2), as_of=2, is_full=True), 0
        )
        replica.apply(batch(item("a", 3, None), as_of=3), 0)
        replica.evict_expired(removed_items.TOMBSTONE_TTL_MS)
        sent = replica.changes_after(2)
        self.assertTrue(sent.is_full)
        peer = replica_lib.Replica()
        peer.apply(batch(item("a", 1), item("b", 2), as_of=2, is_full=True), 0)
        peer.apply(sent, 0)
        self.assertEqual({"b": b"v"}, values(peer))

    def test_the_newest_revision_does_not_follow_as_of(self) -> None:
        replica = replica_lib.Replica()
        replica.apply(batch(item("a", 1), as_of=40, is_full=True), 0)
        self.assertEqual((40, 1), (replica.as_of, replica.newest_revision))
        replica.apply(data.Batch((), 50, False), 0)
        self.assertEqual((50, 1), (replica.as_of, replica.newest_revision))


class RemovedItemsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.replica = replica_lib.Replica()
        full = batch(item("a", 1, b"old"), item("b", 2), as_of=2, is_full=True)
        self.replica.apply(full, 0)

    def test_the_last_value_of_a_removed_key_is_kept(self) -> None:
        self.replica.apply(batch(item("a", 3, b"new"), as_of=3), 0)
        self.replica.apply(batch(item("a", 4, None), as_of=4), 0)
        self.assertEqual(
            (item("a", 3, b"new"),), self.replica.removed_items().items
        )

    def test_last_values_of_keys_that_a_full_batch_lacks_are_kept(self) -> None:
        self.replica.apply(batch(item("b", 2), as_of=5, is_full=True), 0)
        self.assertEqual(
            (item("a", 1, b"old"),), self.replica.removed_items().items
        )

    def test_a_key_that_was_added_again_is_not_a_removed_item(self) -> None:
        self.replica.apply(batch(item("a", 4, None), as_of=4), 0)
        self.replica.apply(batch(item("a", 5), as_of=5), 0)
        self.assertEqual((), self.replica.removed_items().items)

    def test_removed_items_are_evicted_with_their_tombstones(self) -> None:
        self.replica.apply(batch(item("a", 4, None), as_of=4), 0)
        self.replica.evict_expired(removed_items.TOMBSTONE_TTL_MS - 1)
        self.assertEqual(1, len(self.replica.removed_items().items))
        self.replica.evict_expired(removed_items.TOMBSTONE_TTL_MS)
        self.assertEqual((), self.replica.removed_items().items)

    def test_the_removal_of_an_unknown_key_has_no_last_value(self) -> None:
        self.replica.apply(batch(item("c", 4, None), as_of=4), 0)
        self.assertEqual((), self.replica.removed_items().items)


class OlderCopyTest(testtools.TestCase):
    """Guards against knowledge that masks what a restored store writes.

    The store was at revision 20 and comes back from a copy of revision 12.
    """

    def setUp(self) -> None:
        super().setUp()
        self.replica = replica_lib.Replica()

    def read(self, *items: data.Item, as_of: int) -> None:
        """Applies all items, as read before the copy was restored."""
        self.replica.apply(batch(*items, as_of=as_of, is_full=True), 0)

    def watch(self, *items: data.Item, as_of: int) -> None:
        """Applies changes from before the copy was restored."""
        self.replica.apply(batch(*items, as_of=as_of), 0)

    def restore(self, *items: data.Item) -> None:
        """Applies all items of the copy."""
        self.replica.apply(builders.copy_batch(*items, as_of=12), 0)

    def watch_restored(self, *items: data.Item, as_of: int) -> list[data.Item]:
        """Applies changes of the restored store."""
        changes = builders.copy_batch(*items, as_of=as_of, is_full=False)
        return self.replica.apply(changes, 0)

    # Guards against CONFIG: an older configuration stays in force.
    def test_a_configuration_written_at_a_lower_revision_is_a_change(
        self,
    ) -> None:
        self.read(item("configuration", 20, b"version 5"), as_of=20)
        self.restore(item("configuration", 8, b"version 3"))
        again = item("configuration", 14, b"version 6")
        self.assertEqual([again], self.watch_restored(again, as_of=14))

    def test_a_configuration_written_at_the_same_revision_is_a_change(
        self,
    ) -> None:
        self.read(item("configuration", 20, b"version 5"), as_of=20)
        self.restore(item("configuration", 8, b"version 3"))
        again = item("configuration", 20, b"version 6")
        self.assertEqual([again], self.watch_restored(again, as_of=20))

    # Guards against EVAC: a data centre that is out gets new flows.
    def test_a_data_centre_taken_out_at_a_reused_revision_is_out(self) -> None:
        key = "out/salem"
        self.read(item(key, 5), as_of=17)
        self.watch(item(key, 18, None), as_of=20)
        self.restore(item(key, 5))
        self.watch_restored(item(key, 13, None), as_of=13)
        self.watch_restored(item(key, 15, b"again"), as_of=15)
        self.assertEqual({key: b"again"}, values(self.replica))

    # Right already; must stay so. The operator writes it again later.
    def test_a_data_centre_taken_out_after_the_copy_stays_out(self) -> None:
        key = "out/salem"
        self.read(item(key, 18), as_of=20)
        self.restore()
        self.assertEqual({key: b"v"}, values(self.replica))

    # Guards against a data centre that stays out when it is put back.
    def test_a_data_centre_put_back_at_a_reused_revision_is_in(self) -> None:
        key = "out/salem"
        self.read(item(key, 18), as_of=20)
        self.restore()
        self.watch_restored(item(key, 13), as_of=13)
        self.watch_restored(item(key, 15, None), as_of=15)
        self.assertEqual({}, values(self.replica))

    # Guards against DRAIN: an upstream that leaves keeps getting new flows.
    def test_an_upstream_that_drains_at_a_reused_revision_is_draining(
        self,
    ) -> None:
        self.read(item("i-1", 18, b"ready"), as_of=20)
        self.restore(item("i-1", 8, b"ready"))
        self.watch_restored(item("i-1", 15, b"draining"), as_of=15)
        self.assertEqual({"i-1": b"draining"}, values(self.replica))

    def test_an_upstream_that_leaves_at_a_reused_revision_is_removed(
        self,
    ) -> None:
        self.read(item("i-1", 18), as_of=20)
        self.restore(item("i-1", 8))
        self.watch_restored(item("i-1", 15, None), as_of=15)
        self.assertEqual({}, values(self.replica))

    # Guards against an upstream that serves and gets no flows.
    def test_an_upstream_that_registers_again_at_a_reused_revision_is_known(
        self,
    ) -> None:
        self.read(item("i-1", 5), as_of=17)
        self.watch(item("i-1", 18, None), as_of=20)
        self.restore(item("i-1", 5))
        self.watch_restored(item("i-1", 13, None), as_of=13)
        self.watch_restored(item("i-1", 15, b"again"), as_of=15)
        self.assertEqual({"i-1": b"again"}, values(self.replica))

    # Right already; must stay so.
    def test_a_new_upstream_at_a_reused_revision_is_known(self) -> None:
        self.read(item("i-1", 18), as_of=20)
        self.restore(item("i-1", 8))
        new = item("i-2", 15)
        self.assertEqual([new], self.watch_restored(new, as_of=15))

    # Right already; must stay so.
    def test_an_upstream_that_left_is_not_back_because_the_copy_has_it(
        self,
    ) -> None:
        self.read(item("i-1", 5), as_of=17)
        self.watch(item("i-1", 18, None), as_of=20)
        self.restore(item("i-1", 5))
        self.assertEqual({}, values(self.replica))

    # Guards against watches and pulls after a revision that the store lacks.
    def test_the_position_goes_back_with_the_store(self) -> None:
        self.read(item("configuration", 8), as_of=20)
        self.restore(item("configuration", 8))
        self.assertEqual(12, self.replica.as_of)

    # Guards against peers that pull because of a revision that is gone.
    def test_the_newest_revision_is_one_that_the_store_has(self) -> None:
        self.read(item("configuration", 20), as_of=20)
        self.restore(item("configuration", 8))
        self.assertLessEqual(self.replica.newest_revision, 12)

    # Guards against full pulls until the revisions have caught up.
    def test_tombstones_evicted_before_do_not_make_pulls_full(self) -> None:
        self.read(item("i-1", 5), item("i-2", 6), as_of=17)
        self.watch(item("i-2", 18, None), as_of=20)
        self.replica.evict_expired(removed_items.TOMBSTONE_TTL_MS)
        self.restore(item("i-1", 5))
        self.watch_restored(item("i-3", 13), as_of=13)
        self.assertFalse(self.replica.changes_after(12).is_full)


class EraTest(testtools.TestCase):
    """What is known from before a restore, and how long it counts.

    The store was at revision 20 and comes back from a copy of revision 12.
    """

    def setUp(self) -> None:
        super().setUp()
        self.replica = replica_lib.Replica()
        self.replica.apply(
            batch(item("kept", 18), item("both", 4), as_of=18, is_full=True),
            0,
        )
        self.replica.apply(batch(item("left", 6), as_of=19), 0)
        self.replica.apply(batch(item("left", 20, None), as_of=20), 0)

    def restore(self, *items: data.Item, now_ms: int = 0) -> list[data.Item]:
        """Applies all items of a copy that has the key that left."""
        copy = builders.copy_batch(
            item("both", 4), item("left", 6), *items, as_of=12
        )
        return self.replica.apply(copy, now_ms)

    def test_batches_of_an_older_era_are_ignored(self) -> None:
        self.restore()
        for is_full in (False, True):
            late = batch(item("both", 30), as_of=30, is_full=is_full)
            self.assertEqual([], self.replica.apply(late, 0))
        self.assertEqual(
            data.Position(builders.COPY_ERA, 12), self.replica.position
        )

    def test_changes_of_a_newer_era_wait_for_a_read_of_all_items(self) -> None:
        changes = builders.copy_batch(item("both", 21), as_of=21, is_full=False)
        self.assertEqual([], self.replica.apply(changes, 0))
        self.assertEqual(data.Position(0, 20), self.replica.position)

    def test_nothing_changes_at_the_restore_itself(self) -> None:
        self.assertEqual([], self.restore())
        self.assertEqual({"both": b"v", "kept": b"v"}, values(self.replica))

    def test_after_the_bound_only_the_store_counts(self) -> None:
        self.restore()
        bound_ms = carried_items.CARRIED_MS
        self.assertEqual([], self.replica.evict_expired(bound_ms - 1))
        self.assertEqual(
            [item("kept", 12, None), item("left", 6)],
            self.replica.evict_expired(bound_ms),
        )
        self.assertEqual({"both": b"v", "left": b"v"}, values(self.replica))

    def test_what_is_written_again_counts_at_once(self) -> None:
        self.restore(item("new", 11))
        written = (item("kept", 13, None), item("left", 14, b"again"))
        changes = builders.copy_batch(*written, as_of=14, is_full=False)
        self.assertEqual(list(written), self.replica.apply(changes, 0))
        self.assertEqual([], self.replica.evict_expired(10**6))

    def test_a_key_written_again_before_the_read_counts(self) -> None:
        copy = builders.copy_batch(item("left", 13, b"again"), as_of=14)
        self.replica.apply(copy, 0)
        self.assertEqual(b"again", values(self.replica)["left"])

    def test_a_second_restore_changes_nothing_either(self) -> None:
        self.restore()
        again = data.Batch((item("left", 6),), 9, True, builders.COPY_ERA + 1)
        self.assertEqual([], self.replica.apply(again, 5_000))
        self.assertEqual({"both": b"v", "kept": b"v"}, values(self.replica))

    def test_peers_of_another_era_get_all_that_the_store_has(self) -> None:
        self.restore()
        sent = self.replica.changes_after(20, era=0)
        expected = builders.copy_batch(
            item("both", 4), item("left", 6), as_of=12
        )
        self.assertEqual(expected, sent)
        self.assertFalse(self.replica.changes_after(12, 1).is_full)

    def test_a_scope_without_the_bound_drops_what_the_copy_lacks(self) -> None:
        self.replica = replica_lib.Replica(keeps_missing=False)
        self.replica.apply(batch(item("i-1", 18), as_of=20, is_full=True), 0)
        changed = self.replica.apply(builders.copy_batch(as_of=12), 0)
        self.assertEqual([item("i-1", 12, None)], changed)
        removed = self.replica.removed_items()
        self.assertEqual((item("i-1", 12),), removed.items)
        again = builders.copy_batch(item("i-1", 13), as_of=13, is_full=False)
        self.assertEqual([item("i-1", 13)], self.replica.apply(again, 0))


class RestartedPeerTest(testtools.TestCase):
    """A host that read all items at its start serves one that ran before."""

    def setUp(self) -> None:
        super().setUp()
        self.peer = replica_lib.Replica()
        self.peer.apply(
            batch(item("a", 1), item("b", 2), as_of=3, is_full=True), 0
        )
        # Key "b" was removed at 4, before the start.
        self.started = replica_lib.Replica()
        self.started.apply(batch(item("a", 1), as_of=5, is_full=True), 0)
        self.started.apply(batch(item("c", 6), as_of=6), 0)

    # Guards against a removed key that is in use again after a restart.
    def test_removals_before_the_start_reach_the_peer(self) -> None:
        self.peer.apply(self.started.changes_after(3), 0)
        self.assertEqual({"a": b"v", "c": b"v"}, values(self.peer))

    def test_a_peer_that_lacks_no_removal_gets_changes_only(self) -> None:
        self.assertFalse(self.started.changes_after(5).is_full)

    # A key that was added and removed while this host could not watch.
    def test_removals_before_a_later_full_read_reach_the_peer(self) -> None:
        self.peer.apply(batch(item("d", 7), as_of=7), 0)
        self.started.apply(
            batch(item("a", 1), item("c", 6), as_of=9, is_full=True), 0
        )
        self.started.apply(batch(item("e", 10), as_of=10), 0)
        self.peer.apply(self.started.changes_after(7), 0)
        self.assertNotIn("d", values(self.peer))
