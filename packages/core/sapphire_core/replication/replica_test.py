import itertools

import testtools

from sapphire_core.replication import data
from sapphire_core.replication import replica
from sapphire_lab.tagged_flows import builders

item = builders.item
batch = builders.batch


def values(copy: replica.Replica) -> dict[str, bytes | None]:
    return {one.key: one.value for one in copy.items()}


class ReplicaTest(testtools.TestCase):
    def test_the_order_of_batches_does_not_matter(self) -> None:
        batches = (
            batch(item("a", 1), item("b", 2), as_of=2, is_full=True),
            batch(item("a", 3, b"new"), as_of=3),
            batch(item("b", 4, None), as_of=4),
            batch(item("c", 5), as_of=5),
        )
        for order in itertools.permutations(batches):
            copy = replica.Replica()
            for one in order:
                copy.apply(one, 0)
            self.assertEqual({"a": b"new", "c": b"v"}, values(copy))

    def test_nothing_is_news_twice(self) -> None:
        copy = replica.Replica()
        first = batch(item("a", 1), as_of=1, is_full=True)
        self.assertEqual([item("a", 1)], copy.apply(first, 0))
        self.assertEqual([], copy.apply(first, 0))

    def test_an_old_value_never_comes_back(self) -> None:
        copy = replica.Replica()
        copy.apply(batch(item("a", 5, b"new"), as_of=5, is_full=True), 0)
        copy.apply(batch(item("a", 4, b"old"), as_of=9, is_full=True), 0)
        self.assertEqual({"a": b"new"}, values(copy))
        copy.apply(batch(item("a", 6, None), as_of=9), 0)
        copy.apply(batch(item("a", 5, b"new"), as_of=9, is_full=True), 0)
        self.assertEqual({}, values(copy))

    def test_a_full_read_removes_what_is_missing(self) -> None:
        copy = replica.Replica()
        copy.apply(batch(item("a", 1), item("b", 2), as_of=2, is_full=True), 0)
        news = copy.apply(batch(item("b", 2), as_of=8, is_full=True), 0)
        self.assertEqual([item("a", 8, None)], news)

    def test_a_full_read_leaves_what_came_after_it(self) -> None:
        # A peer told of the key while the read was under way.
        copy = replica.Replica()
        copy.apply(batch(item("a", 9), as_of=9), 0)
        copy.apply(batch(as_of=8, is_full=True), 0)
        self.assertEqual({"a": b"v"}, values(copy))

    def test_a_peer_gets_what_it_lacks(self) -> None:
        copy = replica.Replica()
        copy.apply(batch(item("a", 1), item("b", 2), as_of=2, is_full=True), 0)
        copy.apply(batch(item("a", 3, None), item("c", 4), as_of=6), 0)
        self.assertEqual(
            batch(item("a", 3, None), item("c", 4), as_of=6),
            copy.changes_after(2),
        )
        self.assertEqual(
            batch(item("b", 2), item("c", 4), as_of=6, is_full=True),
            copy.changes_after(0),
        )

    def test_a_peer_that_is_behind_forgotten_removals_gets_all(self) -> None:
        copy = replica.Replica()
        copy.apply(batch(item("a", 1), item("b", 2), as_of=2, is_full=True), 0)
        copy.apply(batch(item("a", 3, None), as_of=3), 0)
        copy.evict_expired(replica.TOMBSTONE_LIFE_MS)
        told = copy.changes_after(2)
        self.assertTrue(told.is_full)
        peer = replica.Replica()
        peer.apply(batch(item("a", 1), item("b", 2), as_of=2, is_full=True), 0)
        peer.apply(told, 0)
        self.assertEqual({"b": b"v"}, values(peer))

    def test_the_newest_change_is_known_apart_from_completeness(self) -> None:
        copy = replica.Replica()
        copy.apply(batch(item("a", 1), as_of=40, is_full=True), 0)
        self.assertEqual((40, 1), (copy.as_of, copy.newest_revision))
        copy.apply(data.Batch((), 50, False), 0)
        self.assertEqual((50, 1), (copy.as_of, copy.newest_revision))


class RemovedTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.copy = replica.Replica()
        full = batch(item("a", 1, b"old"), item("b", 2), as_of=2, is_full=True)
        self.copy.apply(full, 0)

    def test_the_last_value_of_a_removed_key_is_kept(self) -> None:
        self.copy.apply(batch(item("a", 3, b"new"), as_of=3), 0)
        self.copy.apply(batch(item("a", 4, None), as_of=4), 0)
        self.assertEqual(
            (item("a", 3, b"new"),), self.copy.removed_items().items
        )

    def test_keys_that_a_full_read_no_longer_has_are_kept(self) -> None:
        self.copy.apply(batch(item("b", 2), as_of=5, is_full=True), 0)
        self.assertEqual(
            (item("a", 1, b"old"),), self.copy.removed_items().items
        )

    def test_a_key_that_came_back_is_not_removed(self) -> None:
        self.copy.apply(batch(item("a", 4, None), as_of=4), 0)
        self.copy.apply(batch(item("a", 5), as_of=5), 0)
        self.assertEqual((), self.copy.removed_items().items)

    def test_removed_keys_are_forgotten_in_the_end(self) -> None:
        self.copy.apply(batch(item("a", 4, None), as_of=4), 0)
        self.copy.evict_expired(replica.TOMBSTONE_LIFE_MS - 1)
        self.assertEqual(1, len(self.copy.removed_items().items))
        self.copy.evict_expired(replica.TOMBSTONE_LIFE_MS)
        self.assertEqual((), self.copy.removed_items().items)

    def test_the_removal_of_an_unknown_key_keeps_nothing(self) -> None:
        self.copy.apply(batch(item("c", 4, None), as_of=4), 0)
        self.assertEqual((), self.copy.removed_items().items)
