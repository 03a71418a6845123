"""A small fake fabric: hands packets to hosts and carries relays at once."""

from sapphire_core.flows import data
from sapphire_core.flows import router as router_lib

MAX_HOPS = 10

Outcome = data.Forward | data.GiveUp | data.Drop | None


class Fabric:
    """Hosts that hand packets to each other without delay.

    Attributes:
        routers_by_id: The routers of live hosts; those of dead hosts are
            missing, so that relays to them are lost.
        hops: All relays so far.
    """

    def __init__(self) -> None:
        self.routers_by_id: dict[str, router_lib.Router] = {}
        self.hops = 0

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
            self.hops += 1
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

    def carry_ticks(self, now_ms: int, is_up: bool = True) -> list[int]:
        """Ticks every host and carries handovers between them.

        Args:
            now_ms: The current time.
            is_up: Whether handover messages arrive.

        Returns:
            The sizes of the pages that were carried, in bytes.
        """
        sizes = []
        for host_id, router in list(self.routers_by_id.items()):
            for action in router.tick(now_ms):
                if not isinstance(action, data.SendHandoverRequest):
                    continue
                source = self.routers_by_id.get(action.host_id)
                if source is None or not is_up:
                    continue
                page = source.answer_handover(host_id, action.request, now_ms)
                if page is None:
                    continue
                sizes.append(10 * len(page.flow_hashes) + 150)
                router.accept_handover(action.host_id, page, now_ms)
        return sizes
