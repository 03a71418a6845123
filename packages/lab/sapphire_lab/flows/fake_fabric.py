"""A fake fabric that carries packets and handovers without delay."""

import collections

from sapphire_core.flows import data
from sapphire_core.flows import handover_source
from sapphire_core.flows import router as router_lib
from sapphire_data import clock

MAX_RELAYS = 20
MESSAGE_OVERHEAD_BYTES = 120
WINDOW_S = 10

Outcome = data.Forward | data.Reset | data.Drop | None


class FakeFabric:
    """Delivers packets to routers, and relays and handovers between them.

    Attributes:
        routers_by_id: The routers of running hosts. Crashed hosts are missing,
            so that relays to them are lost.
        hops: All relays so far.
        handover_bytes: The bytes of handover messages that each host sent and
            received, by host and second.
    """

    def __init__(self) -> None:
        self.routers_by_id: dict[str, router_lib.Router] = {}
        self.relay_count = 0
        self.handover_bytes: collections.Counter[tuple[str, int]] = (
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
        """Delivers a packet to a host and follows its relays.

        Args:
            host_id: The entry host.
            key: The service key.
            flow_hash: The hash of the flow.
            is_opening: Whether the packet opens the flow.
            is_closing: Whether the packet closes it.
            now_ms: The current time.

        Returns:
            The decision of the last host; None if the packet was sent to a host
            that does not run.
        """
        entry = self.routers_by_id.get(host_id)
        if entry is None:
            return None
        decision = entry.route(key, flow_hash, is_opening, is_closing, now_ms)
        for _ in range(MAX_RELAYS):
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
        raise AssertionError(f"packet relayed {MAX_RELAYS} times")

    def tick_hosts(self, now_ms: int, delivers_handovers: bool = True) -> None:
        """Ticks every router and carries handovers between them.

        Args:
            now_ms: The current time.
            delivers_handovers: Whether handover messages arrive.
        """
        second = now_ms // clock.MS_PER_SECOND
        for host_id, router in list(self.routers_by_id.items()):
            for action in router.tick(now_ms):
                if isinstance(action, data.SendHandoverPage):
                    self._deliver_page(
                        host_id, action, now_ms, delivers_handovers
                    )
                    continue
                if not isinstance(action, data.SendHandoverRequest):
                    continue
                source_id = action.host_id
                size = 3 * len(action.request.buckets) + MESSAGE_OVERHEAD_BYTES
                self.handover_bytes[host_id, second] += size
                source = self.routers_by_id.get(source_id)
                if source is None or not delivers_handovers:
                    continue
                self.handover_bytes[source_id, second] += size
                page = source.answer_handover_request(
                    host_id, action.request, now_ms
                )
                if page is None:
                    continue
                size = handover_source.page_bytes(page)
                self.handover_bytes[source_id, second] += size
                self.handover_bytes[host_id, second] += size
                router.apply_handover_page(source_id, page, now_ms)

    def _deliver_page(
        self,
        sender_id: str,
        action: data.SendHandoverPage,
        now_ms: int,
        delivers_handovers: bool,
    ) -> None:
        """Delivers a page that its receiver did not request."""
        second = now_ms // clock.MS_PER_SECOND
        size = handover_source.page_bytes(action.page)
        self.handover_bytes[sender_id, second] += size
        receiver = self.routers_by_id.get(action.host_id)
        if receiver is None or not delivers_handovers:
            return
        self.handover_bytes[action.host_id, second] += size
        receiver.apply_handover_page(sender_id, action.page, now_ms)

    def peak_handover_bytes_per_second(self) -> float:
        """Returns the highest rate of handover bytes of a host, over 10 s."""
        windows: collections.Counter[tuple[str, int]] = collections.Counter()
        for (host_id, second), size in self.handover_bytes.items():
            windows[host_id, second // WINDOW_S] += size
        return max(windows.values(), default=0) / WINDOW_S
