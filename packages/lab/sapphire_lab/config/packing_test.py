import dataclasses
import random

import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from sapphire_lab.config import builders
from sapphire_wire.documents import packing


class PackingTest(testtools.TestCase):
    def test_configuration_survives_the_round_trip(self) -> None:
        first = builders.configuration()
        second = builders.configuration(previous=first, out=("salem",))
        packed = packing.pack(second, builders.change())
        head = packing.unpack_head(packed.head).ok
        unpacked = packing.unpack(head, packed.parts_by_digest)
        expected = dataclasses.replace(second, digest="d")
        self.assertThat(unpacked.ok, matchers.Equals(expected))
        self.assertThat(head.version, matchers.Equals(packed.version))
        self.assertThat(head.change, matchers.Equals(builders.change()))

    def test_altered_or_missing_part_is_a_typed_failure(self) -> None:
        packed = packing.pack(builders.configuration(), builders.change())
        head = packing.unpack_head(packed.head).ok
        for parts in (
            {},
            dict.fromkeys(packed.parts_by_digest, b"x"),
        ):
            unpacked = packing.unpack(head, parts)
            self.assertThat(unpacked.is_error(), matchers.Equals(True))

    def test_part_that_is_no_record_is_a_typed_failure(self) -> None:
        content = b"not compressed"
        digest = packing.part_digest(content)
        packed = packing.pack(builders.configuration(), builders.change())
        head = dataclasses.replace(
            packing.unpack_head(packed.head).ok, part_digests=(digest,)
        )
        unpacked = packing.unpack(head, {digest: content})
        self.assertThat(unpacked.is_error(), matchers.Equals(True))

    def test_change_of_one_service_leaves_most_parts_alone(self) -> None:
        pools = {
            f"s-{index}": {f"u-{index}-{one}": f"dc-{one}" for one in range(4)}
            for index in range(2_000)
        }
        first = builders.configuration(pools)
        second = builders.configuration(pools, first, drained=("u-7-0",))
        before = packing.pack(first, builders.change())
        after = packing.pack(second, builders.change("w2"))
        new = set(after.parts_by_digest) - set(before.parts_by_digest)
        total = len(after.parts_by_digest)
        # The service's header and its upstreams in each data centre.
        self.assertThat(len(new), matchers.LessThan(6))
        self.assertThat(total, matchers.GreaterThan(30))

    def test_parts_of_one_large_service_stay_under_the_limit(self) -> None:
        source = random.Random(1)
        pool = {
            f"{source.getrandbits(200):050x}": "tacoma" for _ in range(9_000)
        }
        configuration = builders.configuration({"rota": pool})
        packed = packing.pack(configuration, builders.change())
        largest = max(map(len, packed.parts_by_digest.values()))
        self.assertThat(largest, matchers.LessThan(packing.MAX_PART_BYTES))
        head = packing.unpack_head(packed.head).ok
        unpacked = packing.unpack(head, packed.parts_by_digest)
        self.assertThat(unpacked.is_ok(), matchers.Equals(True))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(strategies.binary(max_size=200))
    def test_arbitrary_heads_never_raise(self, content: bytes) -> None:
        decoded = packing.unpack_head(content)
        self.assertThat(
            decoded.is_ok() != decoded.is_error(), matchers.Equals(True)
        )
