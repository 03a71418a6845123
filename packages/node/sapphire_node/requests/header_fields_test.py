import testtools
from testtools import matchers

from sapphire_node.requests import header_fields


class FieldsTest(testtools.TestCase):
    def test_whole_numbers_are_bounded_and_checked(self) -> None:
        cases = ((b"12", 12), (b"999", 100), (b"9" * 40, 100))
        for value, expected in cases:
            read = header_fields.whole_number([(b"X-N", value)], b"x-n", 5, 100)
            self.assertThat(read.ok, matchers.Equals(expected))
        self.assertThat(
            header_fields.whole_number([], b"x-n", 5, 100).ok,
            matchers.Equals(5),
        )
        for value in (b"", b"-1", b"1.5", b"\xb2"):
            read = header_fields.whole_number([(b"x-n", value)], b"x-n", 5, 100)
            self.assertTrue(read.is_error(), value)

    def test_fields_of_one_connection_do_not_go_on(self) -> None:
        headers = [
            (b"Connection", b"close, X-Hop"),
            (b"X-Hop", b"1"),
            (b"Transfer-Encoding", b"chunked"),
            (b"Accept", b"*/*"),
        ]
        kept = header_fields.without_hop_fields(headers)
        self.assertEqual([(b"accept", b"*/*")], kept)
