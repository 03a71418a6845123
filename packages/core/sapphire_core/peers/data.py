"""Immutable records of entry hosts and of the heartbeats between them."""

from collections.abc import Mapping
import dataclasses
from typing import NamedTuple

from sapphire_core.replication import data as replication_data
from sapphire_core.tagged_flows import data as flow_data


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """Where a host receives heartbeats and requests of its peers.

    Attributes:
        host: The name of the host.
        data_centre: Its data centre.
        address: Its IP address.
        port: The port, UDP for heartbeats and TCP for requests.
    """

    host: str
    data_centre: str
    address: str
    port: int


class UpstreamReport(NamedTuple):
    """What a host has observed of an upstream.

    A host receives about a thousand of them a second.

    Attributes:
        tag: The tag of the upstream.
        busy: The in-flight requests of the host at the upstream, on average
            over about the last second.
        silent_ms: How much longer the host avoids the upstream as
            unresponsive; 0 if it does not avoid it.
    """

    tag: int
    busy: float
    silent_ms: int


class OutcomeReport(NamedTuple):
    """What became of a host's last requests at one upstream.

    A host receives about a thousand of them a second while some fail.

    Attributes:
        tag: The tag of the upstream.
        well: How many requests ended well.
        badly: How many ended badly, or hang.
        answered: How many had a response whose time is known.
        time_ratio: The mean of these times, each relative to the mean of its
            route; 1 if there are none.
    """

    tag: int
    well: int
    badly: int
    answered: int
    time_ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class LiveCount:
    """How many hosts of a data centre are live.

    Attributes:
        hosts: The number, as counted by a host of that data centre.
        age_ms: How long ago it was counted.
    """

    hosts: int
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class FollowerClaim:
    """That a host follows the store, and how well this is confirmed.

    Attributes:
        age_ms: How long ago the store last answered the host, of the scopes in
            which it follows the store the one that was answered first.
        answered_ms: When that was, by the clock of the host itself. It tells
            claims of one host apart, however they reached the receiver. None
            from hosts of earlier versions, whose own claims have no age.
    """

    age_ms: int
    answered_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """The regular datagram between hosts.

    Attributes:
        contact: Where the sender is reached.
        start_id: Random, new at each start of the sender's process.
        sequence: Increases with each heartbeat of a process.
        is_leaving: Whether the sender is leaving, after a stop request.
        revisions: The newest revision that the sender has of each scope.
        store_failed_ms: How long ago a call to the store last failed, as far
            as the sender knows; None if none has.
        followers: The claims of the store followers that the sender knows,
            itself included, by host.
        upstreams: What the sender has observed of upstreams, or passes on of
            what its peers have reported.
        live_counts: How many hosts of each data centre are live, as far as the
            sender knows, by data centre.
        outcomes: What became of the sender's own requests at upstreams that
            may do badly; empty while all do well.
        left_out: What was wrong with a part that was left out when the
            heartbeat was decoded; empty if nothing was.
        era: The era of the store that the revisions belong to. A scope that the
            sender knows in an older era only has revision 0.
        is_cut_off: Whether the sender has found that it can reach no upstream.
        answered_ms: When the store last answered the sender, by the sender's
            clock; its claims up to then have ended if it does not name itself
            among the followers. None if the store has not.
        flow_pins: The upstreams of flows that two may have answered.
    """

    contact: Contact
    start_id: int
    sequence: int
    is_leaving: bool
    revisions: Mapping[replication_data.Scope, int]
    store_failed_ms: int | None
    followers: Mapping[str, FollowerClaim]
    upstreams: tuple[UpstreamReport, ...]
    live_counts: Mapping[str, LiveCount]
    outcomes: tuple[OutcomeReport, ...] = ()
    left_out: str = ""
    era: int = 0
    is_cut_off: bool = False
    answered_ms: int | None = None
    flow_pins: tuple[flow_data.FlowPin, ...] = ()

    def position(
        self, scope: replication_data.Scope
    ) -> replication_data.Position | None:
        """Returns the newest position that the sender has of a scope.

        Args:
            scope: The scope.

        Returns:
            The position, None if it has no change of the scope in its era.
        """
        revision = self.revisions.get(scope, 0)
        if revision == 0:
            return None
        return replication_data.Position(self.era, revision)
