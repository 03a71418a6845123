"""The upstreams of recorded flows, with idle expiry.

A flow is recorded if a host without the record might send it to another
upstream, above all if its upstream is not the default owner of its bucket.
Three dictionaries of increasing age expire idle flows without a time stamp for
each flow: a record lives for two to three periods after its last refresh.

Besides, the table knows for some seconds where flows were opened, so that their
retransmitted opening packets can be told from those of new flows.
"""

from collections.abc import Iterator
from collections.abc import Set as AbstractSet

IDLE_PERIOD_MS = 1_800_000
CLOSING_PERIOD_MS = 30_000
# A caller that gets no answer retransmits its opening packet 1 s and 3 s after
# the first transmission (RFC 6298); one more second allows for delays.
OPENING_PERIOD_MS = 4_000


class FlowTable:
    """The upstream of each recorded flow of one service.

    Args:
        now_ms: The current time.
    """

    def __init__(self, now_ms: int) -> None:
        self._young: dict[int, str] = {}
        self._middle: dict[int, str] = {}
        self._old: dict[int, str] = {}
        self._closing: dict[int, str] = {}
        self._closed: dict[int, str] = {}
        self._opened: dict[int, str] = {}
        self._opened_before: dict[int, str] = {}
        self._rotated_ms = now_ms
        self._closing_rotated_ms = now_ms
        self._opened_rotated_ms = now_ms

    def __len__(self) -> int:
        tables = (self._young, self._middle, self._old)
        return sum(map(len, tables)) + len(self._closing) + len(self._closed)

    def get(self, flow_hash: int) -> str | None:
        """Returns the recorded upstream of a flow without a refresh."""
        for table in (self._young, self._middle, self._old):
            upstream = table.get(flow_hash)
            if upstream is not None:
                return upstream
        return self._closing.get(flow_hash) or self._closed.get(flow_hash)

    def is_closing(self, flow_hash: int) -> bool:
        """Returns whether a closing packet of a recorded flow was seen."""
        return flow_hash in self._closing or flow_hash in self._closed

    def opened_upstream(self, flow_hash: int) -> str | None:
        """Returns the upstream that got the opening packet of a flow lately.

        It is known for one to two periods of `OPENING_PERIOD_MS`, unless a
        closing packet is seen. Until then a further opening packet is a
        retransmission. A record alone does not show that, because a flow is
        recorded before its opening packet is forwarded.
        """
        upstream = self._opened.get(flow_hash)
        return upstream or self._opened_before.get(flow_hash)

    def note_opened(self, flow_hash: int, upstream: str) -> None:
        """Notes which upstream got the opening packet of a flow.

        It is not noted of a flow that is recorded at another upstream or as
        closing, since that is of a later time.

        Args:
            flow_hash: The flow.
            upstream: The upstream.
        """
        if self.is_closing(flow_hash):
            return
        if self.get(flow_hash) not in {None, upstream}:
            return
        if self.opened_upstream(flow_hash) is None:
            self._opened[flow_hash] = upstream

    def record_opened(self, flow_hash: int) -> str | None:
        """Records a flow that has no record at the upstream that was noted.

        Args:
            flow_hash: The flow.

        Returns:
            The upstream, None if none was noted.
        """
        upstream = self.opened_upstream(flow_hash)
        if upstream is not None:
            self._young[flow_hash] = upstream
        return upstream

    def forget_opened(self, upstreams: AbstractSet[str]) -> None:
        """Forgets which flows were opened lately at some upstreams.

        Args:
            upstreams: Their names.
        """
        for table in (self._opened, self._opened_before):
            for flow_hash, upstream in list(table.items()):
                if upstream in upstreams:
                    del table[flow_hash]

    def refresh(self, flow_hash: int) -> bool:
        """Extends the life of a recorded flow that is not closing.

        Args:
            flow_hash: The flow.

        Returns:
            Whether this was the first refresh in the present period, so that
            the record on the other replica host has to be refreshed too.
        """
        if flow_hash in self._young:
            return False
        for table in (self._middle, self._old):
            upstream = table.pop(flow_hash, None)
            if upstream is not None:
                self._young[flow_hash] = upstream
                return True
        return False

    def record(self, flow_hash: int, upstream: str) -> None:
        """Records the upstream of a flow, replacing an earlier record."""
        self.discard(flow_hash)
        self._young[flow_hash] = upstream

    def close(self, flow_hash: int) -> None:
        """Marks a recorded flow as closing, so that it expires soon.

        Its record lives for one to two periods of `CLOSING_PERIOD_MS` more.
        """
        if self.is_closing(flow_hash):
            return
        upstream = self.get(flow_hash)
        if upstream is None:
            return
        self.discard(flow_hash)
        self._closing[flow_hash] = upstream

    def discard(self, flow_hash: int) -> None:
        """Removes the record of a flow, if there is one."""
        for table in self.parts():
            table.pop(flow_hash, None)
        self._opened.pop(flow_hash, None)
        self._opened_before.pop(flow_hash, None)

    def items(self) -> Iterator[tuple[int, str]]:
        """Yields the recorded flows and their upstreams."""
        for table in self.parts():
            yield from table.items()

    def evict_expired(self, now_ms: int) -> None:
        """Removes the flows that were idle for too long.

        Args:
            now_ms: The current time.
        """
        while now_ms - self._rotated_ms >= IDLE_PERIOD_MS:
            self._old = self._middle
            self._middle = self._young
            self._young = {}
            self._rotated_ms += IDLE_PERIOD_MS
        while now_ms - self._closing_rotated_ms >= CLOSING_PERIOD_MS:
            self._closed = self._closing
            self._closing = {}
            self._closing_rotated_ms += CLOSING_PERIOD_MS
        while now_ms - self._opened_rotated_ms >= OPENING_PERIOD_MS:
            self._opened_before = self._opened
            self._opened = {}
            self._opened_rotated_ms += OPENING_PERIOD_MS

    def parts(self) -> tuple[dict[int, str], ...]:
        """Returns the dictionaries by flow hash, the youngest first."""
        return (
            self._young,
            self._middle,
            self._old,
            self._closing,
            self._closed,
        )
