"""Callers that keep feeds open: long connections with steady packets."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
import socket

import dpkt

from sapphire_data import clock
from sapphire_wire import packet_builders

RESEND_MS = 400
SILENT_MS = 6_000
FIRST_PORT = 10_000


class FeedState(enum.Enum):
    """The state of a feed as its caller sees it."""

    OPENING = "opening"
    OPEN = "open"
    GIVEN_UP = "given_up"


@dataclasses.dataclass(slots=True)
class Feed:
    """One connection of a caller.

    Attributes:
        port: The caller's port, the name of the flow.
        service: The IP number and port of the service.
        state: Its state.
        upstream: The upstream that answered the opening packet.
        sent_ms: When the caller last sent a packet.
        answered_ms: When an upstream last answered.
    """

    port: int
    service: tuple[str, int]
    state: FeedState = FeedState.OPENING
    upstream: str = ""
    sent_ms: int = 0
    answered_ms: int = 0


@dataclasses.dataclass(slots=True)
class FeedCounters:
    """What the callers saw.

    Attributes:
        opened: Feeds that an upstream accepted.
        broken: Feeds that another upstream answered, that were reset while
            their data centre was in, or that fell silent.
        given_up: Feeds reset while their data centre was taken out.
    """

    opened: int = 0
    broken: int = 0
    given_up: int = 0


class FeedCallers:
    """All feeds of one deployment."""

    def __init__(
        self,
        address: str,
        spray: Callable[[bytes], Awaitable[None]],
        is_moving: Callable[[str], bool],
        time: clock.Clock,
    ) -> None:
        """Creates the callers.

        Args:
            address: The IP number that the callers share.
            spray: Hands a packet to the fabric.
            is_moving: Whether operators are taking out the data centre of an
                upstream, so that its flows are given up.
            time: The clock.
        """
        self.counters = FeedCounters()
        self.broken_details: list[str] = []
        self._address = address
        self._spray = spray
        self._is_moving = is_moving
        self._time = time
        self._feeds_by_port: dict[int, Feed] = {}
        self._next_port = FIRST_PORT

    def add(self, service: tuple[str, int]) -> None:
        """Adds a feed, opened by the next `tick`.

        Args:
            service: The IP number and port of the service.
        """
        feed = Feed(self._next_port, service)
        self._next_port += 1
        self._feeds_by_port[feed.port] = feed

    def open_count(self) -> int:
        """Returns the number of open feeds."""
        return sum(
            feed.state is FeedState.OPEN
            for feed in self._feeds_by_port.values()
        )

    async def tick(self, interval_ms: int) -> None:
        """Sends what is due on each feed.

        Args:
            interval_ms: The time between packets of an open feed.
        """
        now_ms = self._time.now_ms()
        for feed in list(self._feeds_by_port.values()):
            if feed.state is FeedState.GIVEN_UP:
                self._replace(feed)
                continue
            wait_ms = RESEND_MS
            if feed.state is FeedState.OPEN:
                wait_ms = interval_ms
            if now_ms - feed.sent_ms < wait_ms:
                continue
            if self._is_silent(feed, now_ms):
                self._break(feed, "silent")
                continue
            feed.sent_ms = now_ms
            await self._spray(self._packet(feed))

    def receive(self, payload: bytes) -> None:
        """Handles an answer that an upstream or a host sent.

        Args:
            payload: The IP packet to the caller.
        """
        packet = dpkt.ip.IP(payload)
        segment = packet.data
        feed = self._feeds_by_port.get(segment.dport)
        if feed is None or feed.state is FeedState.GIVEN_UP:
            return
        service = (socket.inet_ntoa(packet.src), segment.sport)
        if service != feed.service:
            self._break(feed, "answer of another service")
            return
        if segment.flags & packet_builders.RST:
            self._reset(feed)
            return
        self._answered(feed, bytes(segment.data).decode())

    def _answered(self, feed: Feed, upstream: str) -> None:
        """Notes an answer and checks that it is the same upstream's."""
        feed.answered_ms = self._time.now_ms()
        if feed.state is FeedState.OPENING:
            feed.state = FeedState.OPEN
            feed.upstream = upstream
            self.counters.opened += 1
            return
        if feed.upstream != upstream:
            self._break(feed, f"moved from {feed.upstream} to {upstream}")

    def _reset(self, feed: Feed) -> None:
        """Notes a reset: the flow is given up or broken."""
        if feed.state is FeedState.OPENING:
            return
        if self._is_moving(feed.upstream):
            self.counters.given_up += 1
            feed.state = FeedState.GIVEN_UP
            return
        self._break(feed, f"reset at {feed.upstream}")

    def _is_silent(self, feed: Feed, now_ms: int) -> bool:
        """Returns whether an open feed has had no answer for too long."""
        if feed.state is not FeedState.OPEN:
            return False
        return now_ms - feed.answered_ms > SILENT_MS

    def _break(self, feed: Feed, reason: str) -> None:
        """Counts a broken feed once and opens another in its place."""
        self.counters.broken += 1
        self.broken_details.append(f"port {feed.port}: {reason}")
        self._replace(feed)

    def _replace(self, feed: Feed) -> None:
        """Opens another feed to the same service."""
        del self._feeds_by_port[feed.port]
        self.add(feed.service)

    def _packet(self, feed: Feed) -> bytes:
        """Returns the next packet of a feed."""
        flags = packet_builders.ACK
        payload = b"tick"
        if feed.state is FeedState.OPENING:
            flags = packet_builders.SYN
            payload = b""
        return packet_builders.tcp_packet(
            (self._address, feed.port), feed.service, flags, payload=payload
        )
