"""What the measurement counts."""

import collections
from collections.abc import Iterable
import dataclasses

from sapphire_core.flows import slow_start
from sapphire_data import records

Endpoint = tuple[str, int]

METHODS = ("hash", "local_table", "full")
FULL = 2
GRACE_MS = 4_000


@dataclasses.dataclass(slots=True)
class SimulatedFlow:
    """A flow as its caller and the upstreams see it.

    Attributes:
        key: The service key.
        service: The service that the caller means.
        flow_hash: The hash of the flow.
        opened_ms: When it was opened.
        upstreams: Its upstream by each method; None before it is accepted.
        ended: By each method whether it is over, broken or given up.
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
        new_flows_while_draining: New flows at upstreams that drain for 4 s or
            more.
        packets_while_out: Packets to a data centre that is out for 4 s or more.
        lost_packets: Packets that were dropped or lost on the way.
        flows_lost_ms_by_upstream: When an upstream last lost its flows by
            itself or by order of the operators.
        removed_upstreams: Upstreams that operators removed with their flows.
        draining_since_ms: When each draining upstream was committed.
        out_since_ms: When each data centre was taken out.
        slow_start_since_ms: When upstreams turned cold; counted from then on.
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
        self._arrivals: dict[str, list[int]] = {}
        self._cold_upstreams: dict[str, records.Upstream] = {}
        self._taken_over: list[set[Endpoint]] = [set(), set(), set()]
        self._heir_by_endpoint: dict[Endpoint, str] = {}
        self._service_by_upstream: dict[str, str] = {}

    def record_service(self, service: str, upstream: records.Upstream) -> None:
        """Notes which service an upstream belongs to."""
        self._service_by_upstream[upstream.name] = service

    def record_address_move(
        self, upstream: records.Upstream, heir: str
    ) -> None:
        """Notes that an address passes on to another service.

        From the heir's first packet on, packets of the earlier service that
        reach the address are misrouted.
        """
        endpoint = (upstream.address, upstream.packet_port)
        self._heir_by_endpoint[endpoint] = heir

    def record_slow_start(
        self, upstream: records.Upstream, now_ms: int, unknown_ms: int = 0
    ) -> None:
        """Notes that an upstream turned cold.

        Args:
            upstream: The upstream.
            now_ms: When it turned cold.
            unknown_ms: How long hosts cannot know of it.
        """
        self.slow_start_since_ms[upstream.name] = now_ms
        self.count_from_ms[upstream.name] = now_ms + unknown_ms
        self._cold_upstreams[upstream.name] = upstream
        self._arrivals[upstream.name] = []

    def record_opening_packet(
        self, method: int, flow: SimulatedFlow, name: str, now_ms: int
    ) -> None:
        """Counts an opening packet that reached an upstream."""
        is_repeat = flow.upstreams[method] == name
        if flow.upstreams[method] is None:
            flow.upstreams[method] = name
        if method != FULL or is_repeat:
            return
        drain_ms = self.draining_since_ms.get(name)
        if drain_ms is not None and now_ms - drain_ms >= GRACE_MS:
            self.new_flows_while_draining += 1
        if name in self._arrivals:
            self._arrivals[name].append(now_ms)

    def record_delivered_packet(
        self,
        method: int,
        flow: SimulatedFlow,
        upstream: records.Upstream,
        now_ms: int,
    ) -> None:
        """Checks a packet that reached an upstream against the promises."""
        belongs = self._service_by_upstream[upstream.name]
        endpoint = (upstream.address, upstream.packet_port)
        if belongs == self._heir_by_endpoint.get(endpoint):
            self._taken_over[method].add(endpoint)
        elif endpoint in self._taken_over[method]:
            self.misrouted_packets[method] += 1
        if belongs != flow.service:
            self.misrouted_packets[method] += 1
        out_ms = self.out_since_ms.get(upstream.data_centre)
        if method != FULL or out_ms is None:
            return
        if now_ms - out_ms >= GRACE_MS:
            self.packets_while_out += 1

    def record_ended_flow(
        self, method: int, flow: SimulatedFlow, centre: str | None
    ) -> None:
        """Counts a flow that ended against its caller's will."""
        flow.ended[method] = True
        name = flow.upstreams[method]
        if name is None or centre in self.out_since_ms:
            return
        if name in self.removed_upstreams:
            return
        if self.flows_lost_ms_by_upstream.get(name, -1) >= flow.opened_ms:
            return
        self.broken_flows[method] += 1

    def count_slow_start_excess(self) -> int:
        """Returns the new flows beyond what cold upstreams bear.

        Each arrival is compared with the rate that the upstream bears, over
        the second that ends with it.
        """
        excess = 0
        for name, arrivals in self._arrivals.items():
            upstream = self._cold_upstreams[name]
            window: collections.deque[int] = collections.deque()
            for arrival_ms in arrivals:
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
    """Returns the greatest load and the 99th percentile over the mean."""
    ordered = sorted(counts)
    mean = sum(ordered) / len(ordered)
    high = ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]
    return ordered[-1] / mean, high / mean
