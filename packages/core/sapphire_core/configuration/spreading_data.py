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
class PeerHead:
    """A peer has a revision, as gossip or the peer itself says.

    Attributes:
        host_id: The peer.
        version: The revision that it has.
    """

    host_id: str
    version: data.Version


@dataclasses.dataclass(frozen=True, slots=True)
class StoreHead:
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
    | PeerHead
    | StoreHead
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
class AskPeer:
    """Ask a peer which revision it has.

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
class Announce:
    """Tell the peers, by gossip, which revision this host has.

    Attributes:
        version: The revision.
    """

    version: data.Version


@dataclasses.dataclass(frozen=True, slots=True)
class Notify:
    """Tell a few peers at once, ahead of gossip, by one small datagram each.

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
    | AskPeer
    | Fetch
    | Prepare
    | Announce
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
