import collections

import hypothesis
from hypothesis import strategies
import testtools

from sapphire_core.requests import slot_assignment

HOSTS = strategies.lists(
    strategies.text(min_size=1, max_size=4),
    min_size=1,
    max_size=12,
    unique=True,
)
SLOTS = strategies.dictionaries(
    strategies.text(min_size=1, max_size=4),
    strategies.integers(0, 5),
    max_size=8,
)


class OwnedSlotsTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(hosts=HOSTS, slots_by_upstream=SLOTS)
    def test_each_slot_has_one_owner_and_hands_are_even(
        self, hosts: list[str], slots_by_upstream: dict[str, int]
    ) -> None:
        owners: collections.Counter[tuple[str, int]] = collections.Counter()
        hands = []
        for host in hosts:
            owned = slot_assignment.assigned_slots(
                "s", slots_by_upstream, hosts, host
            )
            pairs = [(name, n) for name in owned for n in owned[name]]
            owners.update(pairs)
            hands.append(len(pairs))
        wanted = {
            (name, number)
            for name, count in slots_by_upstream.items()
            for number in range(count)
        }
        self.assertEqual(wanted, set(owners))
        self.assertEqual(len(wanted), owners.total())
        self.assertLessEqual(max(hands) - min(hands), 1)
