"""What the tasks of the entry host tell each other."""

from collections.abc import Mapping
import dataclasses

from sapphire_core.peers import data as peer_data
from sapphire_core.replication import data as replication_data
from sapphire_core.tagged_flows import data as flow_data


@dataclasses.dataclass(frozen=True, slots=True)
class BatchReceived:
    """A source has told of a scope.

    Attributes:
        scope: The scope.
        batch: What it told.
        source: Who told it, for logs.
    """

    scope: replication_data.Scope
    batch: replication_data.Batch
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class RemovedItemsReceived:
    """A peer has told what left a scope before this host started.

    Attributes:
        scope: The scope.
        batch: The last values of removed keys.
        source: Who told it, for logs.
    """

    scope: replication_data.Scope
    batch: replication_data.Batch
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAtRevision:
    """A change that this host has learned of.

    Attributes:
        change: The change.
        revision: The revision of the store at which it happened.
    """

    change: flow_data.Change
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class NewChanges:
    """Changes that the packet task is to act on.

    Attributes:
        scope: The scope that they belong to.
        changes: The changes, oldest first.
        removal_cause: Why entries were removed, if some were.
        source: Who told them, for logs.
    """

    scope: replication_data.Scope
    changes: tuple[ChangeAtRevision, ...]
    removal_cause: flow_data.RemovalCause
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class HostListChanged:
    """The store's list of hosts has changed.

    Attributes:
        contacts: All hosts in it.
    """

    contacts: tuple[peer_data.Contact, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ScopeUpdated:
    """This host holds changes that peers may lack.

    Attributes:
        scope: The scope.
    """

    scope: replication_data.Scope


@dataclasses.dataclass(frozen=True, slots=True)
class LocalUpstreamReports:
    """What this host has seen of upstreams.

    Attributes:
        reports: One for each upstream that is busy or silent.
        is_urgent: Whether an upstream has just turned silent.
    """

    reports: tuple[peer_data.UpstreamReport, ...]
    is_urgent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReports:
    """What other hosts have seen of upstreams.

    Attributes:
        in_flight_by_tag: The requests in progress at each upstream.
        avoid_ms_by_tag: How much longer some host avoids it.
        host_count: How many hosts there may be, this one included.
        has_membership_changed: Whether a host has joined or is leaving, so
            that flows change hosts.
    """

    in_flight_by_tag: Mapping[int, float]
    avoid_ms_by_tag: Mapping[int, int]
    host_count: int
    has_membership_changed: bool
