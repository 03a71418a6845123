import collections
import random

import testtools

from sapphire_core.tagged_flows import selection_policy
from sapphire_core.tagged_flows import upstream_table
from sapphire_lab.tagged_flows import builders

HOME = builders.DATA_CENTRE


def candidate(
    name: str,
    *,
    data_centre: str = HOME,
    in_flight: float = 0,
    consecutive_unanswered: int = 0,
    is_cold: bool = False,
    slots: int = 3,
) -> selection_policy.Candidate:
    upstream = builders.upstream(name, data_centre=data_centre, slots=slots)
    entry = upstream_table.Entry(upstream, 5, 1, 0)
    return selection_policy.Candidate(
        entry, in_flight, consecutive_unanswered, is_cold
    )


class SelectionPolicyTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.rng = random.Random(builders.SEED)

    def select(
        self,
        *candidates: selection_policy.Candidate,
        excluded_ids: tuple[str, ...] = (),
    ) -> str:
        chosen = selection_policy.select(
            candidates, HOME, excluded_ids, self.rng
        )
        return chosen.entry.upstream.upstream_id if chosen else ""

    def test_warm_ones_that_answer_go_first(self) -> None:
        good = candidate("i-1", in_flight=9)
        cold = candidate("i-2", is_cold=True)
        silent = candidate("i-3", consecutive_unanswered=1)
        self.assertEqual("i-1", self.select(good, cold, silent))
        self.assertEqual("i-2", self.select(cold, silent))
        self.assertEqual("i-3", self.select(silent))

    def test_of_silent_ones_the_least_silent_is_tried(self) -> None:
        often = candidate("i-1", consecutive_unanswered=3)
        once = candidate(
            "i-2", consecutive_unanswered=1, data_centre="salem", in_flight=5
        )
        self.assertEqual("i-2", self.select(often, once))

    def test_the_least_loaded_by_its_slots(self) -> None:
        small = candidate("i-1", in_flight=1, slots=1)
        large = candidate("i-2", in_flight=3, slots=8)
        self.assertEqual("i-2", self.select(small, large))

    def test_own_data_centre_until_it_has_more_to_do(self) -> None:
        near = candidate("i-1", in_flight=1)
        far = candidate("i-2", data_centre="salem", in_flight=0)
        self.assertEqual("i-1", self.select(near, far))
        near = candidate("i-1", in_flight=3)
        self.assertEqual("i-2", self.select(near, far))

    def test_equals_share(self) -> None:
        names = [f"i-{number}" for number in range(4)]
        chosen = collections.Counter(
            self.select(*(candidate(name) for name in names))
            for _ in range(400)
        )
        self.assertEqual(set(names), set(chosen))
        self.assertGreater(min(chosen.values()), 60)

    def test_none_is_tried_twice(self) -> None:
        self.assertEqual(
            "i-2",
            self.select(
                candidate("i-1"), candidate("i-2"), excluded_ids=("i-1",)
            ),
        )
        self.assertEqual(
            "", self.select(candidate("i-1"), excluded_ids=("i-1",))
        )
