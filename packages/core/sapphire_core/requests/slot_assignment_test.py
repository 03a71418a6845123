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


class AssignedSlotsTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(hosts=HOSTS, slots_by_upstream=SLOTS)
    def test_each_slot_is_assigned_once_and_counts_differ_by_at_most_one(
        self, hosts: list[str], slots_by_upstream: dict[str, int]
    ) -> None:
        host_counts: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        slot_counts = []
        for host in hosts:
            assigned = slot_assignment.assigned_slots(
                "s", slots_by_upstream, hosts, host
            )
            pairs = [(name, n) for name in assigned for n in assigned[name]]
            host_counts.update(pairs)
            slot_counts.append(len(pairs))
        all_slots = {
            (name, number)
            for name, count in slots_by_upstream.items()
            for number in range(count)
        }
        self.assertEqual(all_slots, set(host_counts))
        self.assertEqual(len(all_slots), host_counts.total())
        self.assertLessEqual(max(slot_counts) - min(slot_counts), 1)
