"""The contract of both implementations of flow state."""

from collections.abc import Callable

import testtools

from sapphire_core.flow_state import data
from sapphire_lab.flow_state import fleets

HOSTS = 3
UPSTREAMS = 4
FLOWS = 400
SEED = 5


class TaggedContractTest(testtools.TestCase):
    """The contract for flow state in tags.

    `BucketContractTest` runs the same tests for bucket tables.
    """

    make_fleet: Callable[[int, int, int], fleets.Fleet] = staticmethod(
        fleets.TaggedFleet
    )

    def setUp(self) -> None:
        super().setUp()
        self.fleet = self.make_fleet(SEED, HOSTS, UPSTREAMS)
        self.callers = fleets.Callers(self.fleet, SEED)
        self.opened = self.callers.open(FLOWS)

    def test_every_upstream_gets_new_flows(self) -> None:
        self.assertEqual(UPSTREAMS, len(self.opened))

    def test_packets_reach_the_upstream_of_their_flow_through_any_host(
        self,
    ) -> None:
        for _ in range(3):
            self.assertEqual([], self.callers.misrouted_flows())

    def test_a_new_upstream_gets_new_flows_only(self) -> None:
        added = self.fleet.add_upstream()
        self.assertEqual([], self.callers.misrouted_flows())
        self.fleet.settle()
        self.assertEqual([], self.callers.misrouted_flows())
        self.assertGreater(self.callers.open(FLOWS)[added], 0)
        self.assertEqual([], self.callers.misrouted_flows())

    def test_a_draining_upstream_keeps_its_flows_and_gets_no_new_ones(
        self,
    ) -> None:
        draining = sorted(self.opened)[0]
        self.fleet.drain_upstream(draining)
        self.assertEqual([], self.callers.misrouted_flows())
        self.fleet.settle()
        self.assertEqual([], self.callers.misrouted_flows())
        self.assertEqual(0, self.callers.open(FLOWS)[draining])

    def test_a_host_that_has_just_started_forwards_open_flows(self) -> None:
        self.fleet.start_host("host-new")
        self.assertEqual([], self.callers.misrouted_flows())
        self.fleet.settle()
        self.assertEqual([], self.callers.misrouted_flows())

    def test_flows_survive_the_replacement_of_all_hosts(self) -> None:
        for number in range(HOSTS):
            self.fleet.start_host(f"host-new-{number}")
            self.fleet.settle()
            self.fleet.stop_host(f"host-{number}")
            self.assertEqual([], self.callers.misrouted_flows())
            self.fleet.settle()
        self.assertEqual([], self.callers.misrouted_flows())

    def test_no_flow_moves_if_upstreams_and_hosts_change_at_once(self) -> None:
        self.fleet.start_host("host-new")
        draining = sorted(self.opened)[0]
        self.fleet.drain_upstream(draining)
        self.fleet.add_upstream()
        self.assertEqual([], self.callers.misrouted_flows())
        self.fleet.stop_host("host-0")
        self.assertEqual([], self.callers.misrouted_flows())
        self.fleet.settle()
        self.assertEqual([], self.callers.misrouted_flows())

    def test_no_packet_to_an_endpoint_without_a_service_is_sent(self) -> None:
        decision = self.callers.send(FLOWS + 1, is_opening=True, port=9)
        self.assertIsInstance(decision, (data.Reset, data.Drop))


class BucketContractTest(TaggedContractTest):
    """The contract for bucket tables and the records of replica hosts."""

    make_fleet: Callable[[int, int, int], fleets.Fleet] = staticmethod(
        fleets.BucketFleet
    )


class MisroutedFlowsTest(testtools.TestCase):
    """`Callers.misrouted_flows`, on which the contract tests rely."""

    def test_flows_without_their_tags_are_misrouted(self) -> None:
        fleet = fleets.TaggedFleet(SEED, HOSTS, UPSTREAMS)
        callers = fleets.Callers(fleet, SEED)
        callers.open(FLOWS)
        # As if an implementation lost the state of flows when hosts restart.
        for number in range(HOSTS):
            fleet.stop_host(f"host-{number}")
        fleet.start_host("host-new")
        callers.discard_tags()
        self.assertEqual(FLOWS, len(callers.misrouted_flows()))
