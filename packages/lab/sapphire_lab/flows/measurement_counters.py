"""Counts of violated requirements in a simulation of flow routing."""

import collections
from collections.abc import Iterable
import dataclasses

from sapphire_core.flows import slow_start
from sapphire_data import records

Endpoint = tuple[str, int]

# The compared routers: two baselines and the router of the daemon.
METHODS = ("hash", "local_table", "full")
FULL = 2
# A drain or the removal of a data centre has to be in force on all hosts after
# this time.
GRACE_PERIOD_MS = 4_000


@dataclasses.dataclass(slots=True)
class SimulatedFlow:
    """A flow as its caller and the upstreams see it.

    Lists have one item for each of `METHODS`.

    Attributes:
        key: The service key.
        service: The service that the caller wants to reach.
        flow_hash: The hash of the flow.
        opened_ms: When it was opened.
        upstreams: Its upstream; None before an opening packet reached one.
        ended: Whether the flow was closed, broken or given up.
    """

    key: bytes
    service: str
    flow_hash: int
    opened_ms: int
    upstreams: list[str | None]
    ended: list[bool]


class MeasurementCounters:
    """Counters of one run.

    Attributes:
        broken_flows: Broken flows by method.
        misrouted_packets: Packets that reached another service, by method.
        new_flows_while_draining: New flows at upstreams that have been draining
            for 4 s or more.
        packets_while_out: Packets to a data centre that has been out for 4 s or
            more.
        lost_packets: Packets that were dropped or lost on the way.
        flows_lost_ms_by_upstream: When an upstream last lost its flows by
            itself or because operators took its data centre out or back in.
        removed_upstreams: Upstreams that operators removed with their flows.
        draining_since_ms: When each draining upstream was committed.
        out_since_ms: When each data centre was taken out.
        slow_start_since_ms: When the last slow start of each upstream began.
        count_from_ms: From when on its new flows are checked against the slow
            start; later than its begin if hosts cannot know of it before.
    """

    def __init__(self) -> None:
        self.broken_flows = [0, 0, 0]
        self.misrouted_packets = [0, 0, 0]
        self.new_flows_while_draining = 0
        self.packets_while_out = 0
        self.lost_packets = 0
        self.flows_lost_ms_by_upstream: dict[str, int] = {}
        self.removed_upstreams: set[str] = set()
        self.draining_since_ms: dict[str, int] = {}
        self.out_since_ms: dict[str, int] = {}
        self.slow_start_since_ms: dict[str, int] = {}
        self.count_from_ms: dict[str, int] = {}
        self._new_flow_times_ms: dict[str, list[int]] = {}
        self._cold_upstreams_by_name: dict[str, records.Upstream] = {}
        self._endpoints_taken_over: list[set[Endpoint]] = [set(), set(), set()]
        self._successor_by_endpoint: dict[Endpoint, str] = {}
        self._service_by_upstream: dict[str, str] = {}

    def record_service(self, service: str, upstream: records.Upstream) -> None:
        """Records which service an upstream belongs to."""
        self._service_by_upstream[upstream.name] = service

    def record_address_move(
        self, upstream: records.Upstream, successor: str
    ) -> None:
        """Records that the address of an upstream goes to another service.

        Once the first packet of the successor has reached the address, packets
        of the earlier service that reach it are misrouted.

        Args:
            upstream: The upstream of the successor.
            successor: The service that gets the address.
        """
        endpoint = (upstream.address, upstream.packet_port)
        self._successor_by_endpoint[endpoint] = successor

    def record_slow_start(
        self, upstream: records.Upstream, now_ms: int, unknown_ms: int = 0
    ) -> None:
        """Records that the slow start of an upstream begins.

        Args:
            upstream: The upstream.
            now_ms: When it has started.
            unknown_ms: How long hosts cannot know of it; new flows of that time
                are not counted.
        """
        self.slow_start_since_ms[upstream.name] = now_ms
        self.count_from_ms[upstream.name] = now_ms + unknown_ms
        self._cold_upstreams_by_name[upstream.name] = upstream
        self._new_flow_times_ms[upstream.name] = []

    def record_opening_packet(
        self, method: int, flow: SimulatedFlow, name: str, now_ms: int
    ) -> None:
        """Records an opening packet that reached an upstream.

        Args:
            method: The index of the method.
            flow: The flow.
            name: The upstream.
            now_ms: The current time.
        """
        was_opened_here = flow.upstreams[method] == name
        if flow.upstreams[method] is None:
            flow.upstreams[method] = name
        if method != FULL or was_opened_here:
            return
        drain_ms = self.draining_since_ms.get(name)
        if drain_ms is not None and now_ms - drain_ms >= GRACE_PERIOD_MS:
            self.new_flows_while_draining += 1
        if name in self._new_flow_times_ms:
            self._new_flow_times_ms[name].append(now_ms)

    def record_delivered_packet(
        self,
        method: int,
        flow: SimulatedFlow,
        upstream: records.Upstream,
        now_ms: int,
    ) -> None:
        """Checks whether a packet may reach an upstream, and counts it if not.

        Args:
            method: The index of the method.
            flow: The flow of the packet.
            upstream: The upstream.
            now_ms: The current time.
        """
        owner_service = self._service_by_upstream[upstream.name]
        endpoint = (upstream.address, upstream.packet_port)
        if owner_service == self._successor_by_endpoint.get(endpoint):
            self._endpoints_taken_over[method].add(endpoint)
        elif endpoint in self._endpoints_taken_over[method]:
            self.misrouted_packets[method] += 1
        if owner_service != flow.service:
            self.misrouted_packets[method] += 1
        out_ms = self.out_since_ms.get(upstream.data_centre)
        if method != FULL or out_ms is None:
            return
        if now_ms - out_ms >= GRACE_PERIOD_MS:
            self.packets_while_out += 1

    def record_ended_flow(
        self, method: int, flow: SimulatedFlow, data_centre: str | None
    ) -> None:
        """Ends a flow that its caller did not close; counts it if it is broken.

        It is not broken if its upstream or data centre was taken away by
        operators, or if the upstream itself lost its flows.

        Args:
            method: The index of the method.
            flow: The flow.
            data_centre: The data centre of its upstream.
        """
        flow.ended[method] = True
        name = flow.upstreams[method]
        if name is None or data_centre in self.out_since_ms:
            return
        if name in self.removed_upstreams:
            return
        if self.flows_lost_ms_by_upstream.get(name, -1) >= flow.opened_ms:
            return
        self.broken_flows[method] += 1

    def count_slow_start_excess(self) -> int:
        """Returns the new flows above the rate limit of slow starts.

        At each new flow, the flows of the second that ends with it are compared
        with the rate that the upstream bears at that time.
        """
        excess = 0
        for name, arrival_times_ms in self._new_flow_times_ms.items():
            upstream = self._cold_upstreams_by_name[name]
            window: collections.deque[int] = collections.deque()
            for arrival_ms in arrival_times_ms:
                window.append(arrival_ms)
                while window[0] <= arrival_ms - 1_000:
                    window.popleft()
                age_ms = arrival_ms - self.slow_start_since_ms[name]
                if age_ms >= upstream.warm_up_ms:
                    break
                if arrival_ms < self.count_from_ms[name]:
                    window.clear()
                    continue
                rate = slow_start.rate_per_second(upstream, age_ms)
                excess += len(window) > rate
        return excess


def load_imbalance(counts: Iterable[int]) -> tuple[float, float]:
    """Measures how unevenly flows are spread over upstreams.

    Args:
        counts: The flows of each upstream.

    Returns:
        The greatest load and its 99th percentile, both divided by the mean.
    """
    ordered = sorted(counts)
    mean = sum(ordered) / len(ordered)
    percentile_99 = ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]
    return ordered[-1] / mean, percentile_99 / mean
