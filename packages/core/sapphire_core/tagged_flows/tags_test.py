import testtools

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import tags


class TagsTest(testtools.TestCase):
    def test_a_tag_means_the_same_for_all_versions_of_the_program(self) -> None:
        # Hosts of several versions carry packets of one flow during an
        # update, so these numbers may never change.
        self.assertEqual(0x46438330, tags.tag_of("i-7f3a91c2"))

    def test_a_tag_fits_its_field_and_is_never_the_empty_one(self) -> None:
        for number in range(1_000):
            tag = tags.tag_of(f"i-{number:08x}")
            self.assertNotEqual(data.NO_TAG, tag)
            self.assertLess(tag, 2**32)
