"""Simulated fleets with one interface for all flow state implementations."""

import collections
import random
from typing import Protocol

from sapphire_core.flow_state import buckets
from sapphire_core.flow_state import data
from sapphire_core.flow_state import interface
from sapphire_core.flow_state import tagged
from sapphire_core.tagged_flows import data as tagged_data
from sapphire_core.tagged_flows import steering as steering_lib
from sapphire_lab.flows import configuration_editor
from sapphire_lab.flows import simulated_fleet
from sapphire_lab.tagged_flows import builders

SERVICE = "board"
SERVICE_ADDRESS = 0xC0000201  # 192.0.2.1
DATA_CENTRE = "tacoma"
STEP_MS = 100
MAX_RELAYS = 20
# No change takes longer until it is in force on all hosts of a fleet.
SETTLE_MS = 10_000


class Fleet(Protocol):
    """The hosts and upstreams of one service, and the operations on them.

    Attributes:
        states_by_host: The flow state of each live host.
    """

    states_by_host: dict[str, interface.FlowState]

    @property
    def now_ms(self) -> int:
        """The current time."""

    def start_host(self, host: str) -> None:
        """Starts a host that has no state of open flows."""

    def stop_host(self, host: str) -> None:
        """Stops a host gracefully, and returns when it has stopped."""

    def add_upstream(self) -> str:
        """Adds an upstream and returns its ID."""

    def drain_upstream(self, upstream_id: str) -> None:
        """Drains an upstream: it keeps its flows and gets no new ones."""

    def settle(self) -> None:
        """Runs until all changes are in force on all hosts."""


