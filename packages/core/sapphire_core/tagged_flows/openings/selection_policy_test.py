import collections
import random

import testtools

from sapphire_core.replication import data as replication_data
from sapphire_core.tagged_flows import upstream_table
from sapphire_core.tagged_flows.openings import selection_policy
from sapphire_lab.tagged_flows import builders

LOCAL_DATA_CENTRE = builders.DATA_CENTRE


def candidate(
    name: str,
    *,
    data_centre: str = LOCAL_DATA_CENTRE,
    in_flight: float = 0,
    consecutive_unanswered: int = 0,
    is_cold: bool = False,
    slots: int = 3,
    penalty: float = 0.0,
) -> selection_policy.Candidate:
    upstream = builders.upstream(name, data_centre=data_centre, slots=slots)
    entry = upstream_table.Entry(
        upstream, 5, replication_data.Position(0, 1), 0
    )
    return selection_policy.Candidate(
        entry, in_flight, consecutive_unanswered, is_cold, penalty
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
        selected = selection_policy.select(
            candidates, LOCAL_DATA_CENTRE, excluded_ids, self.rng
        )
        return selected.entry.upstream.upstream_id if selected else ""

    def test_warm_responsive_upstreams_come_first(self) -> None:
        warm = candidate("i-1", in_flight=9)
        cold = candidate("i-2", is_cold=True)
        unresponsive = candidate("i-3", consecutive_unanswered=1)
        self.assertEqual("i-1", self.select(warm, cold, unresponsive))
        self.assertEqual("i-2", self.select(cold, unresponsive))
        self.assertEqual("i-3", self.select(unresponsive))

    def test_of_unresponsive_upstreams_the_fewest_unanswered_wins(self) -> None:
        often = candidate("i-1", consecutive_unanswered=3)
        once = candidate(
            "i-2", consecutive_unanswered=1, data_centre="salem", in_flight=5
        )
        self.assertEqual("i-2", self.select(often, once))

    def test_load_is_relative_to_slots(self) -> None:
        small = candidate("i-1", in_flight=1, slots=1)
        large = candidate("i-2", in_flight=3, slots=8)
        self.assertEqual("i-2", self.select(small, large))

    def test_local_upstreams_are_preferred_until_they_have_more_load(
        self,
    ) -> None:
        local = candidate("i-1", in_flight=1)
        remote = candidate("i-2", data_centre="salem", in_flight=0)
        self.assertEqual("i-1", self.select(local, remote))
        local = candidate("i-1", in_flight=3)
        self.assertEqual("i-2", self.select(local, remote))

    def test_a_penalty_counts_like_requests_in_flight(self) -> None:
        ejected = candidate("i-1", penalty=6.0)
        self.assertEqual("i-2", self.select(ejected, candidate("i-2")))
        full = candidate("i-2", in_flight=7)
        self.assertEqual("i-1", self.select(ejected, full))

    def test_equally_loaded_upstreams_share_the_flows(self) -> None:
        names = [f"i-{number}" for number in range(4)]
        selected = collections.Counter(
            self.select(*(candidate(name) for name in names))
            for _ in range(400)
        )
        self.assertEqual(set(names), set(selected))
        self.assertGreater(min(selected.values()), 60)

    def test_excluded_upstreams_are_not_selected(self) -> None:
        self.assertEqual(
            "i-2",
            self.select(
                candidate("i-1"), candidate("i-2"), excluded_ids=("i-1",)
            ),
        )
        self.assertEqual(
            "", self.select(candidate("i-1"), excluded_ids=("i-1",))
        )
