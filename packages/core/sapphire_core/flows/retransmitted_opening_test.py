"""Opening packets that callers retransmit after a change.

The flows are opened where every host selects the same upstream, so that none is
recorded, before any host has prepared the change.
"""

import itertools

import testtools

from sapphire_core.flows import data
from sapphire_core.flows import flow_table
from sapphire_core.flows import handover_client
from sapphire_core.flows import router_fault_test
from sapphire_core.flows import router_state_test
from sapphire_lab.flows import builders

# How late the hosts receive the change, evenly over what the state test draws.
DELAYS_MS = ([0], [300], [600], [900], [1_200], [1_500])
ENTRY_HOSTS = range(6)
# How 2.1 s pass between an opening packet and its retransmission. Packets of
# the open flow reach every host after each step.
STEPS_MS = ((2_000, 100), (700, 700, 700), (100,) * 21)
COMBINATIONS = tuple(itertools.product(DELAYS_MS, ENTRY_HOSTS, STEPS_MS))
FLOW = 44
THIRD = builders.configuration(
    3, [router_fault_test.rota("abc", "bcd", "bc", drained="ad")]
)


def find_fault(
    machine: router_state_test.FlowsMachine,
    delays_ms: list[int],
    entries: tuple[int, int],
    steps_ms: tuple[int, ...],
    *,
    has_packets: bool,
) -> str | None:
    """Opens a flow at an upstream that leaves, and retransmits its opening.

    Args:
        machine: Hosts that have joined before the change.
        delays_ms: How late the hosts receive the change.
        entries: The hosts that get the opening packet and its retransmission.
        steps_ms: The times between the two.
        has_packets: Whether other packets of the flow arrive meanwhile.

    Returns:
        What left the upstream of the flow, None if nothing did.
    """
    for _ in range(3):
        machine.join_host()
    machine.change_pool(name="d", delays=delays_ms)
    machine.open_flow(flow=FLOW, entry=entries[0])
    assert machine.upstream_by_flow == {FLOW: "d"}, machine.upstream_by_flow
    for delta_ms in steps_ms:
        if has_packets:
            machine.every_flow_is_kept()
        machine.pass_time(delta_ms=delta_ms)
    outcome = machine.send(entries[1], FLOW, True)
    if isinstance(outcome, data.Forward) and outcome.upstream.name != "d":
        return f"retransmission sent to {outcome.upstream.name}"
    try:
        machine.every_flow_is_kept()
    except AssertionError as error:
        return f"packet not kept: {error}"
    return None


class LeavingUpstreamTest(testtools.TestCase):
    def assert_kept(
        self,
        machine: type[router_state_test.FlowsMachine],
        entry_offset: int,
        *,
        has_packets: bool,
    ) -> None:
        faults = []
        for delays_ms, entry, steps_ms in COMBINATIONS:
            fault = find_fault(
                machine(),
                delays_ms,
                (entry, entry + entry_offset),
                steps_ms,
                has_packets=has_packets,
            )
            if fault is not None:
                faults.append((delays_ms[0], entry, len(steps_ms), fault))
        message = f"{len(faults)} of {len(COMBINATIONS)} runs fail"
        self.assertEqual([], faults, message)

    # Guards against a retransmission that opens an open flow again at another
    # upstream after its own has left the pool.
    def test_a_retransmission_reaches_an_upstream_that_leaves_the_pool(
        self,
    ) -> None:
        self.assert_kept(router_state_test.FlowsMachine, 0, has_packets=True)

    # Guards against the same at a host that has not seen the flow.
    def test_a_retransmission_at_another_host_reaches_the_leaving_upstream(
        self,
    ) -> None:
        self.assert_kept(router_state_test.FlowsMachine, 1, has_packets=True)

    # Guards against the same for a flow of which only its opening was sent.
    def test_a_half_open_flow_stays_at_a_leaving_upstream(self) -> None:
        self.assert_kept(router_state_test.FlowsMachine, 1, has_packets=False)

    # Guards against the same at an upstream that gets no new flows at all.
    def test_a_half_open_flow_stays_at_a_draining_upstream(self) -> None:
        self.assert_kept(
            router_state_test.DrainingFlowsMachine, 1, has_packets=False
        )


