import testtools

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import tags


class TagsTest(testtools.TestCase):
    def test_tags_are_the_same_in_all_versions_of_the_program(self) -> None:
        # During an update, hosts of several versions forward packets of the
        # same flow, so these numbers must never change.
        self.assertEqual(0x46438330, tags.tag_of("i-7f3a91c2"))

    def test_a_tag_fits_its_field_and_is_never_no_tag(self) -> None:
        for number in range(1_000):
            tag = tags.tag_of(f"i-{number:08x}")
            self.assertNotEqual(data.NO_TAG, tag)
            self.assertLess(tag, 2**32)
