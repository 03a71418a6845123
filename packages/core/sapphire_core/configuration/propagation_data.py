"""Events and actions of the spreading of revisions."""

from collections.abc import Mapping
import dataclasses

from sapphire_core.configuration import data
from sapphire_data import failures


@dataclasses.dataclass(frozen=True, slots=True)
class ViewChanged:
    """The live hosts are now these.

    Attributes:
        data_centre_by_host: The data centre of each live host.
    """

    data_centre_by_host: Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerVersionReceived:
    """A peer says which revision it has.

    Attributes:
        host_id: The peer.
        version: The revision that it has.
    """

    host_id: str
    version: data.Version


@dataclasses.dataclass(frozen=True, slots=True)
class StoreHeadReceived:
    """The store answered a read of the head or reported a change of it.

    Attributes:
        version: The revision; `data.NO_VERSION` if there is none.
    """

    version: data.Version


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReadFailed:
    """A read of the head failed."""


@dataclasses.dataclass(frozen=True, slots=True)
class WatchStarted:
    """The store has accepted the watch."""


@dataclasses.dataclass(frozen=True, slots=True)
class WatchEnded:
    """The watch has ended or could not be opened."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """Fetch a configuration.

    A fetch before it may go on; what it brings is taken if it is newer.

    Attributes:
        version: The revision that is expected at least.
        host_id: The peer to fetch from; none for the store.
    """

    version: data.Version
    host_id: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class FetchDone:
    """A configuration was fetched, and all its digests hold.

    Attributes:
        version: The revision; a peer may have moved on since it was asked.
        fetch: The action that this answers.
    """

    version: data.Version
    fetch: Fetch


@dataclasses.dataclass(frozen=True, slots=True)
class FetchFailed:
    """A fetch failed.

    Attributes:
        fetch: The action that this answers.
    """

    fetch: Fetch


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


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
    """Watch the head in the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopWatch:
    """End the watch of the head."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadStoreHead:
    """Read the head from the store once."""


@dataclasses.dataclass(frozen=True, slots=True)
class QueryPeer:
    """Tell a peer which revision this host has, and ask for that of the peer.

    Attributes:
        host_id: The peer.
    """

    host_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare:
    """The fetched configuration is the host's newest: prepare it.

    Attributes:
        version: The revision.
    """

    version: data.Version


@dataclasses.dataclass(frozen=True, slots=True)
class Notify:
    """Tell a few peers, by one small datagram each, which revision it is.

    Attributes:
        host_ids: The peers.
        version: The revision that this host has.
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
    """A source has other content under the revision that this host has.

    Attributes:
        held: What this host has; it keeps it.
        offered: What the source has.
        source: The peer, or `store`.
    """

    held: data.Version
    offered: data.Version
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Times of the spreading.

    Attributes:
        boot_wait_ms: How long a host without a configuration collects offers
            before it fetches one, so that it starts with the newest.
        fetch_timeout_min_ms: When a fetch is given up for another source.
        fetch_timeout_max_ms: The same after several were given up.
        penalty_ms: How long a source that failed is not asked again.
        silence_ms: The time without a word from any peer after which a host
            reads the store itself.
        poll_min_ms: The shortest time between such reads.
        poll_max_ms: The longest time between such reads.
        watch_check_ms: The time between a watcher's reads of the head, in
            case its watch has gone silent.
        watch_retry_min_ms: The shortest wait before a watch is opened again.
        watch_retry_max_ms: The longest such wait.
        ask_peer_ms: The longest time between questions to a peer drawn by
            chance; they reach what notices did not, and repair partitions.
    """

    boot_wait_ms: int = 500
    fetch_timeout_min_ms: int = 200
    fetch_timeout_max_ms: int = 8_000
    penalty_ms: int = 600
    peer_timeout_ms: int = 2_000
    poll_min_ms: int = 1_000
    poll_max_ms: int = 30_000
    watch_check_ms: int = 10_000
    watch_retry_min_ms: int = 200
    watch_retry_max_ms: int = 1_500
    ask_peer_ms: int = 500


DEFAULT_SETTINGS = Settings()
