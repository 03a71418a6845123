"""Opening packets that no upstream has answered yet."""

import collections
import dataclasses

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import upstream_table

# A caller waits this long for its flow to open (the protocol's 1.4 s).
OPENING_LIFE_MS = 1_500
MAX_OPENINGS = 10_000
# Callers whose flow was reset try again at once; one crossing and back.
RETRY_WITHIN_MS = 300


@dataclasses.dataclass(slots=True, eq=False)
class HalfOpenFlow:
    """A flow whose caller has not been seen to go on.

    Attributes:
        packet: The last copy of its opening packet.
        service: The service that it goes to.
        first_ms: When the first copy came.
        sent_ms: When it was last sent to an upstream.
        tried: The upstreams that got it, in order.
        has_failed: Whether the last one was noted as unanswered.
        copies_seen: How many further copies came to this host.
        may_go_on_elsewhere: Whether hosts joined or left since it was sent, so
            that its caller's answer may pass through another host.
    """

    packet: data.Packet
    service: str
    first_ms: int
    sent_ms: int
    tried: list[upstream_table.Entry]
    has_failed: bool = False
    copies_seen: int = 0
    may_go_on_elsewhere: bool = False

    @property
    def counted_id(self) -> str:
        """The identity of the upstream that got it last."""
        return self.tried[-1].upstream.upstream_id

    @property
    def tried_ids(self) -> set[str]:
        """The identities of the upstreams that got it."""
        return {entry.upstream.upstream_id for entry in self.tried}


class HalfOpenFlows:
    """The openings in progress, oldest first."""

    def __init__(self) -> None:
        self._by_flow: dict[data.FlowId, HalfOpenFlow] = {}
        self._last_by_caller: dict[tuple[int, data.Endpoint], HalfOpenFlow] = {}
        self._count_by_id: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        """Returns how many openings are in progress."""
        return len(self._by_flow)

    def get(self, flow_id: data.FlowId) -> HalfOpenFlow | None:
        """Returns the opening of a flow, None if there is none."""
        return self._by_flow.get(flow_id)

    def count(self, upstream_id: str) -> int:
        """Returns how many openings an upstream has got and not answered.

        One that it failed to answer in time does not count.
        """
        return self._count_by_id[upstream_id]

    def add(self, opening: HalfOpenFlow) -> None:
        """Takes a new opening; the oldest makes room if there are too many."""
        if len(self._by_flow) >= MAX_OPENINGS:
            self.pop(next(iter(self._by_flow)))
        self._by_flow[opening.packet.flow_id] = opening
        self._last_by_caller[_caller(opening.packet)] = opening
        self._count_by_id[opening.counted_id] += 1

    def tried_for_caller(self, packet: data.Packet, now_ms: int) -> set[str]:
        """Returns the upstreams that may have reset another try of a caller.

        An upstream that does not listen resets the opening, and its caller
        opens another flow within milliseconds; the host sees neither answer.

        Args:
            packet: The opening packet of the new flow.
            now_ms: The current time.

        Returns:
            The identities of the upstreams that hold an unanswered opening of
            the same caller for the same endpoint.
        """
        last = self._last_by_caller.get(_caller(packet))
        if last is None or now_ms - last.first_ms > RETRY_WITHIN_MS:
            return set()
        if last.packet.flow_id not in self._by_flow:
            return set()
        return last.tried_ids

    def fail(self, opening: HalfOpenFlow) -> None:
        """Notes that the last upstream of an opening did not answer."""
        if not opening.has_failed:
            opening.has_failed = True
            self._uncount(opening)

    def send(
        self, opening: HalfOpenFlow, entry: upstream_table.Entry, now_ms: int
    ) -> None:
        """Notes that an opening goes to an upstream, the same or another.

        Args:
            opening: The opening.
            entry: The upstream.
            now_ms: The current time.
        """
        self.fail(opening)
        if opening.tried[-1] is not entry:
            opening.tried.append(entry)
        opening.sent_ms = now_ms
        opening.has_failed = False
        self._count_by_id[opening.counted_id] += 1

    def pop(self, flow_id: data.FlowId) -> HalfOpenFlow | None:
        """Removes and returns the opening of a flow, None if there is none."""
        opening = self._by_flow.pop(flow_id, None)
        if opening is None:
            return None
        if not opening.has_failed:
            self._uncount(opening)
        if self._last_by_caller.get(_caller(opening.packet)) is opening:
            del self._last_by_caller[_caller(opening.packet)]
        return opening

    def postpone(self, pause_ms: int) -> None:
        """Gives upstreams more time after this host stood still.

        Args:
            pause_ms: How long it stood still.
        """
        for opening in self._by_flow.values():
            opening.sent_ms += pause_ms

    def record_membership_change(self) -> None:
        """Notes that hosts join or leave."""
        for opening in self._by_flow.values():
            opening.may_go_on_elsewhere = True

    def unanswered(self, now_ms: int, after_ms: int) -> list[HalfOpenFlow]:
        """Returns the openings whose last upstream has not answered.

        Args:
            now_ms: The current time.
            after_ms: How long an upstream has to answer.
        """
        found: list[HalfOpenFlow] = []
        for opening in self._by_flow.values():
            if opening.has_failed or opening.may_go_on_elsewhere:
                continue
            if now_ms - opening.sent_ms >= after_ms:
                found.append(opening)
        return found

    def expire(self, now_ms: int) -> list[HalfOpenFlow]:
        """Removes and returns the openings whose callers have given up."""
        expired = [
            opening
            for opening in self._by_flow.values()
            if now_ms - opening.first_ms > OPENING_LIFE_MS
        ]
        for opening in expired:
            self.pop(opening.packet.flow_id)
        return expired

    def _uncount(self, opening: HalfOpenFlow) -> None:
        """Ends the count of an opening at its last upstream."""
        self._count_by_id[opening.counted_id] -= 1
        if self._count_by_id[opening.counted_id] <= 0:
            del self._count_by_id[opening.counted_id]


def _caller(packet: data.Packet) -> tuple[int, data.Endpoint]:
    """Returns who asks for what, whatever port it uses."""
    return (packet.flow_id.caller_address, packet.flow_id.endpoint)
