"""What holds for both ways to hold the state of flows."""

from collections.abc import Callable

import testtools

from sapphire_core.flow_state import data
from sapphire_lab.flow_state import fleets

HOSTS = 3
UPSTREAMS = 4
FLOWS = 400
SEED = 5


class TaggedContractTest(testtools.TestCase):
    """The contract, for tags; the class below runs it for bucket tables."""

    make_fleet: Callable[[int, int, int], fleets.Fleet] = staticmethod(
        fleets.TaggedFleet
    )

    def setUp(self) -> None:
        super().setUp()
        self.fleet = self.make_fleet(SEED, HOSTS, UPSTREAMS)
        self.callers = fleets.Callers(self.fleet, SEED)
        self.opened = self.callers.open(FLOWS)

    def test_every_upstream_gets_flows(self) -> None:
        self.assertEqual(UPSTREAMS, len(self.opened))

    def test_packets_reach_the_upstream_of_their_flow_through_any_host(
        self,
    ) -> None:
        for _ in range(3):
            self.assertEqual([], self.callers.misplaced())

    def test_a_new_upstream_takes_new_flows_only(self) -> None:
        added = self.fleet.add_upstream()
        self.assertEqual([], self.callers.misplaced())
        self.fleet.settle()
        self.assertEqual([], self.callers.misplaced())
        self.assertGreater(self.callers.open(FLOWS)[added], 0)
        self.assertEqual([], self.callers.misplaced())

    def test_a_draining_upstream_keeps_its_flows_and_gets_no_new_ones(
        self,
    ) -> None:
        draining = sorted(self.opened)[0]
        self.fleet.drain_upstream(draining)
        self.assertEqual([], self.callers.misplaced())
        self.fleet.settle()
        self.assertEqual([], self.callers.misplaced())
        self.assertEqual(0, self.callers.open(FLOWS)[draining])

    def test_a_host_that_has_just_started_carries_open_flows(self) -> None:
        self.fleet.start_host("host-new")
        self.assertEqual([], self.callers.misplaced())
        self.fleet.settle()
        self.assertEqual([], self.callers.misplaced())

    def test_flows_outlive_all_hosts_that_opened_them(self) -> None:
        for number in range(HOSTS):
            self.fleet.start_host(f"host-new-{number}")
            self.fleet.settle()
            self.fleet.stop_host(f"host-{number}")
            self.assertEqual([], self.callers.misplaced())
            self.fleet.settle()
        self.assertEqual([], self.callers.misplaced())

    def test_changes_while_hosts_are_replaced_move_no_flow(self) -> None:
        self.fleet.start_host("host-new")
        draining = sorted(self.opened)[0]
        self.fleet.drain_upstream(draining)
        self.fleet.add_upstream()
        self.assertEqual([], self.callers.misplaced())
        self.fleet.stop_host("host-0")
        self.assertEqual([], self.callers.misplaced())
        self.fleet.settle()
        self.assertEqual([], self.callers.misplaced())

    def test_an_endpoint_without_a_service_gets_nothing(self) -> None:
        outcome = self.callers.send(FLOWS + 1, is_opening=True, port=9)
        self.assertIsInstance(outcome, (data.Refused, data.Unsent))


class BucketContractTest(TaggedContractTest):
    """The same contract for bucket tables and keepers' records."""

    make_fleet: Callable[[int, int, int], fleets.Fleet] = staticmethod(
        fleets.BucketFleet
    )


class CheckTest(testtools.TestCase):
    def test_flows_that_move_are_noticed(self) -> None:
        fleet = fleets.TaggedFleet(SEED, HOSTS, UPSTREAMS)
        callers = fleets.Callers(fleet, SEED)
        callers.open(FLOWS)
        # As if another way of holding the state forgot it at a restart.
        for number in range(HOSTS):
            fleet.stop_host(f"host-{number}")
        fleet.start_host("host-new")
        callers.forget_tags()
        self.assertEqual(FLOWS, len(callers.misplaced()))
