"""Opening packets that no upstream has answered yet."""

import dataclasses

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import upstream_table

# A caller waits this long for its flow to open (the protocol's 1.4 s).
OPENING_LIFE_MS = 1_500
MAX_OPENINGS = 10_000


@dataclasses.dataclass(slots=True, eq=False)
class Opening:
    """A flow whose caller has not been seen to go on.

    Attributes:
        packet: The last copy of its opening packet.
        service: The service that it goes to.
        first_ms: When the first copy came.
        sent_ms: When it was last sent to an upstream.
        tried: The upstreams that got it, in order.
        has_failed: Whether the last one was noted as unanswered.
    """

    packet: data.Packet
    service: str
    first_ms: int
    sent_ms: int
    tried: list[upstream_table.Entry]
    has_failed: bool = False

    @property
    def tried_ids(self) -> set[str]:
        """The identities of the upstreams that got it."""
        return {entry.upstream.upstream_id for entry in self.tried}


class Openings:
    """The openings in progress, oldest first."""

    def __init__(self) -> None:
        self._by_flow: dict[data.FlowId, Opening] = {}

    def __len__(self) -> int:
        """Returns how many openings are in progress."""
        return len(self._by_flow)

    def get(self, flow_id: data.FlowId) -> Opening | None:
        """Returns the opening of a flow, None if there is none."""
        return self._by_flow.get(flow_id)

    def add(self, opening: Opening) -> None:
        """Takes a new opening; the oldest makes room if there are too many."""
        if len(self._by_flow) >= MAX_OPENINGS:
            del self._by_flow[next(iter(self._by_flow))]
        self._by_flow[opening.packet.flow_id] = opening

    def pop(self, flow_id: data.FlowId) -> Opening | None:
        """Removes and returns the opening of a flow, None if there is none."""
        return self._by_flow.pop(flow_id, None)

    def postpone(self, pause_ms: int) -> None:
        """Gives upstreams more time after this host stood still.

        Args:
            pause_ms: How long it stood still.
        """
        for opening in self._by_flow.values():
            opening.sent_ms += pause_ms

    def unanswered(self, now_ms: int, after_ms: int) -> list[Opening]:
        """Returns the openings whose last upstream has not answered.

        Args:
            now_ms: The current time.
            after_ms: How long an upstream has to answer.
        """
        found: list[Opening] = []
        for opening in self._by_flow.values():
            if not opening.has_failed and now_ms - opening.sent_ms >= after_ms:
                found.append(opening)
        return found

    def expire(self, now_ms: int) -> list[Opening]:
        """Removes and returns the openings whose callers have given up."""
        expired = [
            opening
            for opening in self._by_flow.values()
            if now_ms - opening.first_ms > OPENING_LIFE_MS
        ]
        for opening in expired:
            del self._by_flow[opening.packet.flow_id]
        return expired
