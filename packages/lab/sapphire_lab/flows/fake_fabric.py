"""A small fake fabric: hands packets to hosts and carries relays at once."""

import collections

from sapphire_core.flows import data
from sapphire_core.flows import handover_source
from sapphire_core.flows import router as router_lib
from sapphire_data import clock

MAX_HOPS = 20
MESSAGE_BYTES = 120
WINDOW_S = 10

Outcome = data.Forward | data.Reset | data.Drop | None


class FakeFabric:
    """Hosts that hand packets to each other without delay.

    Attributes:
        routers_by_id: The routers of live hosts; those of dead hosts are
            missing, so that relays to them are lost.
        hops: All relays so far.
        control_bytes: What each host sent and received of handovers, by
            host and second.
    """

    def __init__(self) -> None:
        self.routers_by_id: dict[str, router_lib.Router] = {}
        self.relay_count = 0
        self.control_bytes: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )

    def send(
        self,
        host_id: str,
        key: bytes,
        flow_hash: int,
        *,
        is_opening: bool,
        is_closing: bool,
        now_ms: int,
    ) -> Outcome:
        """Hands a packet to a host and follows it to its end.

        Args:
            host_id: The entry host.
            key: The service key.
            flow_hash: The flow.
            is_opening: Whether the packet opens the flow.
            is_closing: Whether the packet ends it.
            now_ms: The current time.

        Returns:
            The last decision; None if the packet was lost on the way.
        """
        entry = self.routers_by_id.get(host_id)
        if entry is None:
            return None
        decision = entry.route(key, flow_hash, is_opening, is_closing, now_ms)
        for _ in range(MAX_HOPS):
            if not isinstance(decision, data.Relay):
                return decision
            self.relay_count += 1
            receiver = self.routers_by_id.get(decision.host_id)
            if receiver is None:
                return None
            header = data.RelayHeader(
                decision.visited, decision.upstream, decision.revision
            )
            decision = receiver.route_relayed(
                header, key, flow_hash, is_opening, is_closing, now_ms
            )
        raise AssertionError(f"packet relayed {MAX_HOPS} times")

    def tick_hosts(self, now_ms: int, is_up: bool = True) -> None:
        """Ticks every host and carries handovers between them.

        Args:
            now_ms: The current time.
            is_up: Whether handover messages arrive.
        """
        second = now_ms // clock.MS_PER_SECOND
        for host_id, router in list(self.routers_by_id.items()):
            for action in router.tick(now_ms):
                if not isinstance(action, data.SendHandoverRequest):
                    continue
                asked = action.host_id
                size = 3 * len(action.request.buckets) + MESSAGE_BYTES
                self.control_bytes[host_id, second] += size
                source = self.routers_by_id.get(asked)
                if source is None or not is_up:
                    continue
                self.control_bytes[asked, second] += size
                page = source.answer_handover_request(
                    host_id, action.request, now_ms
                )
                if page is None:
                    continue
                size = handover_source.page_bytes(page)
                self.control_bytes[asked, second] += size
                self.control_bytes[host_id, second] += size
                router.apply_handover_page(asked, page, now_ms)

    def peak_control_bytes_per_second(self) -> float:
        """Returns the most that a host sent and received, over 10 s."""
        windows: collections.Counter[tuple[str, int]] = collections.Counter()
        for (host_id, second), size in self.control_bytes.items():
            windows[host_id, second // WINDOW_S] += size
        return max(windows.values(), default=0) / WINDOW_S
