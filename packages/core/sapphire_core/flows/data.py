"""Immutable records of flow routing.

A replica host of a bucket is a host that stores the flow records of the bucket;
see `rendezvous`.
"""

import dataclasses
import enum

from sapphire_data import failures
from sapphire_data import records


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Send the packet to an upstream.

    Attributes:
        upstream: The upstream with its address and port.
    """

    upstream: records.Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Relay the packet to another host, which decides about it.

    Attributes:
        host_id: The receiver.
        visited: The hosts that handled the packet, this one included, in order.
        upstream: The upstream of the flow; None until a replica host has
            selected it or found a record of it.
        revision: The newest revision that this host or a visited host has
            prepared.
    """

    host_id: str
    visited: tuple[str, ...]
    upstream: str | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reset:
    """Do not forward the packet, and answer the caller with a reset.

    Attributes:
        reason: Why the flow cannot go on.
    """

    reason: failures.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """Drop the packet without an answer; the caller may retransmit it.

    Attributes:
        reason: Why the packet is dropped.
    """

    reason: failures.Failure


Decision = Forward | Relay | Reset | Drop


@dataclasses.dataclass(frozen=True, slots=True)
class RelayHeader:
    """What a host sends along with a relayed packet.

    Attributes:
        visited: The hosts that handled the packet, in order, the sender last.
        upstream: The upstream of the flow; None until a replica host has
            selected it or found a record of it.
        revision: The newest revision that the sender or another visited host
            has prepared.
    """

    visited: tuple[str, ...]
    upstream: str | None
    revision: int


class ObservedState(enum.Enum):
    """The state of an upstream as hosts observed it.

    Attributes:
        NORMAL: It may get new flows; its buckets are still ambiguous.
        COLD: It has just started or recovered, and begins a slow start.
        FAILED: It gets no new flows.
        SETTLED: The observation no longer makes its buckets ambiguous.
    """

    NORMAL = "normal"
    COLD = "cold"
    FAILED = "failed"
    SETTLED = "settled"


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamObservation:
    """The observed state of an upstream, disseminated by gossip.

    Every host keeps the observation with the greatest (version, boot identity,
    state). The buckets of the upstream stay ambiguous until the observation is
    `SETTLED`, because meanwhile new flows of these buckets may have gone to
    other upstreams; only the flow records of replica hosts show which.

    Attributes:
        upstream: The name of the upstream.
        state: The observed state.
        boot_id: The identity of the upstream's present process; empty if it
            is unknown.
        version: Increases with each change of the state.
    """

    upstream: str
    state: ObservedState
    boot_id: str
    version: int

    def precedence(self) -> tuple[int, str, str]:
        """Returns the sort key; the greater of two observations wins."""
        return (self.version, self.boot_id, self.state.value)


@dataclasses.dataclass(frozen=True, slots=True)
class SlowStart:
    """An upstream in slow start, as one host reports it to a new host.

    A host that has just started cannot tell from the configuration which
    upstreams are cold.

    Attributes:
        upstream: The name of the upstream.
        age_ms: The time since it turned cold.
    """

    upstream: str
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverRequest:
    """A request of a new replica host for one page of flow records.

    Attributes:
        service: The name of the service.
        buckets: The buckets of which the requesting host lacks flow records.
        after_flow_hash: Only flows with greater hashes are wanted; -1 for
            the first page.
    """

    service: str
    buckets: tuple[int, ...]
    after_flow_hash: int


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverPage:
    """A page of flow records, in the order of flow hashes.

    Attributes:
        service: The name of the service.
        buckets: The buckets of the request; empty in a page of flows that the
            sender opened lately, which no host requested.
        kept_buckets: The buckets for which the sender knows the requesting
            host as a replica host. Only for these is the page a valid answer:
            new flow records of the others would not reach that host.
        complete_buckets: The subset of `kept_buckets` for which the sender,
            as a replica host, has all flow records.
        upstreams: The names that `upstream_indices` refers to.
        flow_hashes: The flow hashes, ascending.
        upstream_indices: For each flow hash an index into `upstreams`.
        is_last: Whether no page follows.
    """

    service: str
    buckets: tuple[int, ...]
    kept_buckets: tuple[int, ...]
    complete_buckets: tuple[int, ...]
    upstreams: tuple[str, ...]
    flow_hashes: tuple[int, ...]
    upstream_indices: tuple[int, ...]
    is_last: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SendHandoverRequest:
    """Request flow records from another host.

    Attributes:
        host_id: The receiver of the request.
        request: The request.
    """

    host_id: str
    request: HandoverRequest


@dataclasses.dataclass(frozen=True, slots=True)
class SendHandoverPage:
    """Send flow records that the receiver did not request.

    Attributes:
        host_id: The receiver of the page.
        page: The page; it has no buckets.
    """

    host_id: str
    page: HandoverPage


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionActivated:
    """This host now routes new flows by another configuration.

    Attributes:
        revision: The activated revision.
    """

    revision: int


Action = SendHandoverRequest | SendHandoverPage | RevisionActivated
