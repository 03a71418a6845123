"""Load patterns of too little room: more is asked than the slots bear.

Upstreams have three slots and a queue of twelve, and a request takes 42 ms,
like those of the users' smallest services.
"""

import testtools

from sapphire_core.tagged_flows import data
from sapphire_lab.tagged_flows import builders
from sapphire_lab.tagged_flows import load_fleet
from sapphire_lab.tagged_flows import load_simulation

UPSTREAMS = 7
SLOTS = 3
QUEUE = 12
WORK_MS = 42
CAPACITY_PER_S = UPSTREAMS * SLOTS * 1_000 / WORK_MS
OBJECTIVE_MS = 300
# Below the response time of a full queue, so that forwarding all is late.
SHORT_OBJECTIVE_MS = 250
HOSTS = 9
SEED = 1


def run_burst(
    load: float, objective_ms: int = OBJECTIVE_MS
) -> tuple[load_simulation.LoadSimulation, list[int]]:
    """Runs a burst of two seconds after the usual load.

    Args:
        load: What is asked, as a multiple of what the slots bear.
        objective_ms: The latency objective.

    Returns:
        The simulation at the end of the burst, and the latencies in the burst
        in milliseconds.
    """
    burst = load_simulation.LoadSimulation(
        [
            load_simulation.SimulatedUpstream(f"i-{n}", WORK_MS, SLOTS, QUEUE)
            for n in range(UPSTREAMS)
        ],
        SEED,
        load_fleet.FleetPlan(hosts=HOSTS, objective_ms=objective_ms),
    )
    burst.run(2, 0.4 * CAPACITY_PER_S)
    before = len(burst.latencies_ms)
    burst.run(2, load * CAPACITY_PER_S)
    return burst, burst.latencies_ms[before:]


def in_time(latencies_ms: list[int], objective_ms: int = OBJECTIVE_MS) -> int:
    return sum(1 for each in latencies_ms if each <= objective_ms)


class OverloadTest(testtools.TestCase):
    def test_most_of_what_the_slots_bear_is_served_in_time(self) -> None:
        """Pattern: two and four times what the slots bear."""
        for load in (2.0, 4.0):
            _, latencies_ms = run_burst(load)
            capacity = 2 * CAPACITY_PER_S
            # What the users want of such a burst.
            self.assertGreaterEqual(in_time(latencies_ms), 0.9 * capacity)

    def test_most_are_in_time_though_full_queues_would_be_late(self) -> None:
        """Pattern: as before, with an objective that full queues miss."""
        _, latencies_ms = run_burst(2.0, SHORT_OBJECTIVE_MS)
        served = in_time(latencies_ms, SHORT_OBJECTIVE_MS)
        self.assertGreater(served, 0.5 * 2 * CAPACITY_PER_S)

    def test_nine_tenths_are_in_time_at_a_short_objective(self) -> None:
        """What the users want of such a burst; known red."""
        _, latencies_ms = run_burst(2.0, SHORT_OBJECTIVE_MS)
        served = in_time(latencies_ms, SHORT_OBJECTIVE_MS)
        self.assertGreaterEqual(served, 0.9 * 2 * CAPACITY_PER_S)

    def test_the_second_after_the_burst_is_as_before(self) -> None:
        burst, _ = run_burst(4.0)
        burst.run(0.3, 0.4 * CAPACITY_PER_S)
        served = len(burst.latencies_ms)
        resets = burst.resets
        burst.run(1, 0.4 * CAPACITY_PER_S)
        after = burst.latencies_ms[served:]
        self.assertGreaterEqual(in_time(after) / len(after), 0.99)
        self.assertEqual(resets, burst.resets)


class RefusalTest(testtools.TestCase):
    """A refusal is true, and not made where it could be wrong."""

    def setUp(self) -> None:
        super().setUp()
        self.bench = builders.SteeringBench(
            *(builders.upstream(f"i-{n}", slots=1) for n in range(3))
        )
        self.now_ms = 1_000
        self.number = 0
        self.bench.steering.apply_peer_reports({}, {}, 1, self.now_ms)
        self.serve(40, openings=1, time_ms=20)

    def serve(self, responses: int, *, openings: int, time_ms: int) -> None:
        """Serves requests one after the other, with openings beside each."""
        for _ in range(responses):
            self.number += 1
            number = self.number
            action = self.bench.open(number, self.now_ms)
            for _ in range(openings - 1):
                self.number += 1
                self.bench.open(self.number, self.now_ms)
            self.bench.steering.sweep(self.now_ms)
            if isinstance(action, data.Forward):
                self.bench.answer(number, action, self.now_ms + 1)
                self.advance(time_ms)
                self.bench.steering.handle(
                    builders.packet(
                        number,
                        tag=action.tag,
                        sequence=302,
                        acknowledged=870,
                        payload_bytes=0,
                        is_closing=True,
                    ),
                    self.now_ms,
                )
            self.advance(10)

    def advance(self, duration_ms: int) -> None:
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.now_ms += 10
            self.bench.steering.tick(self.now_ms)
            self.bench.steering.sweep(self.now_ms)

    def refused(self, flows: int = 50, *, retransmissions: int = 0) -> int:
        """Returns how many new flows are refused."""
        actions = []
        for _ in range(flows):
            self.number += 1
            actions.append(
                self.bench.open(self.number, self.now_ms, retransmissions)
            )
        return sum(isinstance(each, data.Reset) for each in actions)

    def test_first_copies_are_refused_while_responses_are_late(self) -> None:
        self.serve(20, openings=8, time_ms=250)
        self.assertGreater(self.refused(), 10)
        self.assertIn(data.Verdict.SHED, self.bench.verdicts())

    def test_a_retransmission_is_not_refused(self) -> None:
        """A peer may have forwarded the first copy."""
        self.serve(20, openings=8, time_ms=250)
        self.assertEqual(0, self.refused(retransmissions=1))

    def test_nothing_is_refused_after_a_stall(self) -> None:
        """What arrived meanwhile may have been opened through a peer."""
        self.serve(20, openings=8, time_ms=250)
        self.now_ms += 1_500
        self.assertEqual(0, self.refused())

    def test_a_host_below_its_share_refuses_nothing(self) -> None:
        """Responses are late, but the slots of this host's share are free."""
        self.serve(20, openings=1, time_ms=250)
        self.assertEqual(0, self.refused(flows=3))
