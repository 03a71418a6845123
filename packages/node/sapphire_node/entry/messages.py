"""The messages that the tasks of the entry host send each other."""

from collections.abc import Mapping
import dataclasses

from sapphire_core.peers import data as peer_data
from sapphire_core.peers import outcome_reports
from sapphire_core.replication import data as replication_data
from sapphire_core.tagged_flows import data as flow_data

# The source of batches that the store itself has returned.
STORE = "store"


@dataclasses.dataclass(frozen=True, slots=True)
class BatchReceived:
    """The store or a peer has returned a batch of a scope.

    Attributes:
        scope: The scope.
        batch: The batch.
        source: Where the batch came from, for logs: `store` or a host.
    """

    scope: replication_data.Scope
    batch: replication_data.Batch
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class RemovedItemsReceived:
    """A peer has returned items that left a scope before this host started.

    Attributes:
        scope: The scope.
        batch: The last values of removed keys.
        source: The host that returned them, for logs.
    """

    scope: replication_data.Scope
    batch: replication_data.Batch
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class CarriedItemsReceived:
    """A peer has returned what counts in place of what a restored store has.

    Attributes:
        scope: The scope.
        batch: What the peer carries, see `Replica.carried_batch`.
        source: The host that returned it, for logs.
    """

    scope: replication_data.Scope
    batch: replication_data.Batch
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeersAsked:
    """Peers have been asked for what they carry, after the start.

    Attributes:
        answers: How many of them have answered.
    """

    answers: int


ReplicaMessage = (
    BatchReceived | RemovedItemsReceived | CarriedItemsReceived | PeersAsked
)


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAtRevision:
    """A change and the revision of the store at which it was made.

    Attributes:
        change: The change.
        revision: The revision.
        era: The era of the store that the revision belongs to.
    """

    change: flow_data.Change
    revision: int
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class NewChanges:
    """Changes that the packet task has to apply.

    Attributes:
        scope: The scope that they belong to.
        changes: The changes, oldest first.
        removal_cause: Why upstreams were removed, if the changes remove some.
        source: Where the changes came from, for logs: `store` or a host.
    """

    scope: replication_data.Scope
    changes: tuple[ChangeAtRevision, ...]
    removal_cause: flow_data.RemovalCause
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class HostListChanged:
    """The host list in the store has changed.

    Attributes:
        contacts: The contacts of all hosts that are listed now.
    """

    contacts: tuple[peer_data.Contact, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ScopeUpdated:
    """The replica of a scope has changed; peers may lack the changes.

    Attributes:
        scope: The scope.
        is_from_store: Whether the store itself has sent the changes.
    """

    scope: replication_data.Scope
    is_from_store: bool


@dataclasses.dataclass(frozen=True, slots=True)
class OwnUpstreamReports:
    """What this host has observed of upstreams.

    Attributes:
        reports: A report of each upstream that has in-flight requests of this
            host or that it avoids as unresponsive.
        outcomes: What became of requests at upstreams that may do badly.
        is_urgent: Whether an upstream has just become unresponsive.
        has_new_pins: Whether this host has pinned flows since the last message.
    """

    reports: tuple[peer_data.UpstreamReport, ...]
    outcomes: tuple[peer_data.OutcomeReport, ...]
    is_urgent: bool
    has_new_pins: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReports:
    """The aggregated upstream reports of all peers.

    Attributes:
        in_flight_by_tag: The in-flight requests of all peers at each upstream,
            by its tag; those of peers without a recent heartbeat are
            estimated.
        avoid_ms_by_tag: For how much longer at least one peer avoids each
            upstream as unresponsive, by its tag.
        host_count: How many hosts there may be, this one included.
        has_membership_changed: Whether a host of this data centre has joined
            or is leaving, so that the fabric moves flows between hosts.
        evidence_by_tag: What became of requests at upstreams that may do
            badly, as the peers of this data centre report it, by tag; None
            while upstreams are not due to be judged again.
        remote_silence_ms: How long no host of another data centre has been
            heard; None if none is known.
        starts_cut_off: Whether a near peer can reach no upstream, and this host
            has heard no other data centre since its start.
    """

    in_flight_by_tag: Mapping[int, float]
    avoid_ms_by_tag: Mapping[int, int]
    host_count: int
    has_membership_changed: bool
    evidence_by_tag: Mapping[int, outcome_reports.Evidence] | None
    remote_silence_ms: int | None
    starts_cut_off: bool = False


PacketTaskMessage = NewChanges | PeerReports | PeersAsked
