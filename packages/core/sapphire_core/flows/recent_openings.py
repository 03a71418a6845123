"""The opening packets that this host forwarded lately.

A flow that is opened where every host selects the same upstream needs no record
until a change moves its bucket. Its opening packet may be retransmitted after
that, and the replica hosts could not tell it from that of a new flow. So the
host that forwarded the packet tells the replica hosts as soon as it prepares
the change. They need that for opening packets only: other packets of the flow
go to the default owner, which is its upstream.

The same holds for a recorded flow once its upstream leaves, because a record
does not show that the upstream has got the opening packet.
"""

import collections
import dataclasses
from typing import NamedTuple

from sapphire_core.flows import ambiguous_bucket_router
from sapphire_core.flows import data
from sapphire_core.flows import flow_table
from sapphire_core.flows import handover_source
from sapphire_core.flows import route_tables

# The new flows of a site, 5,000 a second, for `flow_table.OPENING_PERIOD_MS`.
MAX_OPENINGS = 20_000


class _Opening(NamedTuple):
    """An opening packet that was forwarded.

    It is a tuple because one is created for each opening packet.
    """

    service_key: bytes
    flow_hash: int
    upstream: str
    forwarded_ms: int


@dataclasses.dataclass(slots=True)
class _Moved:
    """An opening packet whose retransmission might reach another upstream.

    Attributes:
        opening: The opening packet.
        service: The name of its service.
        bucket: The bucket of its flow.
        informed: The hosts that were told of it.
    """

    opening: _Opening
    service: str
    bucket: int
    informed: set[str] = dataclasses.field(default_factory=set)


class _PendingPage(NamedTuple):
    """A page that waits until the byte rate allows it."""

    host_id: str
    page: data.HandoverPage
    created_ms: int


class RecentOpenings:
    """Remembers opening packets, and tells of their flows before these move.

    Args:
        tables: The routes.
        router: Holds the flow records.
        source: Limits the bytes of pages.
    """

    def __init__(
        self,
        tables: route_tables.RouteTables,
        router: ambiguous_bucket_router.AmbiguousBucketRouter,
        source: handover_source.HandoverSource,
    ) -> None:
        self._tables = tables
        self._router = router
        self._source = source
        self._openings: collections.deque[_Opening] = collections.deque(
            maxlen=MAX_OPENINGS
        )
        self._moved: collections.deque[_Moved] = collections.deque(
            maxlen=MAX_OPENINGS
        )
        self._pending: collections.deque[_PendingPage] = collections.deque()

    def remember(
        self,
        service_key: bytes,
        flow_hash: int,
        decision: data.Decision,
        now_ms: int,
    ) -> None:
        """Remembers an opening packet if it was forwarded.

        Args:
            service_key: The service key.
            flow_hash: The flow.
            decision: What this host decided about the packet.
            now_ms: The current time.
        """
        if isinstance(decision, data.Forward):
            name = decision.upstream.name
            self._openings.append(
                _Opening(service_key, flow_hash, name, now_ms)
            )

    def update_routes(self, now_ms: int) -> None:
        """Tells of the flows that might now be opened at another upstream.

        To be called after each rebuild of the routes.

        Args:
            now_ms: The current time.
        """
        self._forget(now_ms)
        kept = []
        for opening in self._openings:
            routes = self._tables.find(opening.service_key)
            if routes is None or not routes.inputs.is_active:
                continue
            bucket = opening.flow_hash % routes.bucket_count
            if routes.is_selected_everywhere(bucket, opening.upstream):
                kept.append(opening)
                continue
            if opening.upstream not in routes.answering:
                continue
            flows = self._router.replica_state(routes.name, now_ms).flows
            # A record on the replica hosts is enough until the upstream leaves.
            is_recorded = flows.get(opening.flow_hash) is not None
            if is_recorded and routes.serves_in_all(opening.upstream):
                kept.append(opening)
                continue
            flows.note_opened(opening.flow_hash, opening.upstream)
            self._moved.append(_Moved(opening, routes.name, bucket))
        self._openings.clear()
        self._openings.extend(kept)
        self.inform_replica_hosts(now_ms)

    def inform_replica_hosts(self, now_ms: int) -> None:
        """Queues pages for replica hosts that were not told of a flow yet.

        To be called after each change of membership too, since it makes other
        hosts the replica hosts. Those that select upstreams come first.

        Args:
            now_ms: The current time.
        """
        self._forget(now_ms)
        moved_by_receiver: dict[tuple[str, int, str], list[_Moved]] = {}
        for moved in self._moved:
            hosts = self._router.hosts_to_inform(moved.service, moved.bucket)
            for rank, host_id in enumerate(hosts):
                if host_id in moved.informed:
                    continue
                moved.informed.add(host_id)
                receiver = (moved.service, rank, host_id)
                moved_by_receiver.setdefault(receiver, []).append(moved)
        for service, rank, host_id in sorted(
            moved_by_receiver, key=lambda receiver: receiver[1]
        ):
            told = moved_by_receiver[service, rank, host_id]
            for start in range(0, len(told), handover_source.PAGE_FLOWS):
                part = told[start : start + handover_source.PAGE_FLOWS]
                page = _page(service, part)
                self._pending.append(_PendingPage(host_id, page, now_ms))

    def tick(self, now_ms: int) -> list[data.Action]:
        """Returns the pages that may be sent now.

        Args:
            now_ms: The current time.

        Returns:
            The pages to send.
        """
        self._forget(now_ms)
        actions: list[data.Action] = []
        while self._pending:
            pending = self._pending[0]
            if now_ms - pending.created_ms >= flow_table.OPENING_PERIOD_MS:
                self._pending.popleft()
                continue
            size = handover_source.page_bytes(pending.page)
            if not self._source.take_bytes(size, now_ms):
                break
            self._pending.popleft()
            actions.append(data.SendHandoverPage(pending.host_id, pending.page))
        return actions

    def _forget(self, now_ms: int) -> None:
        """Forgets the openings that are not retransmitted any more."""
        oldest_ms = now_ms - flow_table.OPENING_PERIOD_MS
        while self._openings and self._openings[0].forwarded_ms < oldest_ms:
            self._openings.popleft()
        while self._moved and self._moved[0].opening.forwarded_ms < oldest_ms:
            self._moved.popleft()


def _page(service: str, told: list[_Moved]) -> data.HandoverPage:
    """Returns a page that no host requested."""
    upstream_by_flow = {
        moved.opening.flow_hash: moved.opening.upstream for moved in told
    }
    names = sorted(set(upstream_by_flow.values()))
    index_by_name = {name: index for index, name in enumerate(names)}
    flow_hashes = sorted(upstream_by_flow)
    indices = [
        index_by_name[upstream_by_flow[flow_hash]] for flow_hash in flow_hashes
    ]
    return data.HandoverPage(
        service=service,
        buckets=(),
        kept_buckets=(),
        complete_buckets=(),
        upstreams=tuple(names),
        flow_hashes=tuple(flow_hashes),
        upstream_indices=tuple(indices),
        is_last=True,
    )
