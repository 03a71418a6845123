"""Pins: which upstream has a flow whose opening packet went to several.

The tag on a packet is that of whoever sent last to the caller. If two upstreams
have answered an opening packet, the one that does not have the flow repeats its
answer for some seconds, and its tag is on the caller's packets until the other
one sends again. Only the host that forwarded the first packet after the opening
can tell them apart, and the fabric may send the next one to any other host. So
hosts tell each other, when an opening packet goes to a second upstream, that
the flow is ambiguous, and when its first packet arrives, which upstream has it.
"""

from collections.abc import Iterable
import dataclasses

from sapphire_core.tagged_flows import data
from sapphire_core.tagged_flows import upstream_table

# A pin takes about 300 bytes, so that all of them take 3 MB at most.
MAX_PINS = 10_000
# For how long a pin is told: a heartbeat reaches each host within that time,
# two or more in a fleet whose data centres have up to 64 hosts.
REPORT_MS = 2_000
# How many pins a heartbeat carries, the newest ones, at 20 bytes each.
MAX_REPORTED_PINS = 64
_SEQUENCE_SPACE = 2**32
# What an upstream may send on one flow, and what packets may be reordered by.
_MAX_FLOW_BYTES = 2**26
_MAX_REORDERED_BYTES = 2**16


@dataclasses.dataclass(slots=True)
class _KnownPin:
    """A pin and where it comes from.

    Attributes:
        pin: The pin.
        learned_ms: When this host made or heard it.
        is_own: Whether this host has made it.
    """

    pin: data.FlowPin
    learned_ms: int
    is_own: bool


class FlowPins:
    """The pins that this host has made or heard, oldest first.

    Attributes:
        has_news: Whether this host has found the upstream of an ambiguous flow
            and its peers are to be told at once.
    """

    def __init__(self) -> None:
        self._known_by_flow: dict[data.FlowId, _KnownPin] = {}
        # Ambiguous flows that peers have told of since the last `take_asked`.
        self._asked: set[data.FlowId] = set()
        self.has_news = False

    def __len__(self) -> int:
        """Returns the number of pins."""
        return len(self._known_by_flow)

    def record_ambiguous(self, flow_id: data.FlowId, now_ms: int) -> None:
        """Records that a second upstream may have got an opening packet.

        Args:
            flow_id: The flow.
            now_ms: The current time.
        """
        if flow_id not in self._known_by_flow:
            pin = data.FlowPin(flow_id, data.NO_TAG, 0)
            self._put(_KnownPin(pin, now_ms, is_own=True))

    def record_upstream(
        self, packet: data.Packet, tag: int, now_ms: int
    ) -> None:
        """Records which upstream has an ambiguous flow, unless it is known.

        Args:
            packet: The first packet of the flow after the opening, or the first
                with a second tag.
            tag: The tag of the upstream that has the flow.
            now_ms: The current time.
        """
        if self.tag_of(packet) is None:
            pin = data.FlowPin(packet.flow_id, tag, packet.acknowledged)
            self._put(_KnownPin(pin, now_ms, is_own=True))
            self.has_news = True

    def is_unresolved(self, flow_id: data.FlowId) -> bool:
        """Whether a flow is ambiguous and its upstream not known."""
        known = self._known_by_flow.get(flow_id)
        return known is not None and known.pin.tag == data.NO_TAG

    def is_resolved(self, flow_id: data.FlowId) -> bool:
        """Whether a flow is ambiguous and its upstream known."""
        known = self._known_by_flow.get(flow_id)
        return known is not None and known.pin.tag != data.NO_TAG

    def tag_of(self, packet: data.Packet) -> int | None:
        """Returns the tag of the upstream that has the flow of a packet.

        Args:
            packet: A packet after the opening of its flow.

        Returns:
            The tag; None without a pin, or if the caller has used the port for
            another flow since: its upstream counts from another number.
        """
        known = self._known_by_flow.get(packet.flow_id)
        if known is None or known.pin.tag == data.NO_TAG:
            return None
        if not _is_same_flow(packet.acknowledged, known.pin.acknowledged):
            return None
        return known.pin.tag

    def discard(self, flow_id: data.FlowId) -> None:
        """Discards the pin of a flow whose port is used for another one."""
        self._known_by_flow.pop(flow_id, None)

    def merge(self, pins: Iterable[data.FlowPin], now_ms: int) -> None:
        """Merges the pins of a peer; what is known of a flow holds.

        Args:
            pins: The pins.
            now_ms: The current time.
        """
        for pin in pins:
            known = self._known_by_flow.get(pin.flow_id)
            if known is not None:
                if pin.tag == data.NO_TAG:
                    continue
                if known.pin.tag != data.NO_TAG and _is_same_flow(
                    pin.acknowledged, known.pin.acknowledged
                ):
                    continue
            if pin.tag == data.NO_TAG:
                self._asked.add(pin.flow_id)
            self._put(_KnownPin(pin, now_ms, is_own=False))

    def take_asked(self) -> set[data.FlowId]:
        """Returns the ambiguous flows that peers have told of since.

        This host may have their upstreams: it has taken the first packet, and
        knows of no other upstream.
        """
        asked = self._asked
        self._asked = set()
        return asked

    def reported(
        self, now_ms: int, *, relays: bool
    ) -> tuple[data.FlowPin, ...]:
        """Returns the pins that the next heartbeat carries, newest first.

        Args:
            now_ms: The current time.
            relays: Whether pins of peers are passed on.
        """
        found: list[data.FlowPin] = []
        for known in reversed(self._known_by_flow.values()):
            if now_ms - known.learned_ms > REPORT_MS:
                break
            if known.is_own or relays:
                found.append(known.pin)
            if len(found) == MAX_REPORTED_PINS:
                break
        return tuple(found)

    def all_pins(self) -> tuple[data.FlowPin, ...]:
        """Returns all pins, for a host that has just started."""
        return tuple([known.pin for known in self._known_by_flow.values()])

    def evict_expired(self, now_ms: int) -> None:
        """Evicts the pins of flows that have ended.

        Args:
            now_ms: The current time.
        """
        for flow_id, known in list(self._known_by_flow.items()):
            age_ms = now_ms - known.learned_ms
            if age_ms <= upstream_table.MAX_FLOW_LIFETIME_MS:
                return
            del self._known_by_flow[flow_id]

    def _put(self, known: _KnownPin) -> None:
        """Puts a pin last; evicts the oldest if there are too many."""
        self._known_by_flow.pop(known.pin.flow_id, None)
        self._known_by_flow[known.pin.flow_id] = known
        if len(self._known_by_flow) > MAX_PINS:
            del self._known_by_flow[next(iter(self._known_by_flow))]


def _is_same_flow(acknowledged: int, pinned: int) -> bool:
    """Whether two acknowledgements may be of one flow.

    Each upstream counts the bytes of a flow from a number of its own, which
    the acknowledgements of the caller continue.
    """
    ahead = (acknowledged - pinned) % _SEQUENCE_SPACE
    return (
        ahead < _MAX_FLOW_BYTES
        or ahead > _SEQUENCE_SPACE - _MAX_REORDERED_BYTES
    )
