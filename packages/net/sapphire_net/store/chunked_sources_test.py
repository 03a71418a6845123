import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from sapphire_net.store import chunked_sources

LINES = [
    b'  "upstream-%d": {"data_centre": "dc"},' % number
    for number in range(20_000)
]
SOURCE = b"\n".join(LINES)


class EncodeTest(testtools.TestCase):
    def test_edit_of_one_line_changes_few_chunks(self) -> None:
        before = chunked_sources.encode(SOURCE)
        for position in (0, 10_000, 19_999):
            edited = list(LINES)
            edited[position] = b"// A comment of another length."
            after = chunked_sources.encode(b"\n".join(edited))
            new = set(after.chunks_by_digest) - set(before.chunks_by_digest)
            self.assertThat(len(new), matchers.LessThan(4))
        count = len(before.chunks_by_digest)
        self.assertThat(count, matchers.GreaterThan(15))

    def test_source_without_lines_is_split_by_length(self) -> None:
        stored = chunked_sources.encode(
            bytes(3 * chunked_sources.MAX_CHUNK_BYTES + 1)
        )
        digests = chunked_sources.chunk_digests(stored.manifest)
        self.assertThat(len(digests), matchers.Equals(4))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(strategies.lists(strategies.binary(max_size=30)))
    def test_joined_chunks_equal_the_source(self, lines: list[bytes]) -> None:
        source = b"\n".join(lines)
        self.assertThat(
            b"".join(chunked_sources.split(source)), matchers.Equals(source)
        )
