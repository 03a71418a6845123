import dataclasses
import random

import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from sapphire_core.configuration import merge
from sapphire_lab.config import builders
from sapphire_wire.documents import packing
from sapphire_wire.documents import unpacking

SMALL = {"rota": {"rota-2": "salem", "rota-3": "spokane", "rota-4": "salem"}}
WIDE = {**builders.DEFAULT_POOLS, "intake": {"intake-1": "tacoma"}}
DOCUMENTS = {
    "default": (builders.document(), builders.bindings(WIDE)),
    "small": (builders.document(SMALL), builders.bindings(SMALL)),
    "wide": (builders.document(WIDE), builders.bindings(WIDE)),
    "out": (builders.document(out=("salem",)), builders.bindings(WIDE)),
    "drained": (
        builders.document(drained=("rota-1", "plans-1")),
        builders.bindings(WIDE),
    ),
}


class PackingTest(testtools.TestCase):
    def test_unpacked_configuration_equals_the_packed_one(self) -> None:
        first = builders.configuration()
        second = builders.configuration(previous=first, out=("salem",))
        packed = packing.pack(second, builders.change())
        head = packing.unpack_head(packed.head).ok
        unpacked = unpacking.unpack(head, packed.parts_by_digest)
        expected = dataclasses.replace(second, digest="d")
        self.assertThat(unpacked.ok, matchers.Equals(expected))
        self.assertThat(head.version, matchers.Equals(packed.version))
        self.assertThat(head.change, matchers.Equals(builders.change()))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(sorted(DOCUMENTS)),
                strategies.booleans(),
            ),
            min_size=1,
            max_size=8,
        )
    )
    def test_unpacking_changed_parts_equals_unpacking_all_parts(
        self, steps: list[tuple[str, bool]]
    ) -> None:
        configuration = builders.configuration()
        packed = packing.pack(configuration, builders.change(), 4)
        head = packing.unpack_head(packed.head).ok
        held = unpacking.unpack(head, packed.parts_by_digest).ok
        for name, is_truncated in steps:
            document, bindings = DOCUMENTS[name]
            configuration, _ = merge.next_configuration(
                configuration, document, bindings
            )
            if is_truncated:
                current_by_service = {
                    service.name: service.generations[-1].number
                    for service in configuration.services_by_name.values()
                }
                configuration = merge.truncate_history(
                    configuration, current_by_service
                )
            after = packing.pack(configuration, builders.change(), 4)
            parts = {**packed.parts_by_digest, **after.parts_by_digest}
            next_head = packing.unpack_head(after.head).ok
            held = unpacking.unpack_incremental(next_head, parts, head, held).ok
            whole = unpacking.unpack(next_head, parts).ok
            self.assertThat(held, matchers.Equals(whole))
            packed, head = after, next_head

    def test_altered_or_missing_part_is_a_typed_failure(self) -> None:
        packed = packing.pack(builders.configuration(), builders.change())
        head = packing.unpack_head(packed.head).ok
        for parts in (
            {},
            dict.fromkeys(packed.parts_by_digest, b"x"),
        ):
            unpacked = unpacking.unpack(head, parts)
            self.assertThat(unpacked.is_error(), matchers.Equals(True))

    def test_part_that_is_not_compressed_is_a_typed_failure(self) -> None:
        content = b"not compressed"
        digest = packing.part_digest(content)
        packed = packing.pack(builders.configuration(), builders.change())
        head = dataclasses.replace(
            packing.unpack_head(packed.head).ok, part_digests=(digest,)
        )
        unpacked = unpacking.unpack(head, {digest: content})
        self.assertThat(unpacked.is_error(), matchers.Equals(True))

    def test_change_of_one_service_changes_few_parts(self) -> None:
        pools = {
            f"s-{index}": {f"u-{index}-{dc}": f"dc-{dc}" for dc in range(4)}
            for index in range(2_000)
        }
        first = builders.configuration(pools)
        second = builders.configuration(pools, first, drained=("u-7-0",))
        before = packing.pack(first, builders.change())
        after = packing.pack(second, builders.change("w2"))
        new_digests = set(after.parts_by_digest) - set(before.parts_by_digest)
        part_count = len(after.parts_by_digest)
        # The part with the service's record and those with its upstreams in
        # each of the four data centres.
        self.assertThat(len(new_digests), matchers.LessThan(6))
        self.assertThat(part_count, matchers.GreaterThan(30))

    def test_parts_of_one_large_service_stay_under_the_limit(self) -> None:
        rng = random.Random(1)
        pool = {f"{rng.getrandbits(200):050x}": "tacoma" for _ in range(9_000)}
        configuration = builders.configuration({"rota": pool})
        packed = packing.pack(configuration, builders.change())
        largest_bytes = max(map(len, packed.parts_by_digest.values()))
        self.assertThat(
            largest_bytes, matchers.LessThan(packing.MAX_PART_BYTES)
        )
        head = packing.unpack_head(packed.head).ok
        unpacked = unpacking.unpack(head, packed.parts_by_digest)
        self.assertThat(unpacked.is_ok(), matchers.Equals(True))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(strategies.binary(max_size=200))
    def test_arbitrary_heads_never_raise(self, content: bytes) -> None:
        decoded = packing.unpack_head(content)
        self.assertThat(
            decoded.is_ok() != decoded.is_error(), matchers.Equals(True)
        )
