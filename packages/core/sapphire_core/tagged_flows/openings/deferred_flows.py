"""A queue of late opening packets while a service is overloaded.

When all hosts return from an outage, or in a burst of new flows, old and new
requests compete for the same slots. The old ones have missed their latency
objective already, and a longer wait costs their callers little; the new ones
can still meet theirs. So an opening packet whose count of retransmissions shows
that it is late is deferred until an upstream has a free slot, or until the next
retransmission is due. The last retransmission is forwarded in any case before
its caller times out. This is last-in, first-out queueing under overload,
limited to flows whose age is known.
"""

import dataclasses

from sapphire_core.tagged_flows import data

# The age of a flow by the number of copies of its opening packet that the
# caller sent before (the protocol's retransmission times).
RETRANSMISSION_AGES_MS = (0, 200, 600)
# The age at which a deferral ends, by the same number: 50 ms before the next
# retransmission, which may reach another host; for the last retransmission,
# 150 ms before the caller times out at 1,400 ms.
DEADLINE_AGES_MS = (150, 550, 1_250)
# The age at which a caller gives up (the protocol).
CALLER_TIMEOUT_MS = 1_400
MAX_DEFERRED_FLOWS = 2_000


@dataclasses.dataclass(slots=True, eq=False)
class DeferredFlow:
    """A flow whose opening packet is held until an upstream has a free slot.

    Attributes:
        packet: The opening packet as last received.
        service: The service of the flow.
        priority: The priority of its route; 0 is the most urgent.
        deadline_ms: When the deferral ends even without a free slot.
        expires_ms: When the caller has given up.
        may_be_open_at_peer: Whether the membership has changed since, so that a
            peer may have forwarded another copy of the opening packet.
    """

    packet: data.Packet
    service: data.Service
    priority: int
    deadline_ms: int
    expires_ms: int
    may_be_open_at_peer: bool = False

    @property
    def is_last_retransmission(self) -> bool:
        """Whether the caller sends no further retransmission."""
        return self.packet.acknowledged >= len(RETRANSMISSION_AGES_MS) - 1


def age_ms(packet: data.Packet) -> int:
    """Returns how long ago the caller first sent an opening packet."""
    return RETRANSMISSION_AGES_MS[_retransmissions(packet)]


def has_missed_objective(packet: data.Packet, route: data.Route) -> bool:
    """Whether a flow is older than the latency objective of its route."""
    return 0 < route.objective_ms <= age_ms(packet)


def _retransmissions(packet: data.Packet) -> int:
    """Returns how many copies the caller sent before this one, 2 at most."""
    return min(packet.acknowledged, len(RETRANSMISSION_AGES_MS) - 1)


class DeferredFlows:
    """The deferred flows of this host."""

    def __init__(self) -> None:
        self._by_flow: dict[data.FlowId, DeferredFlow] = {}

    def __len__(self) -> int:
        """Returns the number of deferred flows."""
        return len(self._by_flow)

    def has_room(self) -> bool:
        """Whether another flow can be deferred."""
        return len(self._by_flow) < MAX_DEFERRED_FLOWS

    def get(self, flow_id: data.FlowId) -> DeferredFlow | None:
        """Returns a deferred flow, None if the flow is not deferred."""
        return self._by_flow.get(flow_id)

    def add(
        self,
        packet: data.Packet,
        service: data.Service,
        priority: int,
        now_ms: int,
    ) -> None:
        """Defers a flow.

        Args:
            packet: The opening packet.
            service: The service of the flow.
            priority: The priority of its route.
            now_ms: The current time.
        """
        started_ms = now_ms - age_ms(packet)
        deadline_ms = started_ms + DEADLINE_AGES_MS[_retransmissions(packet)]
        self._by_flow[packet.flow_id] = DeferredFlow(
            packet,
            service,
            priority,
            deadline_ms,
            started_ms + CALLER_TIMEOUT_MS,
        )

    def record_membership_change(self) -> None:
        """Marks all flows, which peers may have opened or may open."""
        for deferred in self._by_flow.values():
            deferred.may_be_open_at_peer = True

    def by_urgency(self) -> list[DeferredFlow]:
        """Returns the flows by priority, then the earliest deadline first."""
        return sorted(
            self._by_flow.values(),
            key=lambda deferred: (deferred.priority, deferred.deadline_ms),
        )

    def pop_expired(self, now_ms: int) -> list[DeferredFlow]:
        """Removes and returns the flows whose callers have given up.

        A deferral ends before that, unless this process has paused.

        Args:
            now_ms: The current time.
        """
        expired = [
            deferred
            for deferred in self._by_flow.values()
            if now_ms >= deferred.expires_ms
        ]
        for deferred in expired:
            self.remove(deferred)
        return expired

    def remove(self, deferred: DeferredFlow) -> None:
        """Removes a flow from the queue."""
        self._by_flow.pop(deferred.packet.flow_id, None)
