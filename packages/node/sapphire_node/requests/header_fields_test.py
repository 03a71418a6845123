import testtools
from testtools import matchers

from sapphire_node.requests import header_fields


class HeaderFieldsTest(testtools.TestCase):
    def test_whole_numbers_are_limited_and_validated(self) -> None:
        cases = ((b"12", 12), (b"999", 100), (b"9" * 40, 100))
        for value, expected in cases:
            parsed = header_fields.parse_whole_number(
                [(b"X-N", value)], b"x-n", 5, 100
            )
            self.assertThat(parsed.ok, matchers.Equals(expected))
        self.assertThat(
            header_fields.parse_whole_number([], b"x-n", 5, 100).ok,
            matchers.Equals(5),
        )
        for value in (b"", b"-1", b"1.5", b"\xb2"):
            parsed = header_fields.parse_whole_number(
                [(b"x-n", value)], b"x-n", 5, 100
            )
            self.assertTrue(parsed.is_error(), value)

    def test_hop_by_hop_fields_are_not_forwarded(self) -> None:
        headers = [
            (b"Connection", b"close, X-Hop"),
            (b"X-Hop", b"1"),
            (b"Transfer-Encoding", b"chunked"),
            (b"Accept", b"*/*"),
        ]
        forwarded = header_fields.without_hop_by_hop_fields(headers)
        self.assertEqual([(b"accept", b"*/*")], forwarded)