class ClusterTest(testtools.TestCase):
    def opened(self) -> tuple[router_fault_test.Cluster, dict[int, str]]:
        cluster = router_fault_test.Cluster()
        cluster.activate(router_fault_test.FIRST)
        cluster.wait(3_000)
        return cluster, cluster.open(router_fault_test.EARLY)

    def retransmit(
        self,
        cluster: router_fault_test.Cluster,
        upstream_by_flow: dict[int, str],
    ) -> dict[int, str]:
        """Returns the upstreams that retransmissions at other hosts reach."""
        reached = {}
        hosts = router_fault_test.HOSTS
        for flow in upstream_by_flow:
            host = hosts[(flow + 1) % len(hosts)]
            outcome = cluster.send(flow, host, is_opening=True)
            if isinstance(outcome, data.Forward):
                reached[flow] = outcome.upstream.name
        return reached

    def observe(
        self, cluster: router_fault_test.Cluster, state: data.ObservedState
    ) -> None:
        observation = data.UpstreamObservation("a", state, "second", 1)
        for router in cluster.fabric.routers_by_id.values():
            router.apply_observation(observation, cluster.now_ms)

    # Guards against a retransmission that slow start sends elsewhere.
    def test_a_retransmission_reaches_an_upstream_that_turned_cold(
        self,
    ) -> None:
        cluster, upstream_by_flow = self.opened()
        self.observe(cluster, data.ObservedState.COLD)
        cluster.wait(200)
        self.assertIn("a", upstream_by_flow.values())
        reached = self.retransmit(cluster, upstream_by_flow)
        self.assertEqual(upstream_by_flow, reached)

    # Guards against replica hosts that were told of the flow but are no replica
    # hosts any more when its opening packet is retransmitted.
    def test_hosts_that_join_are_told_of_the_flow_too(self) -> None:
        cluster, upstream_by_flow = self.opened()
        cluster.activate(router_fault_test.SECOND)
        # No slow start ends later, which would rebuild the routes.
        cluster.wait(700)
        router_fault_test.join_two(cluster)
        # Until then opening packets pass the former replica hosts too.
        cluster.wait(handover_client.VIEWS_AGREE_MS + 200)
        reached = self.retransmit(cluster, upstream_by_flow)
        self.assertEqual(upstream_by_flow, reached)

    # Guards against a retransmission that leaves a recorded flow behind.
    def test_a_recorded_flow_stays_at_a_draining_upstream(self) -> None:
        cluster, _ = self.opened()
        cluster.activate(router_fault_test.SECOND)
        cluster.wait(2_000)
        upstream_by_flow = cluster.open(router_fault_test.LATE)
        self.assertIn("d", upstream_by_flow.values())
        cluster.activate(THIRD)
        cluster.wait(1_100)
        reached = self.retransmit(cluster, upstream_by_flow)
        self.assertEqual(upstream_by_flow, reached)

    # Guards against new work for a draining upstream: a record is made before
    # the opening packet is forwarded, which may be lost on its way.
    def test_a_draining_upstream_gets_no_opening_that_was_lost_before(
        self,
    ) -> None:
        cluster, _ = self.opened()
        cluster.activate(router_fault_test.SECOND)
        cluster.wait(2_000)
        lost = []
        for flow in router_fault_test.LATE:
            for router in cluster.fabric.routers_by_id.values():
                decision = router.route(
                    router_fault_test.KEY, flow, True, False, cluster.now_ms
                )
                if (
                    isinstance(decision, data.Relay)
                    and decision.upstream == "d"
                ):
                    lost.append(flow)
                    break
        self.assertNotEqual([], lost)
        cluster.activate(THIRD)
        cluster.wait(1_100)
        reached = self.retransmit(cluster, dict.fromkeys(lost, "d"))
        self.assertEqual(set(lost), reached.keys())
        self.assertNotIn("d", reached.values())

    # Guards against retransmissions to an upstream that answers nothing.
    def test_a_retransmission_goes_elsewhere_if_its_upstream_failed(
        self,
    ) -> None:
        cluster, upstream_by_flow = self.opened()
        self.observe(cluster, data.ObservedState.FAILED)
        cluster.wait(3_000)
        reached = self.retransmit(cluster, upstream_by_flow)
        self.assertEqual(upstream_by_flow.keys(), reached.keys())
        self.assertNotIn("a", reached.values())

    # Guards against a retransmission that follows a reset flow back to a data
    # centre that was out only shortly.
    def test_a_flow_opened_again_while_its_data_centre_is_out_stays(
        self,
    ) -> None:
        cluster, upstream_by_flow = self.opened()
        out = router_fault_test.CENTRES[ord("a") % 3]
        pools = ("abc", "bc", "abc")
        for revision, names_out in ((2, [out]), (3, [])):
            service = router_fault_test.rota(*pools[:revision])
            cluster.activate(
                builders.configuration(
                    revision, [service], router_fault_test.CENTRES, names_out
                )
            )
            cluster.wait(300)
            reached = self.retransmit(cluster, upstream_by_flow)
            self.assertNotIn("a", reached.values())
            self.assertEqual(upstream_by_flow.keys(), reached.keys())

    # Guards against a flow that takes the place of a closed one at an upstream
    # that drains.
    def test_a_draining_upstream_gets_no_opening_after_a_closing_packet(
        self,
    ) -> None:
        cluster, upstream_by_flow = self.opened()
        cluster.activate(router_fault_test.SECOND)
        cluster.wait(1_100)
        for flow in upstream_by_flow:
            cluster.fabric.send(
                router_fault_test.HOSTS[flow % 4],
                router_fault_test.KEY,
                flow,
                is_opening=False,
                is_closing=True,
                now_ms=cluster.now_ms,
            )
        reached = self.retransmit(cluster, upstream_by_flow)
        self.assertNotIn("a", reached.values())

    # Guards against new flows to a draining upstream that only look like
    # retransmissions.
    def test_a_draining_upstream_gets_no_opening_once_the_period_is_over(
        self,
    ) -> None:
        cluster, upstream_by_flow = self.opened()
        cluster.activate(router_fault_test.SECOND)
        cluster.wait(2 * flow_table.OPENING_PERIOD_MS + 1_100)
        reached = self.retransmit(cluster, upstream_by_flow)
        self.assertEqual(upstream_by_flow.keys(), reached.keys())
        self.assertNotIn("a", reached.values())
