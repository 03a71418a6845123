"""Callers with feeds: long-lived TCP connections with periodic packets.

Callers detect broken flows: once a feed is open, it must stay on the upstream
that accepted it.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
import socket

import dpkt

from sapphire_data import clock
from sapphire_wire import packet_builders

RETRANSMISSION_INTERVAL_MS = 400
UNRESPONSIVE_MS = 6_000
FIRST_CALLER_PORT = 10_000


class FeedState(enum.Enum):
    """The state of a feed as its caller sees it.

    GIVEN_UP: The feed was reset while its data centre was taken out.
    """

    OPENING = "opening"
    OPEN = "open"
    GIVEN_UP = "given_up"


@dataclasses.dataclass(slots=True)
class Feed:
    """A connection of a caller.

    Attributes:
        port: The port of the caller, which identifies the feed.
        service: The IP address and port of the service.
        state: Its state.
        upstream: The upstream that answered the opening packet; empty
            until then.
        sent_ms: The monotonic time at which the caller last sent a packet.
        answered_ms: The monotonic time at which an upstream last answered.
    """

    port: int
    service: tuple[str, int]
    state: FeedState = FeedState.OPENING
    upstream: str = ""
    sent_ms: int = 0
    answered_ms: int = 0


@dataclasses.dataclass(slots=True)
class FeedCounters:
    """Numbers of feeds by what happened to them.

    Attributes:
        opened: Feeds that an upstream accepted.
        broken: Feeds that another upstream or service answered, that were
            reset while their data centre was in, or that got no answer for
            `UNRESPONSIVE_MS`.
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
        send: Callable[[bytes], Awaitable[None]],
        is_data_centre_out: Callable[[str], bool],
        time: clock.Clock,
    ) -> None:
        """Creates the callers.

        Args:
            address: The IP address that all callers share.
            send: Sends a packet through the fabric.
            is_data_centre_out: Returns whether operators have taken out the
                data centre of an upstream; its flows are then given up.
            time: The clock.
        """
        self.counters = FeedCounters()
        self.broken_details: list[str] = []
        self._address = address
        self._send = send
        self._is_data_centre_out = is_data_centre_out
        self._time = time
        self._feeds_by_port: dict[int, Feed] = {}
        self._next_port = FIRST_CALLER_PORT

    def add(self, service: tuple[str, int]) -> None:
        """Adds a feed; the next `tick` sends its opening packet.

        Args:
            service: The IP address and port of the service.
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
        """Sends due packets and detects feeds that no longer get answers.

        Args:
            interval_ms: The interval between packets of an open feed.
        """
        now_ms = self._time.now_ms()
        for feed in list(self._feeds_by_port.values()):
            if feed.state is FeedState.GIVEN_UP:
                self._replace_feed(feed)
                continue
            send_interval_ms = RETRANSMISSION_INTERVAL_MS
            if feed.state is FeedState.OPEN:
                send_interval_ms = interval_ms
            if now_ms - feed.sent_ms < send_interval_ms:
                continue
            if self._is_unresponsive(feed, now_ms):
                self._record_broken(feed, "silent")
                continue
            feed.sent_ms = now_ms
            await self._send(self._next_packet(feed))

    def receive(self, payload: bytes) -> None:
        """Handles a packet that an upstream or a host sent to a caller.

        Args:
            payload: The IP packet.
        """
        packet = dpkt.ip.IP(payload)
        segment = packet.data
        feed = self._feeds_by_port.get(segment.dport)
        if feed is None or feed.state is FeedState.GIVEN_UP:
            return
        service = (socket.inet_ntoa(packet.src), segment.sport)
        if service != feed.service:
            self._record_broken(feed, "answer of another service")
            return
        if segment.flags & packet_builders.RST:
            self._handle_reset(feed)
            return
        self._record_answer(feed, bytes(segment.data).decode())

    def _record_answer(self, feed: Feed, upstream: str) -> None:
        """Records an answer; the feed breaks if its upstream has changed."""
        feed.answered_ms = self._time.now_ms()
        if feed.state is FeedState.OPENING:
            feed.state = FeedState.OPEN
            feed.upstream = upstream
            self.counters.opened += 1
            return
        if feed.upstream != upstream:
            self._record_broken(
                feed, f"moved from {feed.upstream} to {upstream}"
            )

    def _handle_reset(self, feed: Feed) -> None:
        """Handles a reset: an open feed is given up or broken."""
        if feed.state is FeedState.OPENING:
            return
        if self._is_data_centre_out(feed.upstream):
            self.counters.given_up += 1
            feed.state = FeedState.GIVEN_UP
            return
        self._record_broken(feed, f"reset at {feed.upstream}")

    def _is_unresponsive(self, feed: Feed, now_ms: int) -> bool:
        """Returns whether an open feed got no answer for `UNRESPONSIVE_MS`."""
        if feed.state is not FeedState.OPEN:
            return False
        return now_ms - feed.answered_ms > UNRESPONSIVE_MS

    def _record_broken(self, feed: Feed, reason: str) -> None:
        """Counts a broken feed and replaces it by a new feed."""
        self.counters.broken += 1
        self.broken_details.append(f"port {feed.port}: {reason}")
        self._replace_feed(feed)

    def _replace_feed(self, feed: Feed) -> None:
        """Replaces a feed by a new feed to the same service."""
        del self._feeds_by_port[feed.port]
        self.add(feed.service)

    def _next_packet(self, feed: Feed) -> bytes:
        """Returns the next packet of a feed."""
        flags = packet_builders.ACK
        payload = b"tick"
        if feed.state is FeedState.OPENING:
            flags = packet_builders.SYN
            payload = b""
        return packet_builders.tcp_packet(
            (self._address, feed.port), feed.service, flags, payload=payload
        )
