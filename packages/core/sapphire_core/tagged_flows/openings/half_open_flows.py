"""Half-open flows: no upstream has answered their opening packet yet.

A host sees no packet from an upstream. A flow stays half-open at this host
until the caller's next packet arrives, which shows that an upstream answered.
"""

import collections
import dataclasses

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import upstream_table

# A half-open flow expires just after its caller times out (the protocol's
# 1.4 s).
OPENING_TIMEOUT_MS = 1_500
MAX_HALF_OPEN_FLOWS = 10_000
# A caller whose flow was reset opens another at once, that is one network
# crossing and back after its opening packet.
CALLER_RETRY_WINDOW_MS = 300


@dataclasses.dataclass(slots=True, eq=False)
class HalfOpenFlow:
    """A flow whose caller has sent nothing but its opening packet.

    Attributes:
        packet: The opening packet as last received.
        service: The name of the flow's service.
        first_seen_ms: When this host first got the opening packet.
        last_sent_ms: When it was last sent to an upstream.
        tried_upstreams: The upstreams that got it, in order.
        has_timed_out: Whether the last attempt is recorded as unanswered.
        retransmissions: How many retransmissions this host received.
        may_continue_at_peer: Whether the membership has changed since the last
            copy from the caller, or shortly before, so that the caller's next
            packet may reach a peer instead of this host.
    """

    packet: data.Packet
    service: str
    first_seen_ms: int
    last_sent_ms: int
    tried_upstreams: list[upstream_table.Entry]
    has_timed_out: bool = False
    retransmissions: int = 0
    may_continue_at_peer: bool = False

    @property
    def last_upstream_id(self) -> str:
        """The identity of the upstream of the last attempt."""
        return self.tried_upstreams[-1].upstream.upstream_id

    @property
    def tried_upstream_ids(self) -> set[str]:
        """The identities of the upstreams that got the opening packet."""
        return {entry.upstream.upstream_id for entry in self.tried_upstreams}


class HalfOpenFlows:
    """The half-open flows of this host, oldest first."""

    def __init__(self) -> None:
        self._by_flow: dict[data.FlowId, HalfOpenFlow] = {}
        self._latest_by_caller: dict[
            tuple[int, data.Endpoint], HalfOpenFlow
        ] = {}
        self._pending_by_upstream_id: collections.Counter[str] = (
            collections.Counter()
        )

    def __len__(self) -> int:
        """Returns the number of half-open flows."""
        return len(self._by_flow)

    def get(self, flow_id: data.FlowId) -> HalfOpenFlow | None:
        """Returns a half-open flow, None if the flow is not half-open."""
        return self._by_flow.get(flow_id)

    def pending(self, upstream_id: str) -> int:
        """Returns how many attempts at an upstream wait for its answer.

        Attempts that timed out do not count.
        """
        return self._pending_by_upstream_id.get(upstream_id, 0)

    def add(self, half_open: HalfOpenFlow) -> None:
        """Adds a half-open flow; evicts the oldest if there are too many."""
        if len(self._by_flow) >= MAX_HALF_OPEN_FLOWS:
            self.pop(next(iter(self._by_flow)))
        self._by_flow[half_open.packet.flow_id] = half_open
        self._latest_by_caller[_caller_key(half_open.packet)] = half_open
        self._pending_by_upstream_id[half_open.last_upstream_id] += 1

    def recently_tried_by_caller(
        self, packet: data.Packet, now_ms: int
    ) -> set[str]:
        """Returns the upstreams that may have just reset a flow of a caller.

        An upstream that does not listen resets the flow, and the caller opens
        another one within milliseconds; the host sees no reset.

        Args:
            packet: The opening packet of the new flow.
            now_ms: The current time.

        Returns:
            The identities of the upstreams that got the opening packet of the
            latest flow from the same caller to the same endpoint, if it is
            still half-open.
        """
        last = self._latest_by_caller.get(_caller_key(packet))
        if last is None or now_ms - last.first_seen_ms > CALLER_RETRY_WINDOW_MS:
            return set()
        if last.packet.flow_id not in self._by_flow:
            return set()
        return last.tried_upstream_ids

    def mark_timed_out(self, half_open: HalfOpenFlow) -> None:
        """Records that the last attempt of a flow was not answered in time."""
        if not half_open.has_timed_out:
            half_open.has_timed_out = True
            self._decrement_pending(half_open)

    def record_attempt(
        self, half_open: HalfOpenFlow, entry: upstream_table.Entry, now_ms: int
    ) -> None:
        """Records a further attempt, at the same or another upstream.

        Args:
            half_open: The flow whose opening packet is sent.
            entry: The upstream that gets it.
            now_ms: The current time.
        """
        self.mark_timed_out(half_open)
        if half_open.tried_upstreams[-1] is not entry:
            half_open.tried_upstreams.append(entry)
        half_open.last_sent_ms = now_ms
        half_open.has_timed_out = False
        self._pending_by_upstream_id[half_open.last_upstream_id] += 1

    def pop(self, flow_id: data.FlowId) -> HalfOpenFlow | None:
        """Removes and returns a half-open flow, None if it is not half-open."""
        half_open = self._by_flow.pop(flow_id, None)
        if half_open is None:
            return None
        if not half_open.has_timed_out:
            self._decrement_pending(half_open)
        if (
            self._latest_by_caller.get(_caller_key(half_open.packet))
            is half_open
        ):
            del self._latest_by_caller[_caller_key(half_open.packet)]
        return half_open

    def extend_timeouts(self, stall_ms: int) -> None:
        """Extends the timeouts of all attempts after a stall of this process.

        Args:
            stall_ms: How long the process did not run.
        """
        for half_open in self._by_flow.values():
            half_open.last_sent_ms += stall_ms

    def record_membership_change(self) -> None:
        """Exempts all half-open flows from timeouts, see `timed_out`."""
        for half_open in self._by_flow.values():
            half_open.may_continue_at_peer = True

    def timed_out(self, now_ms: int, timeout_ms: int) -> list[HalfOpenFlow]:
        """Returns the flows whose last attempt is newly timed out.

        Flows that may continue at a peer are left out: that this host got no
        packet does not show that the upstream is unresponsive.

        Args:
            now_ms: The current time.
            timeout_ms: How long an upstream has to answer.
        """
        found: list[HalfOpenFlow] = []
        for half_open in self._by_flow.values():
            if half_open.has_timed_out or half_open.may_continue_at_peer:
                continue
            if now_ms - half_open.last_sent_ms >= timeout_ms:
                found.append(half_open)
        return found

    def pop_expired(self, now_ms: int) -> list[HalfOpenFlow]:
        """Removes and returns the flows whose callers have timed out."""
        expired = [
            half_open
            for half_open in self._by_flow.values()
            if now_ms - half_open.first_seen_ms > OPENING_TIMEOUT_MS
        ]
        for half_open in expired:
            self.pop(half_open.packet.flow_id)
        return expired

    def _decrement_pending(self, half_open: HalfOpenFlow) -> None:
        """Removes an attempt from the count of its upstream."""
        self._pending_by_upstream_id[half_open.last_upstream_id] -= 1
        if self._pending_by_upstream_id[half_open.last_upstream_id] <= 0:
            del self._pending_by_upstream_id[half_open.last_upstream_id]


def _caller_key(packet: data.Packet) -> tuple[int, data.Endpoint]:
    """Returns the caller and the endpoint, without the caller's port."""
    return (packet.flow_id.caller_address, packet.flow_id.endpoint)
