"""Openings that give way to others while a service is full.

When all hosts return, or many callers come at once, requests that waited for
long and requests that come just now ask for the same slots. The former have
missed their objective already; a little more waiting costs their callers
little. The latter can still meet theirs. So an opening that is late by its
copy number waits until an upstream has a free slot, or until the next copy is
due; the last copy is sent in any case before its caller gives up. This is the
order of a queue that serves the newest first under overload, for those
openings only whose age is known.
"""

import dataclasses

from sapphire_core.tagged_flows import data

# How old an opening is by the number of copies sent before it (the protocol).
COPY_AGES_MS = (0, 200, 600)
# An opening waits until its caller's next copy is due, which may reach another
# host; the last one until 150 ms before its caller gives up after 1,400 ms.
WAIT_BY_AGE_MS = (150, 550, 1_250)
MAX_WAITING = 2_000


@dataclasses.dataclass(slots=True, eq=False)
class DeferredFlow:
    """An opening that waits.

    Attributes:
        packet: The last copy of its opening packet.
        service: The service that it goes to.
        priority: How urgent its route is; 0 is the most urgent.
        until_ms: Until when it waits.
    """

    packet: data.Packet
    service: data.Service
    priority: int
    until_ms: int

    @property
    def is_last(self) -> bool:
        """Whether no further copy is to come."""
        return self.packet.acknowledged >= len(COPY_AGES_MS) - 1


def age_ms(packet: data.Packet) -> int:
    """Returns how long ago the caller sent the first copy of an opening."""
    return COPY_AGES_MS[_copies(packet)]


def is_late(packet: data.Packet, route: data.Route) -> bool:
    """Whether an opening cannot meet the objective of its route any more."""
    return 0 < route.objective_ms <= age_ms(packet)


def _copies(packet: data.Packet) -> int:
    """Returns how many copies were sent before a packet, 2 at most."""
    return min(packet.acknowledged, len(COPY_AGES_MS) - 1)


class DeferredFlows:
    """The openings that wait, by flow."""

    def __init__(self) -> None:
        self._by_flow: dict[data.FlowId, DeferredFlow] = {}

    def __len__(self) -> int:
        """Returns how many openings wait."""
        return len(self._by_flow)

    def has_room(self) -> bool:
        """Whether another opening may wait."""
        return len(self._by_flow) < MAX_WAITING

    def get(self, flow_id: data.FlowId) -> DeferredFlow | None:
        """Returns the waiting opening of a flow, None if there is none."""
        return self._by_flow.get(flow_id)

    def add(
        self,
        packet: data.Packet,
        service: data.Service,
        priority: int,
        now_ms: int,
    ) -> None:
        """Lets an opening wait.

        Args:
            packet: The opening packet.
            service: The service that it goes to.
            priority: How urgent its route is.
            now_ms: The current time.
        """
        until_ms = now_ms + WAIT_BY_AGE_MS[_copies(packet)] - age_ms(packet)
        self._by_flow[packet.flow_id] = DeferredFlow(
            packet, service, priority, until_ms
        )

    def in_order(self) -> list[DeferredFlow]:
        """Returns all that wait, the most urgent and then the oldest first."""
        return sorted(
            self._by_flow.values(),
            key=lambda waiter: (waiter.priority, waiter.until_ms),
        )

    def remove(self, waiter: DeferredFlow) -> None:
        """Ends the wait of an opening."""
        self._by_flow.pop(waiter.packet.flow_id, None)
