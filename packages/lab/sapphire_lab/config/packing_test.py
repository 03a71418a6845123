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
    def test_configuration_survives_the_round_trip(self) -> None:
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
    def test_decoding_what_changed_equals_decoding_all(
        self, steps: list[tuple[str, bool]]
    ) -> None:
        configuration = builders.configuration()
        packed = packing.pack(configuration, builders.change(), 4)
        head = packing.unpack_head(packed.head).ok
        held = unpacking.unpack(head, packed.parts_by_digest).ok
        for name, is_cut in steps:
            document, bindings = DOCUMENTS[name]
            configuration, _ = merge.next_configuration(
                configuration, document, bindings
            )
            if is_cut:
                last = {
                    service.name: service.generations[-1].number
                    for service in configuration.services_by_name.values()
                }
                configuration = merge.truncate_history(configuration, last)
            after = packing.pack(configuration, builders.change(), 4)
            both = {**packed.parts_by_digest, **after.parts_by_digest}
            next_head = packing.unpack_head(after.head).ok
            held = unpacking.unpack_incremental(next_head, both, head, held).ok
            whole = unpacking.unpack(next_head, both).ok
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

    def test_part_that_is_no_record_is_a_typed_failure(self) -> None:
        content = b"not compressed"
        digest = packing.part_digest(content)
        packed = packing.pack(builders.configuration(), builders.change())
        head = dataclasses.replace(
            packing.unpack_head(packed.head).ok, part_digests=(digest,)
        )
        unpacked = unpacking.unpack(head, {digest: content})
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
        unpacked = unpacking.unpack(head, packed.parts_by_digest)
        self.assertThat(unpacked.is_ok(), matchers.Equals(True))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(strategies.binary(max_size=200))
    def test_arbitrary_heads_never_raise(self, content: bytes) -> None:
        decoded = packing.unpack_head(content)
        self.assertThat(
            decoded.is_ok() != decoded.is_error(), matchers.Equals(True)
        )