class TaggedFleet:
    """A fleet whose hosts hold flow state in tags.

    Args:
        seed: Seeds the random choices.
        hosts: How many hosts the fleet has at the start.
        upstreams: How many upstreams it has at the start.
    """

    def __init__(self, seed: int, hosts: int, upstreams: int) -> None:
        self._now_ms = 100_000
        self.states_by_host: dict[str, interface.FlowState] = {}
        self._rng = random.Random(seed)
        self._steering_by_host: dict[str, steering_lib.Steering] = {}
        self._upstreams_by_id: dict[str, tagged_data.Upstream] = {}
        for _ in range(upstreams):
            self.add_upstream()
        for number in range(hosts):
            self.start_host(f"host-{number}")

    @property
    def now_ms(self) -> int:
        """The current time."""
        return self._now_ms

    def start_host(self, host: str) -> None:
        """See `Fleet`."""
        steering = steering_lib.Steering(
            DATA_CENTRE, self._rng, lambda decision: None
        )
        route = tagged_data.Route(
            SERVICE, (tagged_data.ServiceShare(SERVICE, 1),), 1, 0
        )
        endpoint = (SERVICE_ADDRESS, builders.SERVICE_PORT)
        service = tagged_data.Service(SERVICE, 1_000.0, 2_000, 100_000)
        steering.configure(
            tagged_data.Configuration(
                1, {endpoint: route}, {SERVICE: service}, 1_800_000
            )
        )
        self._steering_by_host[host] = steering
        self.states_by_host[host] = tagged.TaggedFlowState(steering)
        for upstream in self._upstreams_by_id.values():
            steering.upstream_table.put(upstream, 1, self.now_ms)

    def stop_host(self, host: str) -> None:
        """See `Fleet`."""
        del self.states_by_host[host]
        del self._steering_by_host[host]

    def add_upstream(self) -> str:
        """See `Fleet`."""
        upstream_id = f"i-{len(self._upstreams_by_id)}"
        self._put(builders.upstream(upstream_id, SERVICE, slots=1_000))
        return upstream_id

    def drain_upstream(self, upstream_id: str) -> None:
        """See `Fleet`."""
        self._put(
            builders.upstream(
                upstream_id,
                SERVICE,
                slots=1_000,
                state=tagged_data.UpstreamState.DRAINING,
            )
        )

    def settle(self) -> None:
        """See `Fleet`."""
        for _ in range(SETTLE_MS // STEP_MS):
            self._now_ms += STEP_MS
            for steering in self._steering_by_host.values():
                steering.tick(self.now_ms)
                steering.sweep(self.now_ms)

    def _put(self, upstream: tagged_data.Upstream) -> None:
        """Puts an upstream into the upstream tables of all hosts."""
        self._upstreams_by_id[upstream.upstream_id] = upstream
        for steering in self._steering_by_host.values():
            steering.upstream_table.put(upstream, 1, self.now_ms)


class BucketFleet:
    """A fleet with bucket tables, in which changes reach hosts with delays.

    Args:
        seed: Seeds the random choices.
        hosts: How many hosts the fleet has at the start.
        upstreams: How many upstreams it has at the start.
    """

    def __init__(self, seed: int, hosts: int, upstreams: int) -> None:
        self.states_by_host: dict[str, interface.FlowState] = {}
        self._fleet = simulated_fleet.SimulatedFleet(seed)
        deployment = configuration_editor.Deployment(
            "one", (DATA_CENTRE,), {SERVICE: upstreams}, slots=1
        )
        self._editor = configuration_editor.ConfigurationEditor(deployment)
        self._fleet.commit(self._editor.next_configuration())
        for number in range(hosts):
            self.start_host(f"host-{number}")
        self.settle()

    @property
    def now_ms(self) -> int:
        """The current time."""
        return self._fleet.now_ms

    def start_host(self, host: str) -> None:
        """See `Fleet`."""
        self._fleet.join(host, DATA_CENTRE)
        router = self._fleet.fabric.routers_by_id[host]
        self.states_by_host[host] = buckets.BucketFlowState(router)

    def stop_host(self, host: str) -> None:
        """See `Fleet`."""
        self._fleet.leave(host)
        while host in self._fleet.hosts_by_id:
            self._fleet.step(STEP_MS)
        del self.states_by_host[host]

    def add_upstream(self) -> str:
        """See `Fleet`."""
        upstream = self._editor.add_upstream(SERVICE)
        self._fleet.commit(self._editor.next_configuration())
        return upstream.name

    def drain_upstream(self, upstream_id: str) -> None:
        """See `Fleet`."""
        self._editor.drain_upstream(SERVICE, upstream_id, self.now_ms)
        self._fleet.commit(self._editor.next_configuration())

    def settle(self) -> None:
        """See `Fleet`."""
        for _ in range(SETTLE_MS // STEP_MS):
            self._fleet.step(STEP_MS)


class Callers:
    """Simulated callers, each of whose packets reaches a random host.

    Attributes:
        upstream_by_flow: The upstream at which each flow was opened.

    Args:
        fleet: The fleet that gets the packets.
        seed: Seeds the choice of the host that gets a packet.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._tag_by_flow: dict[int, int] = {}
        self.upstream_by_flow: dict[int, str] = {}

    def open(self, count: int) -> collections.Counter[str]:
        """Opens flows.

        Args:
            count: How many flows to open.

        Returns:
            How many of them each upstream got.
        """
        opened: collections.Counter[str] = collections.Counter()
        for _ in range(count):
            number = len(self.upstream_by_flow)
            decision = self.send(number, is_opening=True)
            if not isinstance(decision, data.Forward):
                raise AssertionError(
                    f"flow {number} was not opened: {decision}"
                )
            self.upstream_by_flow[number] = decision.upstream_id
            self._tag_by_flow[number] = decision.tag
            # The caller acknowledges the upstream's answer.
            self.send(number)
            opened[decision.upstream_id] += 1
        return opened

    def misrouted_flows(self) -> list[int]:
        """Sends a packet on each flow.

        Returns:
            The flows whose packet did not reach their upstream.
        """
        return [
            number
            for number, upstream_id in self.upstream_by_flow.items()
            if upstream_id != _upstream_of(self.send(number))
        ]

    def discard_tags(self) -> None:
        """Discards the tags, so that later packets carry none."""
        self._tag_by_flow.clear()

    def send(
        self,
        number: int,
        *,
        is_opening: bool = False,
        port: int = builders.SERVICE_PORT,
    ) -> data.Decision:
        """Sends a packet to a random host, and relays it as hosts decide.

        Args:
            number: The flow.
            is_opening: Whether it is an opening packet.
            port: The port that the caller calls.

        Returns:
            The decision of the last host that got the packet.
        """
        flow_id = tagged_data.FlowId(
            0x0A000000 + number, 40_000, SERVICE_ADDRESS, port
        )
        packet = data.FlowPacket(
            flow_id, is_opening, False, self._tag_by_flow.get(number, 0)
        )
        now_ms = self._fleet.now_ms
        host = self._rng.choice(sorted(self._fleet.states_by_host))
        decision = self._fleet.states_by_host[host].decide(packet, now_ms)
        for _ in range(MAX_RELAYS):
            if not isinstance(decision, data.Relay):
                return decision
            state = self._fleet.states_by_host[decision.host_id]
            decision = state.decide_relayed(packet, decision.header, now_ms)
        raise AssertionError(f"packet relayed {MAX_RELAYS} times")


def _upstream_of(decision: data.Decision) -> str:
    """Returns the upstream to which a packet was sent, empty for none."""
    if isinstance(decision, data.Forward):
        return decision.upstream_id
    return ""
