"""Events, actions, failure and settings of the propagation of revisions."""

from collections.abc import Mapping
import dataclasses

from sapphire_core.configuration import data
from sapphire_data import failures


@dataclasses.dataclass(frozen=True, slots=True)
class ViewChanged:
    """The membership reports the hosts that are alive now.

    Attributes:
        data_centre_by_host: The data centre of each live host.
    """

    data_centre_by_host: Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerVersionReceived:
    """A peer sent the version of its configuration.

    Attributes:
        host_id: The peer.
        version: The version that the peer has.
    """

    host_id: str
    version: data.Version


@dataclasses.dataclass(frozen=True, slots=True)
class StoreHeadReceived:
    """The store answered a read of the head or reported a change of it.

    Attributes:
        version: The version of the head; `data.NO_VERSION` if the store has
            none.
    """

    version: data.Version


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReadFailed:
    """A read of the head from the store failed."""


@dataclasses.dataclass(frozen=True, slots=True)
class WatchStarted:
    """The store has accepted the watch."""


@dataclasses.dataclass(frozen=True, slots=True)
class WatchEnded:
    """The watch has ended or could not be opened."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """Fetch a configuration.

    An earlier fetch may still be running; its result is accepted if it is
    newer than what the host has by then.

    Attributes:
        version: The version that the source offered. A peer may deliver a
            newer one.
        host_id: The peer to fetch from; none for the store.
    """

    version: data.Version
    host_id: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class FetchDone:
    """A configuration was fetched, and all its digests match its content.

    Attributes:
        version: The version that was fetched, which may be newer than the
            requested one, or older if the source did not have that.
        fetch: The action that this is the result of.
    """

    version: data.Version
    fetch: Fetch


@dataclasses.dataclass(frozen=True, slots=True)
class FetchFailed:
    """A fetch failed.

    Attributes:
        fetch: The action that this is the result of.
    """

    fetch: Fetch


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; due work may start."""


Event = (
    ViewChanged
    | PeerVersionReceived
    | StoreHeadReceived
    | StoreReadFailed
    | WatchStarted
    | WatchEnded
    | FetchDone
    | FetchFailed
    | Tick
)


@dataclasses.dataclass(frozen=True, slots=True)
class StartWatch:
    """Open a watch of the head in the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopWatch:
    """End the watch of the head."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadStoreHead:
    """Read the head from the store once."""


@dataclasses.dataclass(frozen=True, slots=True)
class QueryPeer:
    """Send a peer the version of this host, and ask for the peer's version.

    Attributes:
        host_id: The peer.
    """

    host_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare:
    """Prepare the fetched configuration, which is now the host's newest.

    Attributes:
        version: The version of the fetched configuration.
    """

    version: data.Version


@dataclasses.dataclass(frozen=True, slots=True)
class Notify:
    """Send a few peers the version of this host, in one small datagram each.

    Attributes:
        host_ids: The peers.
        version: The version that this host has.
    """

    host_ids: tuple[str, ...]
    version: data.Version


Action = (
    StartWatch
    | StopWatch
    | ReadStoreHead
    | QueryPeer
    | Fetch
    | Prepare
    | Notify
)


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionForked(failures.Failure):
    """A source offers different content for the revision of this host.

    Attributes:
        held: The version that this host has and keeps.
        offered: The version of the source: the same revision, but another
            digest.
        source: The peer, or `store`.
    """

    held: data.Version
    offered: data.Version
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Timeouts and intervals of the propagation.

    Attributes:
        boot_wait_ms: How long a host without a configuration collects offers
            before it fetches one, so that it starts with the newest.
        fetch_timeout_min_ms: How long a fetch of changed parts may take
            before other sources are asked, until several have timed out.
        fetch_timeout_max_ms: The longest that a timeout grows to after
            several in a row.
        fetch_backoff_ms: How long an offer whose fetch failed is not fetched
            from the same source again.
        peer_timeout_ms: The time without a version from any peer after which
            a host reads the store itself.
        poll_min_ms: The shortest time between such reads.
        poll_max_ms: The longest time between such reads.
        watch_check_ms: The time between a store follower's reads of the
            head, in case its watch no longer reports changes.
        watch_retry_min_ms: The shortest wait before a watch is opened again.
        watch_retry_max_ms: The longest such wait.
        query_peer_ms: The longest time between queries to a random peer.
            Queries bring revisions to hosts that got no notice, and to both
            sides after a network partition.
    """

    boot_wait_ms: int = 500
    fetch_timeout_min_ms: int = 200
    fetch_timeout_max_ms: int = 8_000
    fetch_backoff_ms: int = 600
    peer_timeout_ms: int = 2_000
    poll_min_ms: int = 1_000
    poll_max_ms: int = 30_000
    watch_check_ms: int = 10_000
    watch_retry_min_ms: int = 200
    watch_retry_max_ms: int = 1_500
    query_peer_ms: int = 500


DEFAULT_SETTINGS = Settings()
