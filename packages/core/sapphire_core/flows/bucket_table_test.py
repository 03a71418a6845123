import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from sapphire_core.flows import bucket_table

NAMES = strategies.lists(
    strategies.text("abc123", min_size=1, max_size=4),
    min_size=1,
    max_size=12,
    unique=True,
).map(lambda names: tuple(sorted(names)))
SETTINGS = hypothesis.settings(derandomize=True, deadline=None, max_examples=60)


class OwnersTest(testtools.TestCase):
    @SETTINGS
    @hypothesis.given(NAMES, strategies.sampled_from([13, 251, 1021]))
    def test_numbers_of_buckets_differ_by_at_most_one(
        self, names: tuple[str, ...], bucket_count: int
    ) -> None:
        table = bucket_table.owners("rota", bucket_count, names)
        counts = [table.count(index) for index in range(len(names))]
        self.assertThat(sum(counts), matchers.Equals(bucket_count))
        self.assertThat(max(counts) - min(counts), matchers.LessThan(2))

    @SETTINGS
    @hypothesis.given(NAMES)
    def test_removal_of_an_upstream_moves_few_buckets_of_the_others(
        self, names: tuple[str, ...]
    ) -> None:
        hypothesis.assume(len(names) > 1)
        before = bucket_table.owners("rota", 1021, names)
        remaining = names[:-1]
        after = bucket_table.owners("rota", 1021, remaining)
        moved = 0
        for bucket in range(1021):
            if before[bucket] == len(names) - 1:
                continue
            moved += before[bucket] != after[bucket]
        # Hashing modulo the number of upstreams would move almost all of them.
        self.assertThat(moved, matchers.LessThan(1021 // 2))

    def test_empty_generation_has_no_owner(self) -> None:
        table = bucket_table.owners("rota", 13, ())
        self.assertIsNone(bucket_table.owner_name(table, (), 5))

    def test_ambiguous_buckets_are_those_whose_owner_differs(self) -> None:
        first, second = ("a", "b", "c"), ("a", "c", "d")
        ambiguous = bucket_table.ambiguous_buckets("rota", 251, (first, second))
        tables = [
            bucket_table.owners("rota", 251, pool) for pool in (first, second)
        ]
        expected = []
        for bucket in range(251):
            one = bucket_table.owner_name(tables[0], first, bucket)
            two = bucket_table.owner_name(tables[1], second, bucket)
            if one != two:
                expected.append(bucket)
        self.assertThat(ambiguous, matchers.Equals(expected))
        self.assertThat(ambiguous, matchers.Not(matchers.HasLength(0)))
