"""Immutable records of flow routing."""

import dataclasses
import enum

from sapphire_data import failures
from sapphire_data import records


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Send the packet to an upstream.

    Attributes:
        upstream: The upstream with its address.
    """

    upstream: records.Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Hand the packet to another host.

    Attributes:
        host_id: The receiver.
        visited: The hosts that saw the packet, this one included, in order.
        upstream: The placement, once a keeper made or found it.
        revision: The newest revision that this host has prepared.
    """

    host_id: str
    visited: tuple[str, ...]
    upstream: str | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reset:
    """Do not forward; tell the caller with a reset.

    Attributes:
        reason: Why the flow is given up.
    """

    reason: failures.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """Do not forward and do not tell the caller, who may send again.

    Attributes:
        reason: Why the packet is dropped.
    """

    reason: failures.Failure


Decision = Forward | Relay | Reset | Drop


@dataclasses.dataclass(frozen=True, slots=True)
class RelayHeader:
    """What a relayed packet carries beside the packet.

    Attributes:
        visited: The hosts that saw the packet, the entry host first.
        upstream: The placement, once a keeper made or found it.
        revision: The newest revision that the sender has prepared.
    """

    visited: tuple[str, ...]
    upstream: str | None
    revision: int


class ObservedState(enum.Enum):
    """What hosts observed of an upstream, beside the configuration."""

    NORMAL = "normal"
    COLD = "cold"
    FAILED = "failed"
    SETTLED = "settled"


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamObservation:
    """The observed state of an upstream, spread as a gossip fact.

    The greater (version, boot identity, state) wins on every host. An overlay
    keeps the buckets of its upstream ambiguous until it is `SETTLED`, because
    flows that were placed elsewhere meanwhile are known to keepers only.

    Attributes:
        upstream: The name of the upstream.
        state: The observed state.
        boot_id: The identity of the upstream's present process.
        version: Increases with each change.
    """

    upstream: str
    state: ObservedState
    boot_id: str
    version: int

    def precedence(self) -> tuple[int, str, str]:
        """Returns the key by which the winner of two overlays is chosen."""
        return (self.version, self.boot_id, self.state.value)


@dataclasses.dataclass(frozen=True, slots=True)
class SlowStart:
    """An upstream on its start ramp, for a host that has just started.

    Attributes:
        upstream: The name of the upstream.
        age_ms: The time since it turned cold.
    """

    upstream: str
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverRequest:
    """A request of a new keeper for recorded placements.

    Attributes:
        service: The name of the service.
        buckets: The buckets that the asking keeper has no full record of.
        after_flow_hash: Only flows with greater hashes are wanted; -1 for
            the first page.
    """

    service: str
    buckets: tuple[int, ...]
    after_flow_hash: int


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverPage:
    """Recorded placements, in the order of flow hashes.

    Attributes:
        service: The name of the service.
        buckets: The buckets of the request.
        kept_buckets: Those of which the sender knows the asking host as a
            keeper; only for these does the page count.
        complete_buckets: Those of them of which the sender has a full
            record, as a keeper.
        upstreams: The names that entries refer to.
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
    """Ask another host for recorded placements.

    Attributes:
        host_id: The host that is asked.
        request: The request.
    """

    host_id: str
    request: HandoverRequest


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionActivated:
    """The routing of a revision is now in force on this host.

    Attributes:
        revision: The activated revision.
    """

    revision: int


Action = SendHandoverRequest | RevisionActivated
